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
    private static final long FRESH_MS = 2_800;
    /** Below the worker's own timeout of 4 s, so that the redirect still reaches the worker. */
    private static final long WAIT_MS = 1_500;
    /** Limit on the total size of the heartbeats that wait for an answer, in bytes. */
    private static final int MOST_BYTES = 8 << 20;

    private final EventLoop loop;
    private final PeerTransport transport;
    private final String host;
    private final Map<Long, Http.Exchange> waiting = new HashMap<>();
    private final int mostWaiting;
    private int waitingBytes;
    private String heardHost;
    private long heardAt = Long.MIN_VALUE / 2;
    /**
     * Number of the last forwarded heartbeat. Each incarnation starts at a random number: a process that restarts within a
     * fraction of a second may receive the answer to a heartbeat that its previous incarnation forwarded, and with equal
     * numbers would send one machine's commands to another.
     */
    private long number;

    /**
     * @param random      source of the number at which this incarnation starts
     * @param host        host of this controller
     * @param mostWaiting limit on the heartbeats that wait for an answer; each occupies a connection of its worker
     */
    public HeartbeatForwarder(
            EventLoop loop, PeerTransport transport, RandomGenerator random, String host, int mostWaiting) {
        this.mostWaiting = mostWaiting;
        this.loop = loop;
        this.transport = transport;
        this.host = host;
        this.number = random.nextLong();
    }

    /** Records that a message from this leader has arrived. */
    public void heard(String leader) {
        heardHost = leader;
        heardAt = loop.now();
    }

    /** Returns the leader whose messages arrive over {@code back}, or null if none has arrived recently. */
    public String heard() {
        return loop.now() - heardAt < FRESH_MS ? heardHost : null;
    }

    /** Forwards a heartbeat to the leader, or answers 421 with the leader's host if it cannot be forwarded. */
    public void report(String leader, Http.Exchange exchange) {
        if (!leader.equals(heard()) || waiting.size() >= mostWaiting || waitingBytes > MOST_BYTES) {
            redirect(leader, exchange);
            return;
        }
        long forwarded = ++number;
        waiting.put(forwarded, exchange);
        waitingBytes += exchange.body().length;
        transport.send(leader, new PeerMessage.ForwardedHeartbeat(host, forwarded, exchange.body()));
        loop.after(WAIT_MS, () -> {
            if (take(forwarded) != null) {
                redirect(leader, exchange);
            }
        });
    }

    private Http.Exchange take(long number) {
        Http.Exchange exchange = waiting.remove(number);
        waitingBytes -= exchange == null ? 0 : exchange.body().length;
        return exchange;
    }

    private static void redirect(String leader, Http.Exchange exchange) {
        exchange.answer(421, LeaderRedirect.bytes(leader));
    }

    /** Passes the leader's answer to the worker that waits for it. */
    public void answered(PeerMessage.Answer answer) {
        Http.Exchange exchange = take(answer.number());
        if (exchange != null) {
            exchange.answer(answer.status(), answer.body());
        }
    }

    /** Returns an exchange by which the leader answers a forwarded heartbeat; the answer is sent over {@code back}. */
    public Http.Exchange carried(PeerMessage.ForwardedHeartbeat heartbeat) {
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
                transport.send(heartbeat.host(), new PeerMessage.Answer(host, heartbeat.number(), status, json));
            }
        };
    }
}
