package org.landingridge.net;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Undertow's server on the loop's I/O thread. Bodies are read whole, up to a limit. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final byte[] TOO_LARGE =
            "{\"error\":\"the body is larger than 64 KiB\"}".getBytes(StandardCharsets.UTF_8);
    private static final byte[] FAILED = "{\"error\":\"internal error\"}".getBytes(StandardCharsets.UTF_8);
    private final Consumer<Http.Exchange> handler;
    private final int maxBody;
    private final Undertow undertow;

    public HttpServer(XnioWorker worker, InetSocketAddress listen, int maxBody, Consumer<Http.Exchange> handler) {
        this.handler = handler;
        this.maxBody = maxBody;
        this.undertow = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(listen.getPort(), listen.getHostString(), this::handle)
                .setBufferSize(4096)
                .setDirectBuffers(false)
                .setSocketOption(Options.BACKLOG, 512)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
                // A client that sends half a request may not hold its socket for ever.
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 20_000)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
                .build();
    }

    public void start() {
        undertow.start();
    }

    public void stop() {
        undertow.stop();
    }

    private void handle(HttpServerExchange exchange) {
        if (exchange.getRequestContentLength() > maxBody) {
            refuse(exchange);
            return;
        }
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(maxBody);
        receiver.receiveFullBytes(
                (ex, body) -> ex.dispatch(SameThreadExecutor.INSTANCE, () -> serve(ex, body)), (ex, error) -> {
                    if (error instanceof Receiver.RequestToLargeException) {
                        refuse(ex);
                    } else {
                        ex.endExchange();
                    }
                });
    }

    private static void refuse(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        send(exchange, 400, TOO_LARGE, 0);
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        try {
            handler.accept(new Served(exchange, body));
        } catch (RuntimeException e) {
            // Nothing that a client sends may end the loop.
            LOG.error("{} {} failed", exchange.getRequestMethod(), exchange.getRequestPath(), e);
            send(exchange, 500, FAILED, 0);
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

    private static final class Served implements Http.Exchange {
        private final HttpServerExchange exchange;
        private final byte[] body;

        Served(HttpServerExchange exchange, byte[] body) {
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
