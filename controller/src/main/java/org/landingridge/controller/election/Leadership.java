package org.landingridge.controller.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.random.RandomGenerator;
import org.landingridge.controller.jobs.CancellationLog;
import org.landingridge.controller.peer.PeerGroup;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.store.StoreAccess;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;
import org.landingridge.net.PeriodicTask;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this controller is the leader, and whether it may act as such. One key, bound to a lease in the state service, names
 * the leader; the revision at which that key was written is the fencing token. A leader may act for the lease duration, less an
 * allowance for clock drift, after the last successful renewal was sent, and only while its view of cancellations is fresh.
 */
public final class Leadership {
    /**
     * LEADING: the leader holds a valid lease. PROMISED: the state service does not answer, but every other controller has
     * promised not to lead for a limited time. SUSPENDED: neither holds, or the view of cancellations is too old, so no command
     * is sent. If the lease then proves to be still valid, the leader continues with the same token, because no other
     * controller can have led in between.
     */
    public enum State {
        FOLLOWING,
        CLAIMING,
        LEADING,
        PROMISED,
        SUSPENDED
    }

    /** Notified of the start and end of this controller's leader terms, and of cancellations that other controllers report. */
    public interface Listener {
        /** Called once this controller leads with this token and its view holds everything written before the election. */
        void elected(long token);

        /** Called when this controller no longer leads. */
        void leadershipEnded();

        /**
         * Called when another controller reports that a job was cancelled.
         *
         * @param revision revision at which the cancellation was stored
         */
        void cancellationReported(String jobId, long revision);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final long BARRIER_RETRY_MS = 200;
    /** The leader requests promises when a renewal is overdue by more than this, in milliseconds. */
    private static final long RENEWAL_DELAY_LIMIT_MS = 100;

    private final WatchCache watchCache;
    private final EventLoop loop;
    private final PeerGroup peers;
    private final ElectionSettings settings;
    private final Listener listener;
    private final String incarnation;
    private final LeadershipState state = new LeadershipState();
    private final LeaderLease lease;
    private final FencingToken token;
    private final LeaderElection election;
    private final Promises promises;
    /** Time of the last election win, by the loop's clock; its view may then be as old as one long-poll wait of the watch. */
    private long wonAt;

    private long quiescentSince;
    private long previousToken;
    private boolean leaderCheckPending;

    /**
     * @param random          source of this process's incarnation and of the jitter before claims
     * @param cancellationLog cancellations known to this process
     */
    public Leadership(
            StoreAccess store,
            RandomGenerator random,
            PeerGroup peers,
            ElectionSettings settings,
            CancellationLog cancellationLog,
            Listener listener) {
        this.watchCache = store.cache();
        this.loop = store.loop();
        this.peers = peers;
        this.settings = settings;
        this.listener = listener;
        this.incarnation = Long.toUnsignedString(random.nextLong(), 36);
        CancellationReports reports = new CancellationReports(
                loop, peers.otherHosts(), random.nextLong(), cancellationLog, watchCache::isLoaded);
        this.promises = new Promises(store.client(), loop, peers, settings.leaderKey(), reports);
        this.lease = new LeaderLease(store.client(), loop, settings.leaseMs());
        this.token = new FencingToken(store, settings.leaderKey(), lease);
        this.election = new LeaderElection(
                store,
                random,
                settings,
                new LeaderRecord(peers.ownHost(), incarnation, 0),
                state,
                promises::isBound,
                this::beginTerm);
    }

    /** Starts the timer that drives claims and renewals. */
    public void start() {
        new PeriodicTask(loop, "lease timer", settings.leaseMs() / 6, this::tick, this::resign).start();
    }

    /** Gives up leadership, so that another controller can lead: this one cannot do a leader's work. */
    public void resign(String reason) {
        if (leads()) {
            handOverLeadership(reason);
        }
    }

    /** Returns the election state of this controller. */
    public State state() {
        return state.current();
    }

    /** Returns the identifier that distinguishes this process from all other processes of its host. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns the host named in the leader key; null if there is none. */
    public String leaderHost() {
        return election.leader().host();
    }

    /** Returns the fencing token of this controller's current, or else last, leader term. */
    public long token() {
        return token.value();
    }

    /** Returns the time since which no earlier leader can have answered a worker, by the loop's clock. */
    public long quiescentSince() {
        return quiescentSince;
    }

    /** Returns the fencing token with which the leader before this one started its term; 0 if there was none. */
    public long previousToken() {
        return previousToken;
    }

    /** Returns the version of the leader key that the leader's writes are guarded by; 0 while this process may not write. */
    public long writeGuard() {
        return leads() ? token.value() : 0;
    }

    /** Returns whether this controller leads, even if it may not act at present. */
    public boolean leads() {
        return state.leads();
    }

    /** Returns whether the leader may send a command or renew a worker's lease; to be checked right before each. */
    public boolean mayAct() {
        return state.isActive() && withinDeadlines();
    }

    private boolean withinDeadlines() {
        return loop.now() < Math.min(lease.validUntil(), freshnessDeadline());
    }

    /**
     * Returns a time, by the loop's clock: every cancellation that any controller confirmed to a user before it is known here,
     * from the state service or from the reports of all other controllers.
     */
    public long cancellationsKnownBefore() {
        return Math.max(watchCache.currentAsOf(), promises.cancellationsKnownBefore());
    }

    /**
     * Returns the deadline, by the loop's clock, for answering workers without a newer view of cancellations. After it the
     * leader is suspended; otherwise the tasks of a job with a confirmed cancellation could run for the whole length of an
     * outage. The tasks of a job that is cancelled now must be gone by this deadline plus one worker lease.
     */
    public long freshnessDeadline() {
        return cancellationsKnownBefore() + settings.freshnessLimitMs();
    }

    /**
     * Applies a change of the leader key from the watch.
     *
     * @param value the new value; null if the key was deleted
     */
    public void leaderKeyChanged(JsonNode value, long version) {
        election.leaderChanged(value, version);
        if (leads() && version > token.value()) {
            if (election.leaderKeyNamesSelf()) {
                // This process raised the token itself, and the answer to that write was lost.
                token.set(version);
            } else {
                stepDown("another controller holds the leader key");
            }
        }
        claimIfPossible();
    }

    /** Applies a change, from the watch, of the key that names the last leader. */
    public void lastLeaderChanged(JsonNode value) {
        election.lastLeaderChanged(value);
    }

    private void tick() {
        switch (state.current()) {
            case FOLLOWING -> claimIfPossible();
            case LEADING, PROMISED, SUSPENDED -> maintainLeadership();
            case CLAIMING -> {}
        }
    }

    private void maintainLeadership() {
        boolean viewIsStale = loop.now() >= freshnessDeadline();
        if (state.is(State.LEADING) && viewIsStale && lease.isValid() && loop.now() - wonAt > settings.leaseMs()) {
            // Renewals succeed but the watch makes no progress, for example because the state service is too slow.
            handOverLeadership("this controller receives no changes from the state service");
            return;
        }
        if (!state.is(State.SUSPENDED) && (viewIsStale || !lease.isValid())) {
            suspend(viewIsStale);
        }
        if (lease.msSinceRenewal() > settings.leaseMs() * 2 / 5 + RENEWAL_DELAY_LIMIT_MS) {
            promises.requestPromises(token.value(), watchCache.revision());
        }
        lease.renew(settings.leaseMs() / 3, this::resumeLeading, () -> stepDown("the leader lease has expired"));
    }

    private void suspend(boolean viewIsStale) {
        if (viewIsStale) {
            LOG.warn(
                    "workers not answered because the view of cancellations is too old, ageMs={}",
                    loop.now() - cancellationsKnownBefore());
        }
        state.moveTo(State.SUSPENDED);
    }

    private void resumeLeading() {
        if (withinDeadlines()) {
            state.moveTo(State.LEADING);
        }
    }

    /**
     * Claims leadership if the leader key is free, names an earlier process of this host, or names a leader that has stepped
     * down. Called whenever one of these may have become true.
     */
    public void claimIfPossible() {
        election.claimIfPossible();
    }

    private void beginTerm(LeaderElection.Claim claim, long revision) {
        lease.begin(claim.leaseId(), claim.leaseRequestedAt());
        quiescentSince = claim.quiescentSince();
        previousToken = claim.previousToken();
        wonAt = loop.now();
        token.set(revision);
        watchCache.recordCommitted(settings.leaderKey(), revision);
        state.moveTo(State.LEADING);
        awaitCurrentView();
    }

    /** Reports the election only once this controller's view holds everything that was written before it. */
    private void awaitCurrentView() {
        long electedToken = token.value();
        watchCache.readBarrier(
                () -> {
                    if (leads() && token.value() == electedToken) {
                        listener.elected(electedToken);
                    }
                },
                () -> loop.after(BARRIER_RETRY_MS, () -> {
                    if (leads() && token.value() == electedToken) {
                        awaitCurrentView();
                    }
                }));
    }

    /**
     * Obtains a higher token under the same lease. Workers that have seen the new token reject commands with the old one that
     * are still in transit.
     */
    public void raiseToken() {
        if (state.is(State.LEADING)) {
            token.raise(election.recordUnderLease(lease.id()));
        }
    }

    /**
     * Checks with the state service who leads, after a worker has seen a higher token than this leader's. The watch delivers
     * any change of the leader key before the barrier is passed.
     */
    public void verifyLeadership() {
        if (!leaderCheckPending) {
            leaderCheckPending = true;
            watchCache.readBarrier(() -> leaderCheckPending = false, () -> leaderCheckPending = false);
        }
    }

    /** Answers another controller's request for a promise; a controller that leads or is claiming gives none. */
    public void answerPromiseRequest(PeerMessage.PromiseRequest ask) {
        promises.answerRequest(ask, () -> leads() || state.is(State.CLAIMING));
    }

    /** Applies a promise of another controller and the cancellations reported with it. */
    public void applyPromise(PeerMessage.Promise grant) {
        promises.applyReport(
                grant, cancellation -> listener.cancellationReported(cancellation.id(), cancellation.revision()));
        if (!leads() || grant.token() != token.value()) {
            return;
        }
        if (lease.extendByPromises(promises.recordPromise(grant)) && loop.now() < freshnessDeadline()) {
            state.moveTo(State.PROMISED);
        }
    }

    /** Handles a refused promise: the other controller leads, is claiming, or can reach the state service. */
    public void handleRefusal(PeerMessage.PromiseRefusal refusal) {
        // Ignore a late refusal, which is about an earlier failure: during an outage it would end a leader term that
        // the other controllers have promised to respect.
        if (!leads()
                || refusal.token() != token.value()
                || lease.msSinceRenewal() < settings.leaseMs() / 2
                || !promises.isRecentRequest(refusal.number())) {
            return;
        }
        // The other controller can use the state service. Try one more renewal, then hand leadership over.
        lease.tryRenewal(
                Promises.PROBE_TIMEOUT_MS,
                this::resumeLeading,
                () -> handOverLeadership(refusal.sender() + " can use the state service and this controller cannot"));
    }

    /** Ends this leader term and tells the other controllers that the leader key may be replaced. */
    private void handOverLeadership(String reason) {
        long endedToken = token.value();
        stepDown(reason);
        peers.sendToOthers(new PeerMessage.HandOver(peers.ownHost(), endedToken));
    }

    /** Handles the announcement of a leader that it has stepped down and sends no more commands. */
    public void handleHandOver(PeerMessage.HandOver handOver) {
        election.recordHandOver(handOver.token());
        claimIfPossible();
    }

    private void stepDown(String reason) {
        LOG.warn("stepping down, reason={}", reason);
        lease.end();
        promises.clear();
        election.pauseClaims(settings.leaseMs());
        state.moveTo(State.FOLLOWING);
        listener.leadershipEnded();
    }
}
