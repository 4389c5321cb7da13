package org.landingridge.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Undertow's client on the event loop's I/O thread: kept connections, deadlines, a cap on sockets a destination. */
public final class HttpClient implements Http {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    private static final int BUFFER_BYTES = 4096;
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop;
    private final ConnectionPool connections;

    /**
     * A client without connections.
     *
     * @param thread  the thread of {@code loop}
     * @param maxIdle idle connections to all destinations together
     */
    public HttpClient(XnioIoThread thread, EventLoop loop, int maxIdle) {
        this.loop = loop;
        this.connections = new ConnectionPool(thread, loop, maxIdle);
    }

    @Override
    public void call(String addr, String method, String path, byte[] body, long timeoutMs, Consumer<Reply> done) {
        new Call(addr, method, path, body, done).begin(timeoutMs);
    }

    /** One call: it has a connection from {@link #send} on, until its answer is read or it ends without one. */
    private final class Call implements ClientCallback<ClientConnection> {
        private final String addr;
        private final String method;
        private final String path;
        private final byte[] body;
        private final ConnectionPool.Destination destination;
        /** Null once the call has ended. */
        private Consumer<Reply> done;

        private ClientConnection connection;
        private boolean sent;
        private EventLoop.Timer deadline;

        Call(String addr, String method, String path, byte[] body, Consumer<Reply> done) {
            this.addr = addr;
            this.method = method;
            this.path = path;
            this.body = body;
            this.done = done;
            this.destination = connections.destination(addr);
        }

        void begin(long timeoutMs) {
            deadline = loop.after(timeoutMs, this::finishUnanswered);
            ClientConnection kept = destination.takeIdle();
            if (kept != null) {
                send(kept);
            } else if (!destination.open(this)) {
                loop.after(0, this::finishUnanswered);
            }
        }

        @Override
        public void completed(ClientConnection opened) {
            destination.opened(opened);
            if (done == null) {
                destination.keep(opened);
            } else {
                send(opened);
            }
        }

        @Override
        public void failed(IOException e) {
            destination.notOpened();
            LOG.debug("no connection to {}: {}", addr, e.toString());
            finishUnanswered();
        }

        private void send(ClientConnection on) {
            connection = on;
            sent = true;
            on.sendRequest(request(), callback(exchange -> {
                exchange.setResponseListener(callback(this::read));
                try {
                    write(exchange.getRequestChannel());
                } catch (IOException e) {
                    lost(e);
                }
            }));
        }

        private ClientRequest request() {
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(method)).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, addr);
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            }
            return request;
        }

        /** A callback after which the call goes on with a step, or ends where that failed. */
        private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
            return new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    next.accept(exchange);
                }

                @Override
                public void failed(IOException e) {
                    lost(e);
                }
            };
        }

        private void write(StreamSinkChannel channel) throws IOException {
            ByteBuffer out = ByteBuffer.wrap(body == null ? NO_BODY : body);
            ChannelListener<StreamSinkChannel> writer = writable -> {
                try {
                    write(out, writable);
                } catch (IOException e) {
                    lost(e);
                }
            };
            channel.getWriteSetter().set(writer);
            writer.handleEvent(channel);
        }

        private static void write(ByteBuffer out, StreamSinkChannel channel) throws IOException {
            while (out.hasRemaining()) {
                if (channel.write(out) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                channel.suspendWrites();
            } else {
                channel.resumeWrites();
            }
        }

        private void read(ClientExchange exchange) {
            StreamSourceChannel channel = exchange.getResponseChannel();
            int status = exchange.getResponse().getResponseCode();
            boolean close = closes(exchange);
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
            ChannelListener<StreamSourceChannel> reader = readable -> {
                try {
                    if (readAll(readable, buffer, answer)) {
                        answered(new Reply(Outcome.ANSWERED, status, answer.toByteArray()), close);
                    }
                } catch (AnswerTooLargeException e) {
                    LOG.warn("answer too large and dropped, call={} {}{}", method, addr, path);
                    finish(Reply.TOO_LARGE);
                } catch (IOException e) {
                    lost(e);
                }
            };
            channel.getReadSetter().set(reader);
            reader.handleEvent(channel);
        }

        /** Reads what has come; true at the answer's end. */
        private static boolean readAll(StreamSourceChannel channel, ByteBuffer buffer, ByteArrayOutputStream answer)
                throws IOException {
            while (true) {
                buffer.clear();
                int bytes = channel.read(buffer);
                if (bytes == 0) {
                    channel.resumeReads();
                    return false;
                }
                if (bytes < 0) {
                    channel.suspendReads();
                    return true;
                }
                if (answer.size() + bytes > MAX_ANSWER_BYTES) {
                    throw new AnswerTooLargeException();
                }
                answer.write(buffer.array(), buffer.arrayOffset(), bytes);
            }
        }

        private static boolean closes(ClientExchange exchange) {
            return "close"
                    .equalsIgnoreCase(
                            exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
        }

        private void answered(Reply reply, boolean close) {
            ClientConnection used = connection;
            connection = null;
            if (close || done == null) {
                IoUtils.safeClose(used);
            } else {
                // The connection is free only once Undertow has seen the exchange end.
                loop.after(0, () -> destination.keep(used));
            }
            finish(reply);
        }

        private void lost(IOException e) {
            LOG.debug("{} {}{}: {}", method, addr, path, e.toString());
            finishUnanswered();
        }

        private void finishUnanswered() {
            finish(sent ? Reply.UNKNOWN : Reply.NOT_SENT);
        }

        /** Ends the call once; whatever comes later is ignored. */
        private void finish(Reply reply) {
            Consumer<Reply> callback = done;
            if (callback == null) {
                return;
            }
            done = null;
            deadline.cancel();
            if (connection != null) {
                IoUtils.safeClose(connection);
                connection = null;
            }
            try {
                callback.accept(reply);
            } catch (RuntimeException e) {
                LOG.error("the handler of {} {}{} failed", method, addr, path, e);
            }
        }
    }

    /** An answer is larger than {@link Http#MAX_ANSWER_BYTES}. */
    private static final class AnswerTooLargeException extends IOException {
        private static final long serialVersionUID = 1;
    }
}
