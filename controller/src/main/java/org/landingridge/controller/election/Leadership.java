package org.landingridge.controller.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.random.RandomGenerator;
import org.landingridge.controller.jobs.CancellationLog;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.peer.PeerTransport;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads. One key, bound to a lease of the state service, names the leader; the revision at which it was put is the
 * token. The right to act runs from when the last successful renewal was sent, for the lease's life less drift.
 */
public final class Leadership {
    /**
     * LEADING by the lease. PROMISED: the state service does not answer, but every other controller has promised not
     * to take the lead for a while. SUSPENDED: neither, or it is too long since all cancellations were known; no command
     * is given, but if the lease turns out to be alive the leader goes on under the same token, since then no one else can
     * have led meanwhile.
     */
    public enum State {
        FOLLOWING,
        CLAIMING,
        LEADING,
        PROMISED,
        SUSPENDED
    }

    /** Told of every change of state. */
    public interface Listener {
        void elected(long token);

        void deposed();

        /** Another controller knows the job to be cancelled, at this revision. */
        void cancelled(String job, long revision);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final String LEASE = "lease";
    /** Steady clocks differ by 0.05 %; a tenth of a percent and some milliseconds cover both sides. */
    static final double DRIFT = 0.001;

    static final long MARGIN_MS = 60;
    /** From the end of a lease until its tasks are gone, and from the look at the clock until a 200 is sent. */
    private static final long LAPSE_MARGIN_MS = 1_000;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final String key;
    private final String lastKey;
    private final String host;
    private final String incarnation;
    private final long leaseMs;
    /** So long after the last time of which all cancellations are known a worker may still be answered. */
    private final long blindMs;

    private final Listener listener;
    private final PeerTransport peers;
    private final List<String> others;
    private State state = State.FOLLOWING;
    private long lease;
    private long token;
    /** When this controller took the lead last; what it knows may be a watch's wait old then. */
    private long wonAt;

    private long rightUntil = Long.MIN_VALUE / 2;
    private String leaderHost;
    private String leaderIncarnation;
    /** The host that led last, by a key that stays when the leader's lease ends. */
    private String lastHost;

    private String lastIncarnation;
    private boolean renewing;
    private boolean raising;
    private boolean suspecting;
    private boolean learning;
    private long claimNotBefore;
    private long silentSince;
    /** The token under which the last leader began, before this one. */
    private long previous;

    private long renewed = Long.MIN_VALUE / 2;
    /** The claim whose transaction is out; null while there is none. */
    private Claim claimed;
    /** The leader that has stepped down by its own word, by its token: its key may be replaced. */
    private long handedOver;

    private final long started;
    private final Promises promises;

    /**
     * One try to take the lead.
     *
     * @param lease    the state service's lease that the key is bound to
     * @param sent     when that was asked for
     * @param silent   since when no earlier leader can have answered a worker
     * @param previous the token under which the last leader began
     */
    private record Claim(long lease, long sent, long silent, long previous) {
        /**
         * True if this is the claim that put the value: an earlier one of the same process, carried out late, has bound the key to
         * another lease, which nobody renews.
         */
        boolean put(JsonNode value) {
            return Json.integer(value, LEASE, 0) == lease;
        }
    }

    /**
     * @param blindMs see {@link #blindMs(double, double, long)}
     * @param endings the cancellations that this process knows
     */
    public Leadership(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            RandomGenerator random,
            String key,
            String host,
            long leaseMs,
            long blindMs,
            List<String> others,
            PeerTransport peers,
            CancellationLog endings,
            Listener listener) {
        this.blindMs = blindMs;
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.random = random;
        this.key = key;
        this.lastKey = key + "-last";
        this.host = host;
        this.incarnation = Long.toUnsignedString(random.nextLong(), 36);
        this.leaseMs = leaseMs;
        this.listener = listener;
        this.others = List.copyOf(others);
        this.peers = peers;
        this.promises = new Promises(
                client, loop, peers, key, host, this.others, random.nextLong(), endings, watchCache::loaded);
        this.started = loop.now();
    }

    /**
     * For how long a leader that may lack a cancellation can go on answering workers: their leases, which each answer
     * renews, have to be over before {@code cancelS} is. Where settings leave less than a lease's life for that, that much
     * is taken: no leader could serve otherwise, and what was confirmed may then run on for the difference.
     */
    public static long blindMs(double cancelS, double leaseS, long leadLeaseMs) {
        long left = (long) (cancelS * 1000 * (1 - DRIFT)) - (long) (leaseS * 1000 * (1 + 2 * DRIFT)) - LAPSE_MARGIN_MS;
        return Math.max(leadLeaseMs, left);
    }

    public void start() {
        tick();
    }

    public State state() {
        return state;
    }

    public String incarnation() {
        return incarnation;
    }

    /** The host in the leader's key, null while there is none. */
    public String leaderHost() {
        return leaderHost;
    }

    public long token() {
        return token;
    }

    /** Since when, by the loop's clock, no earlier leader can have answered a worker. */
    public long silentSince() {
        return silentSince;
    }

    /** The token under which the last leader began, before this one; 0 where there was none. */
    public long previous() {
        return previous;
    }

    /** Version of the leader's key that the leader's writes are conditional on; 0 while this process may not write. */
    public long writeGuard() {
        return leads() ? token : 0;
    }

    public boolean leads() {
        return state == State.LEADING || state == State.PROMISED || state == State.SUSPENDED;
    }

    /** True while a command or a renewal of a lease may be given: checked right before each. */
    public boolean mayAct() {
        return (state == State.LEADING || state == State.PROMISED) && loop.now() < Math.min(rightUntil, sightUntil());
    }

    /**
     * Every cancellation that any controller told a user before this time, by the loop's clock, is known here: by what was
     * read of the state, or by the word of all others.
     */
    public long known() {
        return Math.max(watchCache.viewAt(), promises.known());
    }

    /**
     * Until when workers may be answered without more news of cancellations. Beyond it the lead ends by itself: the tasks
     * of a job that some user was told is cancelled could otherwise run on for as long as an outage lasts. What is cancelled
     * now must be off its machine by then and a lease of the machine.
     */
    public long sightUntil() {
        return known() + blindMs;
    }

    /** The mirror's news of the leader's key. */
    public void keyChanged(JsonNode value, long version) {
        leaderHost = value == null ? null : Json.text(value, "host");
        leaderIncarnation = value == null ? null : Json.text(value, "incarnation");
        if (claimed != null && incarnation.equals(leaderIncarnation) && claimed.put(value)) {
            // Its answer is late or lost, and the others follow this controller already.
            won(claimed, version);
        }
        if (leads() && version > token) {
            if (incarnation.equals(leaderIncarnation)) {
                // A token that was raised by a write of ours whose answer got lost.
                token = version;
            } else {
                stepDown("another controller holds the key");
            }
        }
        consider();
    }

    /** The mirror's news of the key that names the last leader, for as long as no other follows. */
    public void lastChanged(JsonNode value) {
        lastHost = value == null ? null : Json.text(value, "host");
        lastIncarnation = value == null ? null : Json.text(value, "incarnation");
    }

    private void to(State next) {
        if (next != state) {
            LOG.info("leadership: {} -> {}", state, next);
            state = next;
        }
    }

    private void tick() {
        switch (state) {
            case FOLLOWING -> consider();
            case LEADING, PROMISED, SUSPENDED -> {
                boolean blind = loop.now() >= sightUntil();
                if (state == State.LEADING && blind && loop.now() < rightUntil && loop.now() - wonAt > leaseMs) {
                    // The lease is renewed and nothing can be read, as where the state service is too slow for it.
                    handOver("this controller cannot read what changes");
                    break;
                }
                if (state != State.SUSPENDED && (blind || loop.now() >= rightUntil)) {
                    if (blind) {
                        LOG.warn(
                                "all cancellations are known only up to {} ms ago: no worker is answered any more",
                                loop.now() - known());
                    }
                    to(State.SUSPENDED);
                }
                if (loop.now() - renewed > leaseMs * 2 / 5 + 100) {
                    ask();
                }
                renew(leaseMs / 3);
            }
            case CLAIMING -> {}
        }
        loop.after(leaseMs / 6, this::tick);
    }

    /**
     * Claims the lead where the key is free, or where it names an earlier process of this very host. Called whenever
     * that may have become so.
     */
    public void consider() {
        if (state != State.FOLLOWING) {
            return;
        }
        // A claim needs the state service: without a sign of life from it there is no point in trying.
        if (learning
                || !watchCache.following()
                || loop.now() < claimNotBefore
                || loop.now() - watchCache.lastAnswer() > 2_500) {
            return;
        }
        boolean mine = host.equals(leaderHost);
        boolean given = handedOver != 0 && handedOver == watchCache.version(key);
        if (leaderHost != null && !mine && !given || promises.bound()) {
            return;
        }
        // An earlier process of this host may have promised a leader not to lead. No such promise binds where the last
        // leader was an earlier process of this very host, which is dead, or where no one has led yet.
        boolean free = mine || given || host.equals(lastHost) || watchCache.version(lastKey) == 0;
        if (!free && loop.now() - started < Promises.LIFE_MS * 1.01) {
            return;
        }
        to(State.CLAIMING);
        long seen = watchCache.version(key);
        long seenLast = watchCache.version(lastKey);
        // Whatever an earlier process of this host answered is over since this process began. What this one answered
        // when it
        // had the lead before is not: counted from its start, all leases of its own former leader term would be long
        // over.
        long silent = host.equals(lastHost) && !incarnation.equals(lastIncarnation) ? started : loop.now();
        // The earlier process of this host is dead: no need to draw lots with the others.
        loop.after(mine ? 0 : random.nextInt(60), () -> claim(seen, seenLast, silent));
    }

    private void claim(long seen, long seenLast, long silent) {
        long sent = loop.now();
        client.grant(leaseMs, granted -> {
            if (!granted.ok() || Json.integer(granted.body(), "permit", 0) == 0) {
                claimFailed(300);
                return;
            }
            Claim claim = new Claim(Json.integer(granted.body(), "permit", 0), sent, silent, seenLast);
            claimed = claim;
            List<Write> writes =
                    List.of(new Write(key, name(claim.lease), claim.lease), new Write(lastKey, name(claim.lease), 0));
            // What was concluded from the last leader's name holds only if no one has led since.
            List<Guard> guards = List.of(new Guard(key, seen), new Guard(lastKey, seenLast));
            client.commit(guards, writes, answer -> {
                if (claimed != claim) {
                    // Settled by the mirror's news.
                    return;
                }
                if (answer.ok()) {
                    watchCache.committed(lastKey, answer.revision());
                    won(claim, answer.revision());
                } else if (answer.status() == Status.UNKNOWN) {
                    settleClaim(claim);
                } else {
                    claimFailed(claim, 200);
                    if (answer.status() == Status.CONFLICT) {
                        // Somebody was quicker. Who that is has to be read first: claims made before are lost as well,
                        // and
                        // seven controllers that make them keep the state service from the winner.
                        learn();
                    }
                }
            });
        });
    }

    /** What the leader's key says of this process. */
    private JsonNode name(long lease) {
        return Json.object().put("host", host).put("incarnation", incarnation).put(LEASE, lease);
    }

    /** The claim may have been carried out: the key itself tells. */
    private void settleClaim(Claim claim) {
        client.get(key, answer -> {
            if (claimed != claim) {
                return;
            }
            JsonNode value = answer.ok() ? answer.body().path("data") : null;
            if (value != null && incarnation.equals(Json.text(value, "incarnation")) && claim.put(value)) {
                won(claim, Json.integer(answer.body(), "stamp", 0));
            } else if (answer.status() == Status.REFUSED || answer.status() == Status.UNKNOWN) {
                loop.after(300, () -> settleClaim(claim));
            } else {
                // Not there yet; it may still arrive, and is then given up by letting its lease go.
                claimFailed(claim, 300);
            }
        });
    }

    /** Makes no claim before the mirror has brought what was there when this is called. */
    private void learn() {
        learning = true;
        watchCache.barrier(
                () -> {
                    learning = false;
                    consider();
                },
                () -> loop.after(200, () -> learning = false));
    }

    private void claimFailed(Claim claim, long pauseMs) {
        claimed = null;
        client.release(claim.lease, ignored -> {});
        claimFailed(pauseMs);
    }

    private void claimFailed(long pauseMs) {
        claimNotBefore = loop.now() + pauseMs;
        to(State.FOLLOWING);
    }

    private void won(Claim claim, long revision) {
        claimed = null;
        lease = claim.lease;
        silentSince = claim.silent;
        previous = claim.previous;
        wonAt = loop.now();
        token = revision;
        rightUntil = right(claim.sent);
        renewed = claim.sent;
        leaderHost = host;
        leaderIncarnation = incarnation;
        lastHost = host;
        lastIncarnation = incarnation;
        watchCache.committed(key, revision);
        to(State.LEADING);
        awaitMirror();
    }

    /** The new leader's view must hold everything that was written before it was elected. */
    private void awaitMirror() {
        long elected = token;
        watchCache.barrier(
                () -> {
                    if (leads() && token == elected) {
                        listener.elected(elected);
                    }
                },
                () -> loop.after(200, () -> {
                    if (leads() && token == elected) {
                        awaitMirror();
                    }
                }));
    }

    private long right(long sent) {
        return sent + (long) (leaseMs * (1 - DRIFT)) - MARGIN_MS;
    }

    private void renew(long timeoutMs) {
        if (renewing) {
            return;
        }
        renewing = true;
        long sent = loop.now();
        long mine = lease;
        client.renew(mine, Math.max(500, timeoutMs), answer -> {
            renewing = false;
            if (!leads() || lease != mine) {
                return;
            }
            if (answer.ok()) {
                renewed(sent);
            } else if (answer.status() == Status.NOT_FOUND || answer.status() == Status.NO_LEASE) {
                stepDown("the lease has ended");
            }
        });
    }

    private void renewed(long sent) {
        renewed = Math.max(renewed, sent);
        rightUntil = Math.max(rightUntil, right(sent));
        if (loop.now() < Math.min(rightUntil, sightUntil())) {
            to(State.LEADING);
        }
    }

    /**
     * Takes a higher token under the same lease. Commands given under the old one that are still on their way are then
     * refused by every worker that has seen the new one.
     */
    public void raiseToken() {
        if (state != State.LEADING || raising) {
            return;
        }
        raising = true;
        long mine = lease;
        long old = token;
        client.commit(List.of(new Guard(key, old)), List.of(new Write(key, name(mine), mine)), answer -> {
            raising = false;
            if (leads() && lease == mine && answer.ok()) {
                token = Math.max(token, answer.revision());
                watchCache.committed(key, token);
                LOG.info("token raised from {} to {}", old, token);
            }
        });
    }

    /** A worker has seen a higher token than ours: the state service is asked who leads, past a barrier. */
    public void suspect() {
        if (!suspecting) {
            suspecting = true;
            watchCache.barrier(() -> suspecting = false, () -> suspecting = false);
        }
    }

    // ---- promises ----

    /** Asks every other controller not to lead for a while: the state service does not answer this one. */
    private void ask() {
        promises.ask(token, watchCache.revision());
    }

    /** Another controller asks for a promise; whoever leads, or may be about to, gives none. */
    public void asked(PeerMessage.Ask ask) {
        promises.asked(ask, () -> leads() || state == State.CLAIMING);
    }

    public void granted(PeerMessage.Grant grant) {
        promises.heard(grant, e -> listener.cancelled(e.id(), e.revision()));
        if (!leads() || grant.token() != token) {
            return;
        }
        long until = promises.granted(grant);
        // Promises extend a right that has not run out. They never revive one: in between, someone may have led.
        if (loop.now() < rightUntil && until > rightUntil) {
            rightUntil = until;
            if (loop.now() < sightUntil()) {
                to(State.PROMISED);
            }
        }
    }

    public void refused(PeerMessage.Refuse refusal) {
        // One that comes late tells of an earlier trouble: in an outage it would cost the lead that the others have
        // promised.
        if (!leads()
                || refusal.token() != token
                || loop.now() - renewed < leaseMs / 2
                || !promises.askedLately(refusal.number())) {
            return;
        }
        // Someone else can use the state service. One more try of our own, then the lead goes to that controller.
        long mine = lease;
        long sent = loop.now();
        client.renew(mine, Promises.PROBE_MS, answer -> {
            if (!leads() || lease != mine) {
                return;
            }
            if (answer.ok()) {
                renewed(sent);
            } else {
                handOver(refusal.host() + " can use the state service and this controller cannot");
            }
        });
    }

    /** Steps down for good and tells the others that the key may be replaced. */
    private void handOver(String why) {
        long given = token;
        stepDown(why);
        for (String other : others) {
            peers.send(other, new PeerMessage.HandOver(host, given));
        }
    }

    /** The leader of this token gives no more commands, by its own word. */
    public void handedOver(PeerMessage.HandOver word) {
        handedOver = word.token();
        consider();
    }

    private void stepDown(String why) {
        LOG.warn("stepping down: {}", why);
        lease = 0;
        rightUntil = Long.MIN_VALUE / 2;
        promises.clear();
        claimNotBefore = loop.now() + leaseMs;
        to(State.FOLLOWING);
        listener.deposed();
    }
}
