package org.landingridge.controller.election;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.landingridge.controller.jobs.CancellationLog;
import org.landingridge.controller.peer.PeerGroup;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.net.EventLoop;

/**
 * Promises between controllers not to lead for a limited time, sent over the network {@code back}. With promises from all other
 * controllers, a leader keeps leading through an outage of the state service. For the leader a promise starts when the request
 * was sent, for the giver when it is given; both sides allow for clock drift. Each promise carries a report of cancellations.
 */
final class Promises {
    /** Duration of a promise. A restarted process waits as long before it leads: an earlier process may have given one. */
    static final long DURATION_MS = 2_500;
    /** Timeout of a probe of the state service, and how long a failed probe stays valid for later requests. */
    static final long PROBE_MS = 700;

    private static final int MOST_ASKED = 20;
    private final StateClient client;
    private final EventLoop loop;
    private final PeerGroup peers;
    private final String leaderKey;
    private final CancellationReports reports;
    private long boundUntil = Long.MIN_VALUE / 2;
    private boolean probing;
    private long unusableAt = Long.MIN_VALUE / 2;
    private long asks;
    /** Times at which the latest requests were sent, by the loop's clock. */
    private final Map<Long, Long> askedAt = new LinkedHashMap<>();
    /** For each other controller, the time at which the newest request that it granted was sent. */
    private final Map<String, Long> granted = new HashMap<>();

    /** @param leaderKey key that is read to probe whether the state service answers */
    Promises(StateClient client, EventLoop loop, PeerGroup peers, String leaderKey, CancellationReports reports) {
        this.client = client;
        this.loop = loop;
        this.peers = peers;
        this.leaderKey = leaderKey;
        this.reports = reports;
    }

    /** Returns whether this controller is bound by a promise not to lead. */
    boolean bound() {
        return loop.now() < boundUntil;
    }

    /**
     * Asks all other controllers for a promise.
     *
     * @param knownRevision this controller knows everything that was stored up to this revision
     */
    void ask(long token, long knownRevision) {
        long number = ++asks;
        askedAt.put(number, loop.now());
        if (askedAt.size() > MOST_ASKED) {
            askedAt.remove(askedAt.keySet().iterator().next());
        }
        for (String other : peers.others()) {
            peers.send(other, reports.request(other, peers.host(), token, number, knownRevision));
        }
    }

    /**
     * Answers another controller's request for a promise. A request that comes while the state service is being probed is not
     * answered.
     *
     * @param mayLead whether this controller leads or is claiming leadership
     */
    void asked(PeerMessage.Ask ask, BooleanSupplier mayLead) {
        if (mayLead.getAsBoolean()) {
            refuse(ask);
        } else if (loop.now() - unusableAt < PROBE_MS) {
            promise(ask);
        } else if (!probing) {
            probe(ask, mayLead);
        }
    }

    /** Probes the state service and refuses the promise if it answers: a controller that can use it should lead. */
    private void probe(PeerMessage.Ask ask, BooleanSupplier mayLead) {
        probing = true;
        client.probe(leaderKey, PROBE_MS, answer -> {
            probing = false;
            if (answer.status() != Status.REFUSED && answer.status() != Status.UNKNOWN) {
                refuse(ask);
                return;
            }
            unusableAt = loop.now();
            if (!mayLead.getAsBoolean()) {
                promise(ask);
            }
        });
    }

    private void refuse(PeerMessage.Ask ask) {
        peers.send(ask.host(), new PeerMessage.Refuse(peers.host(), ask.token(), ask.number()));
    }

    /** Gives a promise. By its own clock, this controller makes no claim for longer than the leader relies on the promise. */
    private void promise(PeerMessage.Ask ask) {
        boundUntil = loop.now() + (long) (DURATION_MS * (1 + ClockDrift.RATE));
        peers.send(ask.host(), new PeerMessage.Grant(peers.host(), ask.token(), ask.number(), reports.report(ask)));
    }

    /** Applies the report that came with a promise, even if this controller no longer leads. */
    void reported(PeerMessage.Grant grant, Consumer<CancellationLog.Ending> cancelled) {
        reports.received(grant, askedAt.get(grant.number()), cancelled);
    }

    /** Returns the time, by the loop's clock, before which all cancellations confirmed by other controllers are known here. */
    long cancellationsKnownAt() {
        return reports.knownAt();
    }

    /**
     * Records a promise and returns the time, by the loop's clock, until which no other controller will lead; {@link
     * Long#MIN_VALUE} if the promise is not usable or another controller's promise is missing.
     */
    long granted(PeerMessage.Grant grant) {
        Long sentAt = askedAt.get(grant.number());
        if (sentAt == null || !peers.others().contains(grant.host())) {
            return Long.MIN_VALUE;
        }
        granted.merge(grant.host(), sentAt, Math::max);
        if (granted.size() < peers.others().size()) {
            return Long.MIN_VALUE;
        }
        long oldest = granted.values().stream().mapToLong(Long::longValue).min().orElseThrow();
        return ClockDrift.safeEnd(oldest, DURATION_MS);
    }

    /** Returns whether the request with this number was sent recently enough for its answer to describe the current state. */
    boolean askedLately(long number) {
        Long sentAt = askedAt.get(number);
        return sentAt != null && loop.now() - sentAt < DURATION_MS;
    }

    /** Discards all requests and received promises at the end of a leader term. */
    void clear() {
        granted.clear();
        askedAt.clear();
    }
}
