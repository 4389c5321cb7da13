package org.landingridge.net;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Undertow's server on the event loop's I/O thread. Bodies are read whole, up to a limit. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final byte[] TOO_LARGE =
            "{\"error\":\"the body is larger than 64 KiB\"}".getBytes(StandardCharsets.UTF_8);
    private static final byte[] BUSY =
            "{\"error\":\"too many large bodies at a time\"}".getBytes(StandardCharsets.UTF_8);
    /** Time after which a request that was refused for lack of memory is repeated, in seconds. */
    private static final int RETRY_AFTER_S = 1;

    private static final byte[] FAILED = "{\"error\":\"internal error\"}".getBytes(StandardCharsets.UTF_8);
    private static final int BUFFER_BYTES = 4096;
    private static final int BACKLOG = 512;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    /** A client that sends half a request may not occupy its socket for ever. */
    private static final int PARSE_TIMEOUT_MS = 20_000;
    /** An idle connection of a client is closed after so long. */
    private static final int IDLE_TIMEOUT_MS = 120_000;

    private final Consumer<Http.Exchange> handler;
    private final int maxBody;
    private final BodyMemory bodyMemory;
    private final Undertow undertow;

    /**
     * A server that does not listen yet.
     *
     * @param handler is given every request, on the event loop
     */
    public HttpServer(XnioWorker worker, InetSocketAddress listen, BodyLimits limits, Consumer<Http.Exchange> handler) {
        this.handler = handler;
        this.maxBody = limits.maxBytes();
        this.bodyMemory = new BodyMemory(limits.maxTotalBytes());
        this.undertow = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(listen.getPort(), listen.getHostString(), this::handle)
                .setBufferSize(BUFFER_BYTES)
                .setDirectBuffers(false)
                .setSocketOption(Options.BACKLOG, BACKLOG)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                .build();
    }

    /** Listens. */
    public void start() {
        undertow.start();
    }

    /** Closes the listener and all connections. */
    public void stop() {
        undertow.stop();
    }

    private void handle(HttpServerExchange exchange) {
        if (exchange.getRequestContentLength() > maxBody) {
            refuseBody(exchange);
            return;
        }
        if (!bodyMemory.reserve(exchange, mostBodyBytes(exchange))) {
            exchange.setPersistent(false);
            send(exchange, 503, BUSY, RETRY_AFTER_S);
            return;
        }
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(maxBody);
        receiver.receiveFullBytes(
                (received, body) -> received.dispatch(SameThreadExecutor.INSTANCE, () -> serve(received, body)),
                HttpServer::receiveFailed);
    }

    /** Returns the size of the body that is still to come; the limit if the request does not tell it. */
    private int mostBodyBytes(HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            return 0;
        }
        long length = exchange.getRequestContentLength();
        return length < 0 ? maxBody : (int) length;
    }

    private static void receiveFailed(HttpServerExchange exchange, IOException error) {
        if (error instanceof Receiver.RequestToLargeException) {
            refuseBody(exchange);
        } else {
            exchange.endExchange();
        }
    }

    private static void refuseBody(HttpServerExchange exchange) {
        LOG.warn(
                "request body too large and refused, path={} bytes={}",
                exchange.getRequestPath(),
                exchange.getRequestContentLength());
        exchange.setPersistent(false);
        send(exchange, 400, TOO_LARGE, 0);
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        try {
            handler.accept(new ServerExchange(exchange, body));
        } catch (RuntimeException e) {
            // Nothing that a client sends may end the loop.
            LOG.error("{} {} failed", exchange.getRequestMethod(), exchange.getRequestPath(), e);
            send(exchange, 500, FAILED, 0);
        } catch (Error e) {
            FatalErrors.end("a request", e);
        }
    }

    private static void send(HttpServerExchange exchange, int status, byte[] json, int retryAfterS) {
        if (exchange.isResponseStarted() || exchange.isResponseComplete()) {
            return;
        }
        exchange.setStatusCode(status);
        if (retryAfterS > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterS);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(json));
    }

    private static final class ServerExchange implements Http.Exchange {
        private final HttpServerExchange exchange;
        private final byte[] body;

        ServerExchange(HttpServerExchange exchange, byte[] body) {
            this.exchange = exchange;
            this.body = body;
        }

        @Override
        public String method() {
            return exchange.getRequestMethod().toString();
        }

        @Override
        public String path() {
            return exchange.getRequestPath();
        }

        @Override
        public String query() {
            return exchange.getQueryString();
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public void answer(int status, byte[] json, int retryAfterS) {
            send(exchange, status, json, retryAfterS);
        }
    }
}
