package org.landingridge.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/** Kept connections by destination, with caps on sockets: they are scarce, and workers come first. */
final class ConnectionPool {
    private static final int MAX_SOCKETS = 12;
    private static final int MAX_IDLE = 4;
    /** An idle connection is closed after so long; a machine is called seldom, and there are hundreds of them. */
    private static final long IDLE_MS = 20_000;

    private static final long SWEEP_MS = IDLE_MS / 4;
    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_BUFFERS = 64;

    private final XnioIoThread thread;
    private final EventLoop loop;
    private final int maxIdleInAll;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_BUFFERS, 0);
    private final OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
    private final Map<String, Destination> destinations = new HashMap<>();
    /** Idle connections to all destinations and since when they are idle, the longest idle first. */
    private final Map<ClientConnection, Long> idleSince = new LinkedHashMap<>();

    private boolean sweepPending;

    /** @param maxIdle idle connections to all destinations together */
    ConnectionPool(XnioIoThread thread, EventLoop loop, int maxIdle) {
        this.thread = thread;
        this.loop = loop;
        this.maxIdleInAll = maxIdle;
        sweep();
    }

    /** Closes what has been idle for long, and what is idle beyond the cap; again every so often. */
    private void sweep() {
        while (!idleSince.isEmpty() && (idleSince.size() > maxIdleInAll || longestIdleMs() > IDLE_MS)) {
            ClientConnection longest = idleSince.keySet().iterator().next();
            idleSince.remove(longest);
            IoUtils.safeClose(longest);
        }
        if (!sweepPending) {
            sweepPending = true;
            loop.after(SWEEP_MS, () -> {
                sweepPending = false;
                sweep();
            });
        }
    }

    private long longestIdleMs() {
        return loop.now() - idleSince.values().iterator().next();
    }

    Destination destination(String addr) {
        return destinations.computeIfAbsent(addr, Destination::new);
    }

    /** The connections to one address. */
    final class Destination {
        private final String addr;
        /** The one used last is at the end. */
        private final Deque<ClientConnection> idle = new ArrayDeque<>();
        /** Connections that are open or being opened. */
        private int sockets;

        private Destination(String addr) {
            this.addr = addr;
        }

        /** Takes an idle connection that is still open, or null. */
        ClientConnection takeIdle() {
            for (ClientConnection kept = idle.pollLast(); kept != null; kept = idle.pollLast()) {
                idleSince.remove(kept);
                if (kept.isOpen()) {
                    return kept;
                }
            }
            return null;
        }

        /**
         * Opens a connection, unless there are as many as may be: connections to a host behind a network partition hang
         * for minutes, and may not use up every socket.
         *
         * @param callback has to call {@link #opened} or {@link #notOpened}
         */
        boolean open(ClientCallback<ClientConnection> callback) {
            if (sockets >= MAX_SOCKETS) {
                return false;
            }
            sockets++;
            UndertowClient.getInstance().connect(callback, URI.create("http://" + addr), thread, buffers, options);
            return true;
        }

        void opened(ClientConnection connection) {
            connection.addCloseListener(closed -> {
                sockets--;
                idle.remove(closed);
                idleSince.remove(closed);
            });
        }

        void notOpened() {
            sockets--;
        }

        /** Keeps a connection that no call uses any more, or closes it where enough are kept. */
        void keep(ClientConnection connection) {
            if (idle.size() >= MAX_IDLE || !connection.isOpen()) {
                IoUtils.safeClose(connection);
                return;
            }
            idle.addLast(connection);
            idleSince.put(connection, loop.now());
            if (idleSince.size() > maxIdleInAll) {
                sweep();
            }
        }
    }
}
