package org.landingridge.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Undertow's client on the loop's I/O thread: kept connections, deadlines, a cap on sockets a destination. */
public final class HttpClient implements Http {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    private static final int MAX_SOCKETS = 12;
    private static final int MAX_IDLE = 4;
    /** An idle connection is closed after so long; a machine is called seldom, and there are hundreds of them. */
    private static final long IDLE_MS = 20_000;

    private static final int MAX_ANSWER = 16 << 20;
    private final XnioIoThread thread;
    private final EventLoop loop;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 4096, 64, 0);
    private final Map<String, Peer> peers = new HashMap<>();
    private final OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);

    /** Idle connections to all destinations, the longest idle first. */
    private final Map<ClientConnection, Long> idleSince = new LinkedHashMap<>();

    private final int maxIdleInAll;
    private boolean swept;

    private static final class Peer {
        final Deque<ClientConnection> idle = new ArrayDeque<>();
        int sockets;
    }

    /** @param maxIdle idle connections to all destinations together: sockets are scarce, and workers come first */
    public HttpClient(XnioIoThread thread, EventLoop loop, int maxIdle) {
        this.thread = thread;
        this.loop = loop;
        this.maxIdleInAll = maxIdle;
        sweep();
    }

    private void sweep() {
        while (!idleSince.isEmpty()
                && (idleSince.size() > maxIdleInAll
                        || loop.now() - idleSince.values().iterator().next() > IDLE_MS)) {
            ClientConnection longest = idleSince.keySet().iterator().next();
            idleSince.remove(longest);
            IoUtils.safeClose(longest);
        }
        if (!swept) {
            swept = true;
            loop.after(IDLE_MS / 4, () -> {
                swept = false;
                sweep();
            });
        }
    }

    @Override
    public void call(String addr, String method, String path, byte[] body, long timeoutMs, Consumer<Reply> done) {
        new Call(addr, method, path, body, done).begin(timeoutMs);
    }

    private final class Call implements ClientCallback<ClientConnection> {
        private final String addr;
        private final String method;
        private final String path;
        private final byte[] body;
        private final Peer peer;
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
            this.peer = peers.computeIfAbsent(addr, a -> new Peer());
        }

        void begin(long timeoutMs) {
            deadline = loop.after(timeoutMs, () -> finish(null));
            ClientConnection kept;
            while ((kept = peer.idle.pollLast()) != null) {
                idleSince.remove(kept);
                if (kept.isOpen()) {
                    send(kept);
                    return;
                }
            }
            if (peer.sockets >= MAX_SOCKETS) {
                // Connections to a host behind a cut hang for minutes: they may not eat every socket.
                loop.after(0, () -> finish(null));
                return;
            }
            peer.sockets++;
            UndertowClient.getInstance().connect(this, URI.create("http://" + addr), thread, buffers, options);
        }

        @Override
        public void completed(ClientConnection made) {
            made.addCloseListener(c -> {
                peer.sockets--;
                peer.idle.remove(c);
                idleSince.remove(c);
            });
            if (done == null) {
                keep(made);
            } else {
                send(made);
            }
        }

        @Override
        public void failed(IOException e) {
            peer.sockets--;
            LOG.debug("no connection to {}: {}", addr, e.toString());
            finish(null);
        }

        private void send(ClientConnection c) {
            connection = c;
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(method)).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, addr);
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            }
            sent = true;
            c.sendRequest(request, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange answered) {
                            read(answered);
                        }

                        @Override
                        public void failed(IOException e) {
                            lost(e);
                        }
                    });
                    try {
                        write(exchange.getRequestChannel());
                    } catch (IOException e) {
                        lost(e);
                    }
                }

                @Override
                public void failed(IOException e) {
                    lost(e);
                }
            });
        }

        private void write(StreamSinkChannel channel) throws IOException {
            ByteBuffer out = ByteBuffer.wrap(body == null ? new byte[0] : body);
            ChannelListener<StreamSinkChannel> writer = ch -> {
                try {
                    while (out.hasRemaining()) {
                        if (ch.write(out) == 0) {
                            ch.resumeWrites();
                            return;
                        }
                    }
                    ch.shutdownWrites();
                    if (ch.flush()) {
                        ch.suspendWrites();
                    } else {
                        ch.resumeWrites();
                    }
                } catch (IOException e) {
                    lost(e);
                }
            };
            channel.getWriteSetter().set(writer);
            writer.handleEvent(channel);
        }

        private void read(ClientExchange exchange) {
            StreamSourceChannel channel = exchange.getResponseChannel();
            int status = exchange.getResponse().getResponseCode();
            boolean close = "close"
                    .equalsIgnoreCase(
                            exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            ByteBuffer in = ByteBuffer.allocate(4096);
            ChannelListener<StreamSourceChannel> reader = ch -> {
                try {
                    while (true) {
                        in.clear();
                        int n = ch.read(in);
                        if (n == 0) {
                            ch.resumeReads();
                            return;
                        }
                        if (n < 0) {
                            ch.suspendReads();
                            answered(new Reply(Outcome.ANSWERED, status, all.toByteArray()), close);
                            return;
                        }
                        all.write(in.array(), 0, n);
                        if (all.size() > MAX_ANSWER) {
                            throw new IOException("answer too large");
                        }
                    }
                } catch (IOException e) {
                    lost(e);
                }
            };
            channel.getReadSetter().set(reader);
            reader.handleEvent(channel);
        }

        private void answered(Reply reply, boolean close) {
            ClientConnection c = connection;
            connection = null;
            if (close || done == null) {
                IoUtils.safeClose(c);
            } else {
                // The connection is free only once Undertow has seen the exchange end.
                loop.after(0, () -> keep(c));
            }
            finish(reply);
        }

        private void keep(ClientConnection c) {
            if (peer.idle.size() >= MAX_IDLE || !c.isOpen()) {
                IoUtils.safeClose(c);
            } else {
                peer.idle.addLast(c);
                idleSince.put(c, loop.now());
                if (idleSince.size() > maxIdleInAll) {
                    sweep();
                }
            }
        }

        private void lost(IOException e) {
            LOG.debug("{} {}{}: {}", method, addr, path, e.toString());
            finish(null);
        }

        /** Ends the call once; null stands for no answer. */
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
                callback.accept(reply != null ? reply : sent ? Reply.UNKNOWN : Reply.NOT_SENT);
            } catch (RuntimeException e) {
                LOG.error("the handler of {} {}{} failed", method, addr, path, e);
            }
        }
    }
}
