package org.landingridge.controller.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.LeaderRedirect;

/**
 * Forwards heartbeats of workers to the leader and its answers back, so that a worker may stay with any controller: a leader
 * that the workers cannot reach keeps their leases, and a failover moves only the workers that were with the leader itself.
 * Where the leader is not heard over {@code back}, the worker is redirected to it.
 */
public final class HeartbeatForwarder {
    /** The leader sends the others every second what runs: after a few misses the connection to it is taken to be cut. */
    private static final long FRESH_MS = 2_800;
    /** Less than the 4 s after which the worker gives up. */
    private static final long WAIT_MS = 1_500;
    /** Heartbeats that wait may take so many bytes together. */
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
     * Of the heartbeat forwarded last. Each incarnation begins somewhere else: a process that is back within a fraction of a
     * second may get the answer to a heartbeat that its former incarnation forwarded, and would give one machine's commands
     * to another.
     */
    private long number;

    /**
     * @param random      draws the number of the first heartbeat
     * @param host        of this controller
     * @param mostWaiting heartbeats that may wait for the leader at a time; each takes a connection of its worker
     */
    public HeartbeatForwarder(
            EventLoop loop, PeerTransport transport, RandomGenerator random, String host, int mostWaiting) {
        this.mostWaiting = mostWaiting;
        this.loop = loop;
        this.transport = transport;
        this.host = host;
        this.number = random.nextLong();
    }

    /** A message of this leader has come. */
    public void heard(String leader) {
        heardHost = leader;
        heardAt = loop.now();
    }

    /** The leader that is heard over {@code back}, or null. */
    public String heard() {
        return loop.now() - heardAt < FRESH_MS ? heardHost : null;
    }

    /** Answers a heartbeat at a controller that does not lead: 421 with the leader's host where it cannot be forwarded. */
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

    /** The leader's answer. */
    public void answered(PeerMessage.Answer answer) {
        Http.Exchange exchange = take(answer.number());
        if (exchange != null) {
            exchange.answer(answer.status(), answer.body());
        }
    }

    /** The leader's side: an exchange whose answer goes back over {@code back}. */
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
