package org.landingridge.controller;

import java.util.Objects;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.peer.HeartbeatForwarder;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;

/** Determines which controller currently leads, and whether workers' heartbeats can be forwarded or redirected to it. */
final class LeaderView {
    /** Time without an answer from the state service after which the stored leader may be outdated. */
    private static final long STATE_SERVICE_TIMEOUT_MS = 2_500;
    /** Time within which a new leader's first message must arrive; otherwise it cannot be reached over the peer connections. */
    static final long FIRST_MESSAGE_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private final Leadership leadership;
    private final WatchCache watchCache;
    private final HeartbeatForwarder forwarder;
    private final String ownHost;
    /** Loop time of the last change of the stored leader. */
    private long leaderChangedAt = Long.MIN_VALUE / 2;

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

    /** Records the time of a change of the stored leader; {@code previousLeader} is the previously stored host. */
    void leaderKeyChanged(String previousLeader) {
        if (!Objects.equals(previousLeader, leadership.leaderHost())) {
            leaderChangedAt = loop.now();
        }
    }

    /**
     * Returns the leader's host, or null if no leader is known. A process that started during an outage of the state
     * service knows the leader only by its messages. If the state service has not answered recently, for instance because
     * it refuses this controller's requests, the stored leader may be outdated, and redirected workers would go in a circle.
     */
    String leaderHost() {
        String reachableLeader = forwarder.reachableLeader();
        boolean isStoredLeaderCurrent =
                watchCache.following() && loop.now() - watchCache.lastAnswer() < STATE_SERVICE_TIMEOUT_MS;
        return !isStoredLeaderCurrent && reachableLeader != null ? reachableLeader : leadership.leaderHost();
    }

    /** Returns true if another controller leads and heartbeats can be forwarded or workers redirected to it. */
    boolean hasOtherLeader() {
        String leaderHost = leaderHost();
        return leaderHost != null
                && !leaderHost.equals(ownHost)
                && (leaderHost.equals(forwarder.reachableLeader())
                        || loop.now() - leaderChangedAt > FIRST_MESSAGE_TIMEOUT_MS);
    }

    /** Returns true if a controller other than {@code host} leads, and its messages arrive over the peer connections. */
    boolean hasReachableLeaderOtherThan(String host) {
        String leaderHost = leaderHost();
        return leaderHost != null && !leaderHost.equals(host) && leaderHost.equals(forwarder.reachableLeader());
    }
}
