package org.landingridge.controller.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.landingridge.controller.election.Leadership.State;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.StoreAccess;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;

/**
 * Tracks the current leader by the leader key, and makes this controller's claims on that key: decides when a claim is allowed
 * and resolves claims whose outcome is unknown.
 */
final class LeaderElection {
    /** No claim is made when the last answer of the state service is older than this, in milliseconds. */
    private static final long MAX_ANSWER_AGE_MS = 2_500;
    /** Upper bound of the random delay before a claim, in milliseconds; keeps controllers from claiming at the same time. */
    private static final int MAX_CLAIM_JITTER_MS = 60;

    private static final long UNKNOWN_OUTCOME_PAUSE_MS = 300;
    private static final long LOST_CLAIM_PAUSE_MS = 200;

    /**
     * One attempt to become leader.
     *
     * @param leaseId          ID of the state service lease that the leader key is bound to
     * @param leaseRequestedAt time at which that lease was requested, by the loop's clock
     * @param quiescentSince   time since which no earlier leader can have answered a worker, by the loop's clock
     * @param previousToken    fencing token with which the previous leader started its term; 0 if there was none
     */
    record Claim(long leaseId, long leaseRequestedAt, long quiescentSince, long previousToken) {}

    /** Notified when this controller wins an election. */
    interface WinListener {
        /** @param token revision at which the claim wrote the leader key */
        void electionWon(Claim claim, long token);
    }

    private final StoreAccess store;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final ElectionSettings settings;
    private final LeaderRecord self;
    private final LeadershipState state;
    private final BooleanSupplier boundByPromise;
    private final WinListener winListener;
    private final long startedAt;
    private LeaderRecord leader = LeaderRecord.NONE;
    /** The last leader, from a key that remains when the leader lease ends. */
    private LeaderRecord lastLeader = LeaderRecord.NONE;

    private boolean catchingUp;
    private long claimNotBefore;
    /** The claim whose transaction has not been answered yet; null if there is none. */
    private Claim pendingClaim;
    /** Token of a leader that has announced that it stepped down, so that its key may be replaced; 0 if there is none. */
    private long handedOverToken;

    /**
     * @param self           record of this process, without a lease
     * @param boundByPromise whether this controller is bound by a promise to another controller not to lead
     */
    LeaderElection(
            StoreAccess store,
            RandomGenerator random,
            ElectionSettings settings,
            LeaderRecord self,
            LeadershipState state,
            BooleanSupplier boundByPromise,
            WinListener winListener) {
        this.store = store;
        this.watchCache = store.cache();
        this.loop = store.loop();
        this.random = random;
        this.settings = settings;
        this.self = self;
        this.state = state;
        this.boundByPromise = boundByPromise;
        this.winListener = winListener;
        this.startedAt = loop.now();
    }

    /** Returns the value of the leader key. */
    LeaderRecord leader() {
        return leader;
    }

    /** Returns whether the leader key names this process. */
    boolean leaderKeyNamesSelf() {
        return self.incarnation().equals(leader.incarnation());
    }

    /** Returns the value of the leader key for this process under the given lease. */
    LeaderRecord recordUnderLease(long leaseId) {
        return new LeaderRecord(self.host(), self.incarnation(), leaseId);
    }

    /** Applies a change of the leader key from the watch; the pending claim is won if the key holds its record. */
    void leaderChanged(JsonNode value, long version) {
        leader = LeaderRecord.fromJson(value);
        if (pendingClaim != null && hasWritten(pendingClaim, leader)) {
            // The answer to the claim is late or lost, but the other controllers already follow this one.
            finishWonClaim(pendingClaim, version);
        }
    }

    /** Applies a change, from the watch, of the key that names the last leader. */
    void lastLeaderChanged(JsonNode value) {
        lastLeader = LeaderRecord.fromJson(value);
    }

    /** Records that the leader with this token has stepped down and sends no more commands. */
    void recordHandOver(long token) {
        handedOverToken = token;
    }

    /** Makes no claim for the given time. */
    void pauseClaims(long pauseMs) {
        claimNotBefore = loop.now() + pauseMs;
    }

    /**
     * Claims leadership if the leader key is free, names an earlier process of this host, or names a leader that has stepped
     * down. Called whenever one of these may have become true.
     */
    void claimIfPossible() {
        if (!state.is(State.FOLLOWING) || !canClaim()) {
            return;
        }
        boolean leaderOnOwnHost = self.host().equals(leader.host());
        boolean leaderHandedOver = handedOverToken != 0 && handedOverToken == watchCache.version(settings.leaderKey());
        if (leader.host() != null && !leaderOnOwnHost && !leaderHandedOver || boundByPromise.getAsBoolean()) {
            return;
        }
        if (!leaderOnOwnHost && !leaderHandedOver && earlierPromiseMayBind()) {
            return;
        }
        state.moveTo(State.CLAIMING);
        long leaderKeyVersion = watchCache.version(settings.leaderKey());
        long lastLeaderKeyVersion = watchCache.version(settings.lastLeaderKey());
        long quiescentSince = quiescentSince();
        // The earlier process of this host is dead, and its key blocks the other controllers: no jitter is needed.
        loop.after(
                leaderOnOwnHost ? 0 : random.nextInt(MAX_CLAIM_JITTER_MS),
                () -> claim(leaderKeyVersion, lastLeaderKeyVersion, quiescentSince));
    }

    private boolean canClaim() {
        return !catchingUp
                && watchCache.isFollowing()
                && loop.now() >= claimNotBefore
                && loop.now() - watchCache.lastAnswerAt() <= MAX_ANSWER_AGE_MS;
    }

    /**
     * Returns whether a promise not to lead, given by an earlier process of this host, may still be in force. There is none if
     * the last leader was an earlier process of this host, which is dead, or if there has been no leader yet.
     */
    private boolean earlierPromiseMayBind() {
        boolean noPromisePossible =
                self.host().equals(lastLeader.host()) || watchCache.version(settings.lastLeaderKey()) == 0;
        return !noPromisePossible && loop.now() - startedAt < Promises.DURATION_MS * 1.01;
    }

    /**
     * Returns the time since which no earlier leader can have answered a worker. An earlier process of this host cannot have
     * answered after this process started. The start time must not be used if this process itself was the last leader: the
     * worker leases it granted in that term would all count as expired.
     */
    private long quiescentSince() {
        boolean earlierProcessLed =
                self.host().equals(lastLeader.host()) && !self.incarnation().equals(lastLeader.incarnation());
        return earlierProcessLed ? startedAt : loop.now();
    }

    private void claim(long leaderKeyVersion, long lastLeaderKeyVersion, long quiescentSince) {
        long sentAt = loop.now();
        store.client().grantLease(settings.leaseMs(), grantAnswer -> {
            if (!grantAnswer.ok() || grantAnswer.leaseId() == 0) {
                returnToFollowing(UNKNOWN_OUTCOME_PAUSE_MS);
                return;
            }
            Claim claim = new Claim(grantAnswer.leaseId(), sentAt, quiescentSince, lastLeaderKeyVersion);
            pendingClaim = claim;
            JsonNode record = recordUnderLease(claim.leaseId).toJson();
            List<Write> writes = List.of(
                    new Write(settings.leaderKey(), record, claim.leaseId),
                    new Write(settings.lastLeaderKey(), record, 0));
            // The conclusions drawn from the last leader hold only if nobody has led since, hence the second guard.
            List<Guard> guards = List.of(
                    new Guard(settings.leaderKey(), leaderKeyVersion),
                    new Guard(settings.lastLeaderKey(), lastLeaderKeyVersion));
            store.client().commit(guards, writes, answer -> handleClaimAnswer(claim, answer));
        });
    }

    private void handleClaimAnswer(Claim claim, Answer answer) {
        if (pendingClaim != claim) {
            // A change of the leader key from the watch has already decided this claim.
            return;
        }
        if (answer.ok()) {
            watchCache.recordCommitted(settings.lastLeaderKey(), answer.revision());
            finishWonClaim(claim, answer.revision());
        } else if (answer.status() == Status.UNKNOWN) {
            resolveUnknownClaim(claim);
        } else {
            abandonClaim(claim, LOST_CLAIM_PAUSE_MS);
            if (answer.status() == Status.CONFLICT) {
                // Another controller won. Wait until the watch shows which one: claims made earlier would fail too, and
                // those of seven controllers would take state service capacity from the winner.
                catchUp();
            }
        }
    }

    /** Reads the leader key to find out whether a claim with an unknown outcome was applied. */
    private void resolveUnknownClaim(Claim claim) {
        store.client().get(settings.leaderKey(), answer -> {
            if (pendingClaim != claim) {
                return;
            }
            if (answer.ok() && hasWritten(claim, LeaderRecord.fromJson(answer.value()))) {
                finishWonClaim(claim, answer.version());
            } else if (answer.status() == Status.REFUSED || answer.status() == Status.UNKNOWN) {
                loop.after(UNKNOWN_OUTCOME_PAUSE_MS, () -> resolveUnknownClaim(claim));
            } else {
                // Not applied so far. It may still be applied late; releasing its lease then removes the key.
                abandonClaim(claim, UNKNOWN_OUTCOME_PAUSE_MS);
            }
        });
    }

    /**
     * Returns whether the stored record was written by this claim. An earlier claim of the same process that was applied late
     * has bound the key to another lease, which is no longer renewed.
     */
    private boolean hasWritten(Claim claim, LeaderRecord stored) {
        return self.incarnation().equals(stored.incarnation()) && stored.leaseId() == claim.leaseId;
    }

    /** Blocks further claims until the watch has delivered everything that was stored before this call. */
    private void catchUp() {
        catchingUp = true;
        watchCache.readBarrier(
                () -> {
                    catchingUp = false;
                    claimIfPossible();
                },
                () -> loop.after(LOST_CLAIM_PAUSE_MS, () -> catchingUp = false));
    }

    private void abandonClaim(Claim claim, long pauseMs) {
        pendingClaim = null;
        store.client().releaseLease(claim.leaseId, ignored -> {});
        returnToFollowing(pauseMs);
    }

    private void returnToFollowing(long pauseMs) {
        pauseClaims(pauseMs);
        state.moveTo(State.FOLLOWING);
    }

    private void finishWonClaim(Claim claim, long token) {
        pendingClaim = null;
        leader = recordUnderLease(claim.leaseId);
        lastLeader = leader;
        winListener.electionWon(claim, token);
    }
}
