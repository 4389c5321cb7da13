package org.landingridge.controller.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.LeaderRedirect;

/**
 * Forwards workers' heartbeats to the leader and returns the leader's answers to the workers, so that a worker can stay
 * connected to any controller. Workers renew their leases even when they cannot reach the leader directly, and a failover
 * makes only the workers of the failed leader reconnect. If no messages arrive from the leader over the peer network
 * ({@code back}), workers are redirected to the leader instead.
 */
public final class HeartbeatForwarder {
    /** The leader sends a message every second; after more than two missing ones the connection counts as cut. */
    private static final long LEADER_MESSAGE_TIMEOUT_MS = 2_800;
    /** Below the worker's own timeout of 4 s, so that the redirect still reaches the worker. */
    private static final long ANSWER_TIMEOUT_MS = 1_500;
    /** Limit on the total size of the heartbeats that wait for an answer, in bytes. */
    private static final int MAX_PENDING_BYTES = 8 << 20;

    private final EventLoop loop;
    private final PeerTransport transport;
    private final String ownHost;
    /** Exchanges of the forwarded heartbeats that wait for an answer, by heartbeat number. */
    private final Map<Long, Http.Exchange> exchangesByNumber = new HashMap<>();

    private final int maxPending;
    private int pendingBytes;
    private String lastSender;
    private long lastMessageAt = Long.MIN_VALUE / 2;
    /**
     * Number of the last forwarded heartbeat. Each incarnation starts at a random number: a process that restarts within a
     * fraction of a second may receive the answer to a heartbeat that its previous incarnation forwarded, and with equal
     * numbers would send one machine's commands to another.
     */
    private long lastNumber;

    /**
     * @param random     source of the number at which this incarnation starts
     * @param ownHost    host of this controller
     * @param maxPending limit on the heartbeats that wait for an answer; each occupies a connection of its worker
     */
    public HeartbeatForwarder(
            EventLoop loop, PeerTransport transport, RandomGenerator random, String ownHost, int maxPending) {
        this.maxPending = maxPending;
        this.loop = loop;
        this.transport = transport;
        this.ownHost = ownHost;
        this.lastNumber = random.nextLong();
    }

    /** Records that a message from this leader has arrived. */
    public void recordLeaderMessage(String leader) {
        lastSender = leader;
        lastMessageAt = loop.now();
    }

    /** Returns the leader whose messages arrive over {@code back}, or null if none has arrived recently. */
    public String reachableLeader() {
        return loop.now() - lastMessageAt < LEADER_MESSAGE_TIMEOUT_MS ? lastSender : null;
    }

    /** Forwards a heartbeat to the leader, or answers 421 with the leader's host if it cannot be forwarded. */
    public void forward(String leader, Http.Exchange exchange) {
        if (!leader.equals(reachableLeader())
                || exchangesByNumber.size() >= maxPending
                || pendingBytes > MAX_PENDING_BYTES) {
            redirect(leader, exchange);
            return;
        }
        long number = ++lastNumber;
        exchangesByNumber.put(number, exchange);
        pendingBytes += exchange.body().length;
        transport.send(leader, new PeerMessage.ForwardedHeartbeat(ownHost, number, exchange.body()));
        loop.after(ANSWER_TIMEOUT_MS, () -> {
            if (removePending(number) != null) {
                redirect(leader, exchange);
            }
        });
    }

    private Http.Exchange removePending(long number) {
        Http.Exchange exchange = exchangesByNumber.remove(number);
        pendingBytes -= exchange == null ? 0 : exchange.body().length;
        return exchange;
    }

    private static void redirect(String leader, Http.Exchange exchange) {
        exchange.answer(421, LeaderRedirect.bytes(leader));
    }

    /** Passes the leader's answer to the worker that waits for it. */
    public void receiveAnswer(PeerMessage.HeartbeatAnswer answer) {
        Http.Exchange exchange = removePending(answer.number());
        if (exchange != null) {
            exchange.answer(answer.status(), answer.body());
        }
    }

    /** Returns an exchange by which the leader answers a forwarded heartbeat; the answer is sent over {@code back}. */
    public Http.Exchange exchangeFor(PeerMessage.ForwardedHeartbeat heartbeat) {
        return new Http.Exchange() {
            @Override
            public String method() {
                return "POST";
            }

            @Override
            public String path() {
                return "/hello";
            }

            @Override
            public byte[] body() {
                return heartbeat.body();
            }

            @Override
            public void answer(int status, byte[] json, int retryAfterS) {
                transport.send(
                        heartbeat.host(), new PeerMessage.HeartbeatAnswer(ownHost, heartbeat.number(), status, json));
            }
        };
    }
}
