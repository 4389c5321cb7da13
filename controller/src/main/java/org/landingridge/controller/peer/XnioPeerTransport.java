package org.landingridge.controller.peer;

import com.google.common.net.HostAndPort;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.landingridge.controller.settings.Settings;
import org.landingridge.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Frames over TCP on {@code back}: four bytes of length, then one record. Each controller dials every other. */
public final class XnioPeerTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(XnioPeerTransport.class);
    /** Bytes that may wait for one controller: the reports of a large fleet in the moment of an election. */
    private static final int MOST_QUEUED = 2 << 20;

    private static final long DIAL_MS = 2_000;
    private final XnioWorker worker;
    private final EventLoop loop;
    private final Consumer<PeerMessage> receiver;
    private final Map<String, Link> links = new HashMap<>();

    public XnioPeerTransport(
            XnioWorker worker,
            EventLoop loop,
            List<Settings.Peer> peers,
            InetSocketAddress listen,
            Consumer<PeerMessage> receiver)
            throws IOException {
        this.worker = worker;
        this.loop = loop;
        this.receiver = receiver;
        for (Settings.Peer p : peers) {
            HostAndPort addr = HostAndPort.fromString(p.addr());
            links.put(p.host(), new Link(new InetSocketAddress(addr.getHost(), addr.getPort())));
        }
        ChannelListener<AcceptingChannel<StreamConnection>> accept = channel -> {
            try {
                StreamConnection c;
                while ((c = channel.accept()) != null) {
                    new Incoming(c).read();
                }
            } catch (IOException e) {
                LOG.debug("accepting a controller failed: {}", e.toString());
            }
        };
        worker.createStreamConnectionServer(
                        listen, accept, OptionMap.create(Options.REUSE_ADDRESSES, true, Options.TCP_NODELAY, true))
                .resumeAccepts();
    }

    @Override
    public void send(String host, PeerMessage message) {
        Link link = links.get(host);
        if (link != null) {
            link.send(message.encode());
        }
    }

    /** Reads frames for as long as the connection lives. */
    private final class Incoming {
        private final StreamConnection connection;
        private ByteBuffer buffer = ByteBuffer.allocate(2048);

        Incoming(StreamConnection connection) {
            this.connection = connection;
        }

        void read() {
            ConduitStreamSourceChannel source = connection.getSourceChannel();
            source.setReadListener(this::drain);
            source.resumeReads();
        }

        private void drain(ConduitStreamSourceChannel source) {
            try {
                int n;
                while ((n = source.read(buffer)) > 0) {
                    frames();
                }
                if (n < 0) {
                    IoUtils.safeClose(connection);
                }
            } catch (IOException e) {
                LOG.debug("a controller's connection failed: {}", e.toString());
                IoUtils.safeClose(connection);
            }
        }

        private void frames() throws IOException {
            buffer.flip();
            while (buffer.remaining() >= 4) {
                int length = buffer.getInt(buffer.position());
                if (length < 1 || length > PeerMessage.MAX_BYTES) {
                    throw new IOException("a frame of " + length + " bytes");
                }
                if (buffer.remaining() < 4 + length) {
                    if (buffer.capacity() < 4 + length) {
                        ByteBuffer larger = ByteBuffer.allocate(4 + length);
                        larger.put(buffer);
                        buffer = larger;
                        return;
                    }
                    break;
                }
                buffer.getInt();
                byte[] frame = new byte[length];
                buffer.get(frame);
                PeerMessage message;
                try {
                    message = PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(frame)));
                } catch (IOException e) {
                    // A frame of its own: what follows it can be read all the same.
                    LOG.warn(
                            "a controller's record of {} bytes cannot be read and is dropped: {}",
                            length,
                            e.toString());
                    continue;
                }
                try {
                    receiver.accept(message);
                } catch (RuntimeException e) {
                    LOG.error("a record of {} failed", message.host(), e);
                }
            }
            buffer.compact();
        }
    }

    /** The way out to one controller. What cannot be sent soon is dropped: it would be stale. */
    private final class Link {
        private enum State {
            DOWN,
            DIALLING,
            UP
        }

        private final InetSocketAddress addr;
        private final Deque<ByteBuffer> queue = new ArrayDeque<>();
        private long queued;
        private State state = State.DOWN;
        private StreamConnection connection;
        private long dials;

        Link(InetSocketAddress addr) {
            this.addr = addr;
        }

        void send(byte[] record) {
            if (queued > MOST_QUEUED) {
                drop();
            }
            ByteBuffer frame = ByteBuffer.allocate(4 + record.length);
            frame.putInt(record.length).put(record).flip();
            queue.addLast(frame);
            queued += frame.remaining();
            if (state == State.UP) {
                write(connection.getSinkChannel());
            } else if (state == State.DOWN) {
                dial();
            }
        }

        private void dial() {
            state = State.DIALLING;
            long dial = ++dials;
            IoFuture<StreamConnection> future =
                    worker.openStreamConnection(addr, null, OptionMap.create(Options.TCP_NODELAY, true));
            future.addNotifier(
                    new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                        @Override
                        public void handleDone(StreamConnection c, Void none) {
                            loop.after(0, () -> up(dial, c));
                        }

                        @Override
                        public void handleFailed(IOException e, Void none) {
                            loop.after(0, () -> down(dial));
                        }

                        @Override
                        public void handleCancelled(Void none) {
                            loop.after(0, () -> down(dial));
                        }
                    },
                    null);
            // A cut shows no error: the dial is given up and tried again.
            loop.after(DIAL_MS, () -> {
                if (state == State.DIALLING && dial == dials) {
                    future.cancel();
                    down(dial);
                }
            });
        }

        private void up(long dial, StreamConnection c) {
            if (dial != dials || state != State.DIALLING) {
                IoUtils.safeClose(c);
                return;
            }
            connection = c;
            state = State.UP;
            c.getSinkChannel().setWriteListener(this::write);
            // The other side never writes here: a read tells of the connection's end.
            c.getSourceChannel().setReadListener(source -> {
                try {
                    if (source.read(ByteBuffer.allocate(16)) < 0) {
                        drop();
                    }
                } catch (IOException e) {
                    drop();
                }
            });
            c.getSourceChannel().resumeReads();
            write(c.getSinkChannel());
        }

        private void down(long dial) {
            if (dial == dials && state == State.DIALLING) {
                state = State.DOWN;
                forget();
            }
        }

        private void forget() {
            queue.clear();
            queued = 0;
        }

        private void drop() {
            IoUtils.safeClose(connection);
            connection = null;
            if (state == State.UP) {
                state = State.DOWN;
            }
            forget();
        }

        private void write(ConduitStreamSinkChannel sink) {
            try {
                while (!queue.isEmpty()) {
                    ByteBuffer next = queue.peekFirst();
                    while (next.hasRemaining()) {
                        int n = sink.write(next);
                        queued -= n;
                        if (n == 0) {
                            sink.resumeWrites();
                            return;
                        }
                    }
                    queue.pollFirst();
                }
                sink.suspendWrites();
            } catch (IOException e) {
                drop();
            }
        }
    }
}
