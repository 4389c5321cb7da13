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
    private static final int MAX_QUEUED_BYTES = 2 << 20;

    private static final long DIAL_TIMEOUT_MS = 2_000;
    private final XnioWorker worker;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private long queuedBytes;
    private State state = State.DOWN;
    private StreamConnection connection;
    /** Number of the last dial; outcomes of earlier dials are ignored. */
    private long lastDialNumber;

    PeerLink(XnioWorker worker, EventLoop loop, InetSocketAddress address) {
        this.worker = worker;
        this.loop = loop;
        this.address = address;
    }

    /**
     * Sends a record, or queues it until the connection is up. If the queue is full, its records are dropped first. If dialling
     * fails, all queued records are dropped.
     */
    void send(byte[] record) {
        if (queuedBytes > MAX_QUEUED_BYTES) {
            disconnect();
        }
        ByteBuffer frame = ByteBuffer.allocate(4 + record.length);
        frame.putInt(record.length).put(record).flip();
        queue.addLast(frame);
        queuedBytes += frame.remaining();
        if (state == State.UP) {
            writeQueued(connection.getSinkChannel());
        } else if (state == State.DOWN) {
            dial();
        }
    }

    private void dial() {
        state = State.DIALLING;
        long dialNumber = ++lastDialNumber;
        IoFuture<StreamConnection> future =
                worker.openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
        future.addNotifier(new DialNotifier(dialNumber), null);
        // A network partition causes no error, so a dial has a timeout; the next record starts another dial.
        loop.after(DIAL_TIMEOUT_MS, () -> {
            if (state == State.DIALLING && dialNumber == lastDialNumber) {
                future.cancel();
                dialFailed(dialNumber);
            }
        });
    }

    /** Passes the outcome of a dial to the event loop. */
    private final class DialNotifier extends IoFuture.HandlingNotifier<StreamConnection, Void> {
        private final long dialNumber;

        DialNotifier(long dialNumber) {
            this.dialNumber = dialNumber;
        }

        @Override
        public void handleDone(StreamConnection newConnection, Void attachment) {
            loop.after(0, () -> dialSucceeded(dialNumber, newConnection));
        }

        @Override
        public void handleFailed(IOException e, Void attachment) {
            loop.after(0, () -> dialFailed(dialNumber));
        }

        @Override
        public void handleCancelled(Void attachment) {
            loop.after(0, () -> dialFailed(dialNumber));
        }
    }

    private void dialSucceeded(long dialNumber, StreamConnection newConnection) {
        if (dialNumber != lastDialNumber || state != State.DIALLING) {
            IoUtils.safeClose(newConnection);
            return;
        }
        connection = newConnection;
        state = State.UP;
        newConnection.getSinkChannel().setWriteListener(this::writeQueued);
        newConnection.getSourceChannel().setReadListener(this::disconnectAtEnd);
        newConnection.getSourceChannel().resumeReads();
        writeQueued(newConnection.getSinkChannel());
    }

    /** Detects the end of the connection: the other controller never writes on it, so a read yields nothing else. */
    private void disconnectAtEnd(ConduitStreamSourceChannel source) {
        try {
            if (source.read(ByteBuffer.allocate(16)) < 0) {
                disconnect();
            }
        } catch (IOException e) {
            disconnect();
        }
    }

    private void dialFailed(long dialNumber) {
        if (dialNumber == lastDialNumber && state == State.DIALLING) {
            state = State.DOWN;
            clearQueue();
        }
    }

    private void clearQueue() {
        queue.clear();
        queuedBytes = 0;
    }

    private void disconnect() {
        IoUtils.safeClose(connection);
        connection = null;
        if (state == State.UP) {
            state = State.DOWN;
        }
        clearQueue();
    }

    private void writeQueued(ConduitStreamSinkChannel sink) {
        try {
            while (!queue.isEmpty()) {
                ByteBuffer next = queue.peekFirst();
                while (next.hasRemaining()) {
                    int bytesWritten = sink.write(next);
                    queuedBytes -= bytesWritten;
                    if (bytesWritten == 0) {
                        sink.resumeWrites();
                        return;
                    }
                }
                queue.pollFirst();
            }
            sink.suspendWrites();
        } catch (IOException e) {
            disconnect();
        }
    }
}
