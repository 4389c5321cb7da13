package org.landingridge.controller.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.random.RandomGenerator;
import org.landingridge.controller.jobs.CancellationLog;
import org.landingridge.controller.peer.PeerGroup;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.store.StoreAccess;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this controller leads, and may act. One key, bound to a lease of the state service, names the leader; the revision
 * at which it was put is the fencing token. The right to act runs from when the last successful renewal was sent, for the
 * lease's duration less drift.
 */
public final class Leadership {
    /**
     * LEADING by the lease. PROMISED: the state service does not answer, but every other controller has promised not to take
     * the lead for a while. SUSPENDED: neither, or it is too long since all cancellations were known; no command is given,
     * but if the lease turns out to be alive the leader goes on under the same token, since then no one else can have led
     * meanwhile.
     */
    public enum State {
        FOLLOWING,
        CLAIMING,
        LEADING,
        PROMISED,
        SUSPENDED
    }

    /** Called for every change of state. */
    public interface Listener {
        /** This controller leads under the token, and its copy of the state holds all that was written before. */
        void elected(long token);

        /** This controller does not lead any more. */
        void deposed();

        /** Another controller knows the job to be cancelled, at this revision. */
        void cancelled(String job, long revision);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final long RETRY_MS = 200;
    /** A renewal that is late by more than this lets the leader ask for promises. */
    private static final long LATE_RENEWAL_MS = 100;

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
    /** When this controller took the lead last; what it knows may be a watch's wait old then. */
    private long wonAt;

    private long quiescentSince;
    private long previousToken;
    private boolean verifying;

    /**
     * @param random        draws this process' incarnation and the pauses before claims
     * @param cancellations the cancellations that this process knows
     */
    public Leadership(
            StoreAccess store,
            RandomGenerator random,
            PeerGroup peers,
            ElectionSettings settings,
            CancellationLog cancellations,
            Listener listener) {
        this.watchCache = store.cache();
        this.loop = store.loop();
        this.peers = peers;
        this.settings = settings;
        this.listener = listener;
        this.incarnation = Long.toUnsignedString(random.nextLong(), 36);
        CancellationReports reports =
                new CancellationReports(loop, peers.others(), random.nextLong(), cancellations, watchCache::loaded);
        this.promises = new Promises(store.client(), loop, peers, settings.key(), reports);
        this.lease = new LeaderLease(store.client(), loop, settings.leaseMs());
        this.token = new FencingToken(store, settings.key(), lease);
        this.election = new LeaderElection(
                store,
                random,
                settings,
                new LeaderRecord(peers.host(), incarnation, 0),
                state,
                promises::bound,
                this::won);
    }

    /** Begins to follow, to claim and to renew, by a timer of its own. */
    public void start() {
        tick();
    }

    /** The state in the election. */
    public State state() {
        return state.current();
    }

    /** Names this process among all processes of its host. */
    public String incarnation() {
        return incarnation;
    }

    /** The host in the leader's key, null while there is none. */
    public String leaderHost() {
        return election.leader().host();
    }

    /** The fencing token under which this controller leads, or led last. */
    public long token() {
        return token.value();
    }

    /** Since when, by the loop's clock, no earlier leader can have answered a worker. */
    public long quiescentSince() {
        return quiescentSince;
    }

    /** The token under which the last leader began, before this one; 0 where there was none. */
    public long previousToken() {
        return previousToken;
    }

    /** Version of the leader's key that the leader's writes are conditional on; 0 while this process may not write. */
    public long writeGuard() {
        return leads() ? token.value() : 0;
    }

    /** True while this controller leads, whether it may act now or not. */
    public boolean leads() {
        return state.leads();
    }

    /** True while a command or a renewal of a worker's lease may be given: checked right before each. */
    public boolean mayAct() {
        return state.active() && withinRights();
    }

    private boolean withinRights() {
        return loop.now() < Math.min(lease.validUntil(), freshnessDeadline());
    }

    /**
     * Every cancellation that any controller confirmed to a user before this time, by the loop's clock, is known here: by what was
     * read of the state, or by the reports of all others.
     */
    public long cancellationsKnownAt() {
        return Math.max(watchCache.viewAt(), promises.cancellationsKnownAt());
    }

    /**
     * Until when workers may be answered without more news of cancellations, by the loop's clock. Beyond it the lead ends by
     * itself: the tasks of a job whose cancellation was confirmed could otherwise run on for as long as an outage lasts.
     * What is cancelled now must be off its machine by then and a lease of the machine.
     */
    public long freshnessDeadline() {
        return cancellationsKnownAt() + settings.freshnessMs();
    }

    /** The watch's news of the leader's key; null where it has been deleted. */
    public void keyChanged(JsonNode value, long version) {
        election.leaderChanged(value, version);
        if (leads() && version > token.value()) {
            if (election.selfIsNamed()) {
                // A token that was raised by a write of ours whose answer got lost.
                token.set(version);
            } else {
                stepDown("another controller holds the key");
            }
        }
        consider();
    }

    /** The watch's news of the key that names the last leader, for as long as no other follows. */
    public void lastLeaderChanged(JsonNode value) {
        election.lastLeaderChanged(value);
    }

    private void tick() {
        switch (state.current()) {
            case FOLLOWING -> consider();
            case LEADING, PROMISED, SUSPENDED -> maintain();
            case CLAIMING -> {}
        }
        loop.after(settings.leaseMs() / 6, this::tick);
    }

    private void maintain() {
        boolean stale = loop.now() >= freshnessDeadline();
        if (state.is(State.LEADING) && stale && lease.valid() && loop.now() - wonAt > settings.leaseMs()) {
            // The lease is renewed and nothing can be read, as where the state service is too slow for it.
            handOver("this controller cannot read what changes");
            return;
        }
        if (!state.is(State.SUSPENDED) && (stale || !lease.valid())) {
            suspend(stale);
        }
        if (lease.sinceRenewal() > settings.leaseMs() * 2 / 5 + LATE_RENEWAL_MS) {
            promises.ask(token.value(), watchCache.revision());
        }
        lease.renew(settings.leaseMs() / 3, this::renewed, () -> stepDown("the lease has ended"));
    }

    private void suspend(boolean stale) {
        if (stale) {
            LOG.warn(
                    "all cancellations are known only up to {} ms ago: no worker is answered any more",
                    loop.now() - cancellationsKnownAt());
        }
        state.to(State.SUSPENDED);
    }

    private void renewed() {
        if (withinRights()) {
            state.to(State.LEADING);
        }
    }

    /**
     * Claims the lead where the key is free, or where it names an earlier process of this very host. Called whenever that may
     * have become so.
     */
    public void consider() {
        election.consider();
    }

    private void won(LeaderElection.Claim claim, long revision) {
        lease.begin(claim.lease(), claim.sentAt());
        quiescentSince = claim.quiescentSince();
        previousToken = claim.previousToken();
        wonAt = loop.now();
        token.set(revision);
        watchCache.committed(settings.key(), revision);
        state.to(State.LEADING);
        awaitCurrentView();
    }

    /** The new leader's view must hold everything that was written before it was elected. */
    private void awaitCurrentView() {
        long elected = token.value();
        watchCache.barrier(
                () -> {
                    if (leads() && token.value() == elected) {
                        listener.elected(elected);
                    }
                },
                () -> loop.after(RETRY_MS, () -> {
                    if (leads() && token.value() == elected) {
                        awaitCurrentView();
                    }
                }));
    }

    /**
     * Takes a higher token under the same lease. Commands given under the old one that are still on their way are then
     * refused by every worker that has seen the new one.
     */
    public void raiseToken() {
        if (state.is(State.LEADING)) {
            token.raise(election.self(lease.id()));
        }
    }

    /** A worker has seen a higher token than ours: the state service is asked who leads, past a barrier. */
    public void suspect() {
        if (!verifying) {
            verifying = true;
            watchCache.barrier(() -> verifying = false, () -> verifying = false);
        }
    }

    /** Another controller asks for a promise; whoever leads, or may be about to, gives none. */
    public void asked(PeerMessage.Ask ask) {
        promises.asked(ask, () -> leads() || state.is(State.CLAIMING));
    }

    /** Another controller has given its promise, and reports the cancellations that it knows. */
    public void granted(PeerMessage.Grant grant) {
        promises.reported(grant, cancellation -> listener.cancelled(cancellation.id(), cancellation.revision()));
        if (!leads() || grant.token() != token.value()) {
            return;
        }
        if (lease.extendByPromises(promises.granted(grant)) && loop.now() < freshnessDeadline()) {
            state.to(State.PROMISED);
        }
    }

    /** Another controller gives no promise, since it can use the state service or leads. */
    public void refused(PeerMessage.Refuse refusal) {
        // One that comes late is about an earlier failure: in an outage it would cost the lead that the others have
        // promised.
        if (!leads()
                || refusal.token() != token.value()
                || lease.sinceRenewal() < settings.leaseMs() / 2
                || !promises.askedLately(refusal.number())) {
            return;
        }
        // Someone else can use the state service. One more try of our own, then the lead goes to that controller.
        lease.tryRenewal(
                Promises.PROBE_MS,
                this::renewed,
                () -> handOver(refusal.host() + " can use the state service and this controller cannot"));
    }

    /** Steps down for good and lets the others know that the key may be replaced. */
    private void handOver(String why) {
        long ended = token.value();
        stepDown(why);
        peers.sendToOthers(new PeerMessage.HandOver(peers.host(), ended));
    }

    /** The leader of this token gives no more commands, as it says itself. */
    public void handedOver(PeerMessage.HandOver handOver) {
        election.handedOver(handOver.token());
        consider();
    }

    private void stepDown(String why) {
        LOG.warn("stepping down: {}", why);
        lease.end();
        promises.clear();
        election.pause(settings.leaseMs());
        state.to(State.FOLLOWING);
        listener.deposed();
    }
}
