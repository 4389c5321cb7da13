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
 * Who the leader is, by the leader's key, and the claims of this controller on that key: when one may be made, and how one
 * ends whose outcome is unknown.
 */
final class LeaderElection {
    /** Without an answer of the state service for so long there is no point in a claim. */
    private static final long UNANSWERED_MS = 2_500;
    /** Claims of several controllers are spread over so many milliseconds. */
    private static final int SPREAD_MS = 60;

    private static final long PAUSE_UNKNOWN_MS = 300;
    private static final long PAUSE_LOST_MS = 200;

    /**
     * One try to take the lead.
     *
     * @param lease          the state service's lease that the key is bound to
     * @param sentAt         when that was asked for
     * @param quiescentSince since when no earlier leader can have answered a worker
     * @param previousToken  the token under which the last leader began
     */
    record Claim(long lease, long sentAt, long quiescentSince, long previousToken) {}

    /** Called when an election is won. */
    interface Winner {
        /** @param token the revision at which the claim put the leader's key */
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
    /** The last leader, by a key that stays when the leader lease ends. */
    private LeaderRecord lastLeader = LeaderRecord.NONE;

    private boolean catchingUp;
    private long claimNotBefore;
    /** The claim whose transaction is out; null while there is none. */
    private Claim pending;
    /** The leader that has stepped down and said so, by its token: its key may be replaced. */
    private long handedOverToken;

    /**
     * @param self     this process, without a lease
     * @param promised whether this controller has promised another one not to lead
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

    /** What the leader's key says. */
    LeaderRecord leader() {
        return leader;
    }

    /** True if the leader's key names this process. */
    boolean selfIsNamed() {
        return self.incarnation().equals(leader.incarnation());
    }

    /** What the leader's key says of this process under a lease. */
    LeaderRecord self(long lease) {
        return new LeaderRecord(self.host(), self.incarnation(), lease);
    }

    /** The watch's news of the leader's key; wins the pending claim if the key shows it. */
    void leaderChanged(JsonNode value, long version) {
        leader = LeaderRecord.read(value);
        if (pending != null && put(pending, leader)) {
            // Its answer is late or lost, and the others follow this controller already.
            won(pending, version);
        }
    }

    /** The watch's news of the key that names the last leader. */
    void lastLeaderChanged(JsonNode value) {
        lastLeader = LeaderRecord.read(value);
    }

    /** The leader of this token has stepped down and gives no more commands. */
    void handedOver(long token) {
        handedOverToken = token;
    }

    /** Makes no claim for so many milliseconds. */
    void pause(long pauseMs) {
        claimNotBefore = loop.now() + pauseMs;
    }

    /**
     * Claims the lead where the key is free, or where it names an earlier process of this very host. Called whenever that may
     * have become so.
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
        // The earlier process of this host is dead: no need to draw lots with the others.
        loop.after(ownHost ? 0 : random.nextInt(SPREAD_MS), () -> claim(seen, seenLast, quiescentSince));
    }

    private boolean canClaim() {
        return !catchingUp
                && watchCache.following()
                && loop.now() >= claimNotBefore
                && loop.now() - watchCache.lastAnswer() <= UNANSWERED_MS;
    }

    /**
     * An earlier process of this host may have promised a leader not to lead. No such promise binds where the last leader was
     * an earlier process of this very host, which is dead, or where no one has led yet.
     */
    private boolean mayHavePromised() {
        boolean unbound = self.host().equals(lastLeader.host()) || watchCache.version(settings.lastLeaderKey()) == 0;
        return !unbound && loop.now() - startedAt < Promises.DURATION_MS * 1.01;
    }

    /**
     * Whatever an earlier process of this host answered is over since this process began. What this one answered when it had
     * the lead before is not: counted from its start, all leases of its own former leader term would be long over.
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
            // What was concluded from the last leader's name holds only if no one has led since.
            List<Guard> guards =
                    List.of(new Guard(settings.key(), seen), new Guard(settings.lastLeaderKey(), seenLast));
            store.client().commit(guards, writes, answer -> claimAnswered(claim, answer));
        });
    }

    private void claimAnswered(Claim claim, Answer answer) {
        if (pending != claim) {
            // The watch's news have decided it.
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
                // Somebody was quicker. Who that is has to be read first: claims made before are lost as well, and
                // seven controllers that make them keep the state service from the winner.
                catchUp();
            }
        }
    }

    /** The claim may have been carried out: the key itself shows it. */
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
                // Not there yet; it may still arrive, and is then given up by letting its lease go.
                claimFailed(claim, PAUSE_UNKNOWN_MS);
            }
        });
    }

    /**
     * True if this is the claim that put the record: an earlier one of the same process, carried out late, has bound the key
     * to another lease, which is not renewed any more.
     */
    private boolean put(Claim claim, LeaderRecord stored) {
        return self.incarnation().equals(stored.incarnation()) && stored.lease() == claim.lease;
    }

    /** Makes no claim before the watch has brought what was there when this is called. */
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
