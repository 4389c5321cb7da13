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
    private static final long UNANSWERED_MS = 2_500;
    /** Upper bound of the random delay before a claim, in milliseconds; keeps controllers from claiming at the same time. */
    private static final int SPREAD_MS = 60;

    private static final long PAUSE_UNKNOWN_MS = 300;
    private static final long PAUSE_LOST_MS = 200;

    /**
     * One attempt to become leader.
     *
     * @param lease          ID of the state service lease that the leader key is bound to
     * @param sentAt         time at which that lease was requested, by the loop's clock
     * @param quiescentSince time since which no earlier leader can have answered a worker, by the loop's clock
     * @param previousToken  fencing token with which the previous leader started its term; 0 if there was none
     */
    record Claim(long lease, long sentAt, long quiescentSince, long previousToken) {}

    /** Notified when this controller wins an election. */
    interface Winner {
        /** @param token revision at which the claim wrote the leader key */
        void won(Claim claim, long token);
    }

    private final StoreAccess store;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final ElectionSettings settings;
    private final LeaderRecord self;
    private final LeadershipState state;
    private final BooleanSupplier promised;
    private final Winner winner;
    private final long startedAt;
    private LeaderRecord leader = LeaderRecord.NONE;
    /** The last leader, from a key that remains when the leader lease ends. */
    private LeaderRecord lastLeader = LeaderRecord.NONE;

    private boolean catchingUp;
    private long claimNotBefore;
    /** The claim whose transaction has not been answered yet; null if there is none. */
    private Claim pending;
    /** Token of a leader that has announced that it stepped down, so that its key may be replaced; 0 if there is none. */
    private long handedOverToken;

    /**
     * @param self     record of this process, without a lease
     * @param promised whether this controller is bound by a promise to another controller not to lead
     */
    LeaderElection(
            StoreAccess store,
            RandomGenerator random,
            ElectionSettings settings,
            LeaderRecord self,
            LeadershipState state,
            BooleanSupplier promised,
            Winner winner) {
        this.store = store;
        this.watchCache = store.cache();
        this.loop = store.loop();
        this.random = random;
        this.settings = settings;
        this.self = self;
        this.state = state;
        this.promised = promised;
        this.winner = winner;
        this.startedAt = loop.now();
    }

    /** Returns the value of the leader key. */
    LeaderRecord leader() {
        return leader;
    }

    /** Returns whether the leader key names this process. */
    boolean selfIsNamed() {
        return self.incarnation().equals(leader.incarnation());
    }

    /** Returns the value of the leader key for this process under the given lease. */
    LeaderRecord self(long lease) {
        return new LeaderRecord(self.host(), self.incarnation(), lease);
    }

    /** Applies a change of the leader key from the watch; the pending claim is won if the key holds its record. */
    void leaderChanged(JsonNode value, long version) {
        leader = LeaderRecord.read(value);
        if (pending != null && put(pending, leader)) {
            // The answer to the claim is late or lost, but the other controllers already follow this one.
            won(pending, version);
        }
    }

    /** Applies a change, from the watch, of the key that names the last leader. */
    void lastLeaderChanged(JsonNode value) {
        lastLeader = LeaderRecord.read(value);
    }

    /** Records that the leader with this token has stepped down and sends no more commands. */
    void handedOver(long token) {
        handedOverToken = token;
    }

    /** Makes no claim for the given time. */
    void pause(long pauseMs) {
        claimNotBefore = loop.now() + pauseMs;
    }

    /**
     * Claims leadership if the leader key is free, names an earlier process of this host, or names a leader that has stepped
     * down. Called whenever one of these may have become true.
     */
    void consider() {
        if (!state.is(State.FOLLOWING) || !canClaim()) {
            return;
        }
        boolean ownHost = self.host().equals(leader.host());
        boolean handedOver = handedOverToken != 0 && handedOverToken == watchCache.version(settings.key());
        if (leader.host() != null && !ownHost && !handedOver || promised.getAsBoolean()) {
            return;
        }
        if (!ownHost && !handedOver && mayHavePromised()) {
            return;
        }
        state.to(State.CLAIMING);
        long seen = watchCache.version(settings.key());
        long seenLast = watchCache.version(settings.lastLeaderKey());
        long quiescentSince = quiescentSince();
        // The earlier process of this host is dead and its key keeps the other controllers from claiming: no jitter is
        // needed.
        loop.after(ownHost ? 0 : random.nextInt(SPREAD_MS), () -> claim(seen, seenLast, quiescentSince));
    }

    private boolean canClaim() {
        return !catchingUp
                && watchCache.following()
                && loop.now() >= claimNotBefore
                && loop.now() - watchCache.lastAnswer() <= UNANSWERED_MS;
    }

    /**
     * Returns whether a promise not to lead, given by an earlier process of this host, may still be in force. There is none if
     * the last leader was an earlier process of this host, which is dead, or if there has been no leader yet.
     */
    private boolean mayHavePromised() {
        boolean unbound = self.host().equals(lastLeader.host()) || watchCache.version(settings.lastLeaderKey()) == 0;
        return !unbound && loop.now() - startedAt < Promises.DURATION_MS * 1.01;
    }

    /**
     * Returns the time since which no earlier leader can have answered a worker. An earlier process of this host cannot have
     * answered after this process started. The start time must not be used if this process itself was the last leader: the
     * worker leases it granted in that term would all count as expired.
     */
    private long quiescentSince() {
        boolean earlierProcess =
                self.host().equals(lastLeader.host()) && !self.incarnation().equals(lastLeader.incarnation());
        return earlierProcess ? startedAt : loop.now();
    }

    private void claim(long seen, long seenLast, long quiescentSince) {
        long sentAt = loop.now();
        store.client().grant(settings.leaseMs(), granted -> {
            if (!granted.ok() || granted.lease() == 0) {
                claimFailed(PAUSE_UNKNOWN_MS);
                return;
            }
            Claim claim = new Claim(granted.lease(), sentAt, quiescentSince, seenLast);
            pending = claim;
            JsonNode record = self(claim.lease).toJson();
            List<Write> writes = List.of(
                    new Write(settings.key(), record, claim.lease), new Write(settings.lastLeaderKey(), record, 0));
            // The conclusions drawn from the last leader hold only if nobody has led since, hence the second guard.
            List<Guard> guards =
                    List.of(new Guard(settings.key(), seen), new Guard(settings.lastLeaderKey(), seenLast));
            store.client().commit(guards, writes, answer -> claimAnswered(claim, answer));
        });
    }

    private void claimAnswered(Claim claim, Answer answer) {
        if (pending != claim) {
            // A change of the leader key from the watch has already decided this claim.
            return;
        }
        if (answer.ok()) {
            watchCache.committed(settings.lastLeaderKey(), answer.revision());
            won(claim, answer.revision());
        } else if (answer.status() == Status.UNKNOWN) {
            resolve(claim);
        } else {
            claimFailed(claim, PAUSE_LOST_MS);
            if (answer.status() == Status.CONFLICT) {
                // Another controller won. Wait until the watch shows which one: claims made earlier would fail too, and
                // those of seven controllers would take state service capacity from the winner.
                catchUp();
            }
        }
    }

    /** Reads the leader key to find out whether a claim with an unknown outcome was applied. */
    private void resolve(Claim claim) {
        store.client().get(settings.key(), answer -> {
            if (pending != claim) {
                return;
            }
            if (answer.ok() && put(claim, LeaderRecord.read(answer.value()))) {
                won(claim, answer.version());
            } else if (answer.status() == Status.REFUSED || answer.status() == Status.UNKNOWN) {
                loop.after(PAUSE_UNKNOWN_MS, () -> resolve(claim));
            } else {
                // Not applied so far. It may still be applied late; releasing its lease then removes the key.
                claimFailed(claim, PAUSE_UNKNOWN_MS);
            }
        });
    }

    /**
     * Returns whether the stored record was written by this claim. An earlier claim of the same process that was applied late
     * has bound the key to another lease, which is no longer renewed.
     */
    private boolean put(Claim claim, LeaderRecord stored) {
        return self.incarnation().equals(stored.incarnation()) && stored.lease() == claim.lease;
    }

    /** Blocks further claims until the watch has delivered everything that was stored before this call. */
    private void catchUp() {
        catchingUp = true;
        watchCache.barrier(
                () -> {
                    catchingUp = false;
                    consider();
                },
                () -> loop.after(PAUSE_LOST_MS, () -> catchingUp = false));
    }

    private void claimFailed(Claim claim, long pauseMs) {
        pending = null;
        store.client().release(claim.lease, ignored -> {});
        claimFailed(pauseMs);
    }

    private void claimFailed(long pauseMs) {
        pause(pauseMs);
        state.to(State.FOLLOWING);
    }

    private void won(Claim claim, long token) {
        pending = null;
        leader = self(claim.lease);
        lastLeader = leader;
        winner.won(claim, token);
    }
}
