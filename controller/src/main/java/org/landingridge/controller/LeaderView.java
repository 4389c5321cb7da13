package org.landingridge.controller;

import java.util.Objects;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.peer.HeartbeatForwarder;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;

/** Which controller this one takes for the leader, and whether workers' heartbeats can be forwarded or sent there. */
final class LeaderView {
    /** Without an answer of the state service for so long, the stored leader may be one of the past. */
    private static final long STALE_MS = 2_500;
    /** A new leader is heard over the peer connections within this time, or it cannot be reached over them. */
    static final long HEARD_WITHIN_MS = 1_000;

    private final EventLoop loop;
    private final Leadership leadership;
    private final WatchCache watchCache;
    private final HeartbeatForwarder forwarder;
    private final String ownHost;
    private long leaderSince = Long.MIN_VALUE / 2;

    LeaderView(
            EventLoop loop,
            Leadership leadership,
            WatchCache watchCache,
            HeartbeatForwarder forwarder,
            String ownHost) {
        this.loop = loop;
        this.leadership = leadership;
        this.watchCache = watchCache;
        this.forwarder = forwarder;
        this.ownHost = ownHost;
    }

    /** Notes when the stored leader became another one; {@code before} is the host that was stored until now. */
    void leaderKeyChanged(String before) {
        if (!Objects.equals(before, leadership.leaderHost())) {
            leaderSince = loop.now();
        }
    }

    /**
     * The leader's host, or null. A process that began in an outage of the state service knows the leader by its
     * messages alone. Where the state service has not answered lately, as one that refuses this controller, the stored
     * leader may be one of the past, to which workers would be redirected in a circle.
     */
    String leader() {
        String heard = forwarder.heard();
        boolean current = watchCache.following() && loop.now() - watchCache.lastAnswer() < STALE_MS;
        return !current && heard != null ? heard : leadership.leaderHost();
    }

    /** True if another controller leads and heartbeats can be forwarded to it, or workers redirected. */
    boolean otherLeads() {
        String leader = leader();
        return leader != null
                && !leader.equals(ownHost)
                && (leader.equals(forwarder.heard()) || loop.now() - leaderSince > HEARD_WITHIN_MS);
    }

    /** True if the leader is another controller than {@code host}, and is heard over the peer connections. */
    boolean otherIsHeard(String host) {
        String leader = leader();
        return leader != null && !leader.equals(host) && leader.equals(forwarder.heard());
    }
}
