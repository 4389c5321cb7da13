package org.landingridge.controller.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.landingridge.net.EventLoop;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** The outgoing connection to one controller, opened on demand. Records that cannot be sent soon are dropped as stale. */
final class PeerLink {
    private enum State {
        DOWN,
        DIALLING,
        UP
    }

    /** Limit on the queue to one controller, in bytes: room for the heartbeats of a large fleet during an election. */
    private static final int MOST_QUEUED = 2 << 20;

    private static final long DIAL_MS = 2_000;
    private final XnioWorker worker;
    private final EventLoop loop;
    private final InetSocketAddress addr;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private long queued;
    private State state = State.DOWN;
    private StreamConnection connection;
    private long dials;

    PeerLink(XnioWorker worker, EventLoop loop, InetSocketAddress addr) {
        this.worker = worker;
        this.loop = loop;
        this.addr = addr;
    }

    /**
     * Sends a record, or queues it until the connection is up. If the queue is full, its records are dropped first. If dialling
     * fails, all queued records are dropped.
     */
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
        future.addNotifier(new DialNotifier(dial), null);
        // A network partition causes no error, so a dial has a timeout; the next record starts another dial.
        loop.after(DIAL_MS, () -> {
            if (state == State.DIALLING && dial == dials) {
                future.cancel();
                down(dial);
            }
        });
    }

    /** Passes the outcome of a dial to the event loop. */
    private final class DialNotifier extends IoFuture.HandlingNotifier<StreamConnection, Void> {
        private final long dial;

        DialNotifier(long dial) {
            this.dial = dial;
        }

        @Override
        public void handleDone(StreamConnection dialled, Void none) {
            loop.after(0, () -> up(dial, dialled));
        }

        @Override
        public void handleFailed(IOException e, Void none) {
            loop.after(0, () -> down(dial));
        }

        @Override
        public void handleCancelled(Void none) {
            loop.after(0, () -> down(dial));
        }
    }

    private void up(long dial, StreamConnection dialled) {
        if (dial != dials || state != State.DIALLING) {
            IoUtils.safeClose(dialled);
            return;
        }
        connection = dialled;
        state = State.UP;
        dialled.getSinkChannel().setWriteListener(this::write);
        dialled.getSourceChannel().setReadListener(this::dropAtEnd);
        dialled.getSourceChannel().resumeReads();
        write(dialled.getSinkChannel());
    }

    /** Detects the end of the connection: the other controller never writes on it, so a read yields nothing else. */
    private void dropAtEnd(ConduitStreamSourceChannel source) {
        try {
            if (source.read(ByteBuffer.allocate(16)) < 0) {
                drop();
            }
        } catch (IOException e) {
            drop();
        }
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
                    int count = sink.write(next);
                    queued -= count;
                    if (count == 0) {
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
