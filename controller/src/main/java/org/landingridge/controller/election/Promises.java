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
 * Promises given over {@code back} not to take the lead for a while: with those of every other controller a leader goes on
 * through an outage of the state service. A promise counts for the leader from when it was asked for, for the one who
 * gives it from when it was given, drift on both sides. With each promise goes a report of cancellations.
 */
final class Promises {
    /** How long a promise lasts. A fresh process leads no sooner: it may have forgotten one. */
    static final long DURATION_MS = 2_500;
    /** So long a probe of the state service may take, and its failure counts. */
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
    /** When each of the latest requests was sent, by its number. */
    private final Map<Long, Long> askedAt = new LinkedHashMap<>();
    /** When the newest request was sent that each of the others has granted. */
    private final Map<String, Long> granted = new HashMap<>();

    /** @param leaderKey is read to learn whether the state service answers */
    Promises(StateClient client, EventLoop loop, PeerGroup peers, String leaderKey, CancellationReports reports) {
        this.client = client;
        this.loop = loop;
        this.peers = peers;
        this.leaderKey = leaderKey;
        this.reports = reports;
    }

    /** True while this controller has promised not to lead. */
    boolean bound() {
        return loop.now() < boundUntil;
    }

    /**
     * Asks each of the others for a promise.
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
     * Another controller asks for a promise.
     *
     * @param mayLead whether this controller leads, or may be about to
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

    /** Whoever can use the state service should lead: then there is no promise. */
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

    /** From here on this controller keeps from claiming, by its own clock, for longer than the leader will count. */
    private void promise(PeerMessage.Ask ask) {
        boundUntil = loop.now() + (long) (DURATION_MS * (1 + ClockDrift.RATE));
        peers.send(ask.host(), new PeerMessage.Grant(peers.host(), ask.token(), ask.number(), reports.report(ask)));
    }

    /** Takes over what came with the promise, whatever became of the leader that asked for it. */
    void reported(PeerMessage.Grant grant, Consumer<CancellationLog.Ending> cancelled) {
        reports.received(grant, askedAt.get(grant.number()), cancelled);
    }

    /** Every cancellation that another controller confirmed to a user before this time, by the loop's clock, is known here. */
    long cancellationsKnownAt() {
        return reports.knownAt();
    }

    /** Until when no other controller will lead by the promises given so far; long past while one of them is missing. */
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

    /** True if the request of this number was sent so lately that an answer to it describes the present. */
    boolean askedLately(long number) {
        Long sentAt = askedAt.get(number);
        return sentAt != null && loop.now() - sentAt < DURATION_MS;
    }

    /** The lead is over: what was granted for it counts for nothing any more. */
    void clear() {
        granted.clear();
        askedAt.clear();
    }
}
