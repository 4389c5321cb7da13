package org.landingridge.controller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.leader.LeaderTerm;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.peer.HeartbeatForwarder;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives workers' heartbeats. Passes them to the leader term if this controller leads, forwards them to the leader if
 * another controller leads, and parks them for a limited time while no leader is known.
 */
final class HeartbeatReceiver {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReceiver.class);
    /** Longest wait of a heartbeat for a leader to become known; below the worker's own timeout of 4 s. */
    private static final long MAX_PARKED_MS = 1_500;
    /** Interval between checks whether a leader is known. */
    private static final long PARK_POLL_MS = 100;

    /** Limit on the total size of the parked heartbeats, in bytes. */
    private static final int MAX_PARKED_BYTES = 8 << 20;
    /** HTTP status "Misdirected Request": no leader is known here, so the worker tries another controller. */
    private static final int STATUS_MISDIRECTED = 421;

    /** A heartbeat that arrived while no leader was known; {@code expiresAt} is the loop time at which it is turned away. */
    private record ParkedHeartbeat(Http.Exchange exchange, long expiresAt) {}

    private final EventLoop loop;
    private final Leadership leadership;
    private final LeaderView leaderView;
    private final HeartbeatForwarder forwarder;
    private final Supplier<LeaderTerm> currentTerm;
    private final Metrics metrics;
    private final int maxParked;
    private final Deque<ParkedHeartbeat> parkedHeartbeats = new ArrayDeque<>();
    private int parkedBytes;

    /**
     * @param currentTerm supplies the leader term of this controller, null while it does not lead
     * @param maxParked limit on the number of parked heartbeats; each holds a connection
     */
    HeartbeatReceiver(
            EventLoop loop,
            Leadership leadership,
            LeaderView leaderView,
            HeartbeatForwarder forwarder,
            Supplier<LeaderTerm> currentTerm,
            Metrics metrics,
            int maxParked) {
        this.loop = loop;
        this.leadership = leadership;
        this.leaderView = leaderView;
        this.forwarder = forwarder;
        this.currentTerm = currentTerm;
        this.metrics = metrics;
        this.maxParked = maxParked;
    }

    /** Answers a heartbeat, now or once a leader is known. */
    void receive(Http.Exchange exchange) {
        metrics.reports.increment();
        LeaderTerm term = currentTerm.get();
        if (term != null && leadership.mayAct()) {
            handle(term, exchange);
        } else if (leaderView.hasOtherLeader()) {
            forwarder.forward(leaderView.leaderHost(), exchange);
        } else if (term == null && parkedHeartbeats.size() < maxParked && parkedBytes < MAX_PARKED_BYTES) {
            park(exchange);
        } else {
            exchange.answer(STATUS_MISDIRECTED, Json.bytes(Json.object()));
        }
    }

    private void handle(LeaderTerm term, Http.Exchange exchange) {
        try {
            term.report(Heartbeat.parse(Json.parse(exchange.body())), exchange);
        } catch (InvalidMessageException e) {
            metrics.malformed.increment();
            LOG.warn("malformed heartbeat rejected, error={}", e.getMessage());
            exchange.answer(400, Json.bytes(Json.object().put("error", e.getMessage())));
        }
    }

    /**
     * Keeps a heartbeat until a leader is known. A worker turned away at once would try the next controller a second later,
     * which may not know the leader either. And if hundreds of workers were redirected to a newly elected leader, that
     * one processor would have to serve all of them.
     */
    private void park(Http.Exchange exchange) {
        parkedHeartbeats.addLast(new ParkedHeartbeat(exchange, loop.now() + MAX_PARKED_MS));
        parkedBytes += exchange.body().length;
        if (parkedHeartbeats.size() == 1) {
            loop.after(PARK_POLL_MS, this::releaseParked);
        }
    }

    /** Processes the parked heartbeats if a leader is known, and otherwise turns away those that have waited too long. */
    void releaseParked() {
        boolean leaderKnown = currentTerm.get() != null || leaderView.hasOtherLeader();
        for (int remaining = parkedHeartbeats.size(); remaining > 0; remaining--) {
            ParkedHeartbeat heartbeat = parkedHeartbeats.pollFirst();
            if (!leaderKnown && loop.now() < heartbeat.expiresAt) {
                parkedHeartbeats.addLast(heartbeat);
                continue;
            }
            parkedBytes -= heartbeat.exchange.body().length;
            if (leaderKnown) {
                receive(heartbeat.exchange);
            } else {
                heartbeat.exchange.answer(STATUS_MISDIRECTED, Json.bytes(Json.object()));
            }
        }
        if (!parkedHeartbeats.isEmpty()) {
            loop.after(PARK_POLL_MS, this::releaseParked);
        }
    }
}
