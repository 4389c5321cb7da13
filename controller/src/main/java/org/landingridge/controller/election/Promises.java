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
    static final long PROBE_TIMEOUT_MS = 700;

    private static final int MAX_REMEMBERED_REQUESTS = 20;
    private final StateClient client;
    private final EventLoop loop;
    private final PeerGroup peers;
    private final String leaderKey;
    private final CancellationReports reports;
    private long boundUntil = Long.MIN_VALUE / 2;
    private boolean probePending;
    private long probeFailedAt = Long.MIN_VALUE / 2;
    private long lastRequestNumber;
    /** Times at which the latest requests were sent, by the loop's clock. */
    private final Map<Long, Long> sentAtByRequestNumber = new LinkedHashMap<>();
    /** For each other controller, the time at which the newest request that it granted was sent. */
    private final Map<String, Long> grantedRequestSentAtByHost = new HashMap<>();

    /** @param leaderKey key that is read to probe whether the state service answers */
    Promises(StateClient client, EventLoop loop, PeerGroup peers, String leaderKey, CancellationReports reports) {
        this.client = client;
        this.loop = loop;
        this.peers = peers;
        this.leaderKey = leaderKey;
        this.reports = reports;
    }

    /** Returns whether this controller is bound by a promise not to lead. */
    boolean isBound() {
        return loop.now() < boundUntil;
    }

    /**
     * Asks all other controllers for a promise.
     *
     * @param knownRevision this controller knows everything that was stored up to this revision
     */
    void requestPromises(long token, long knownRevision) {
        long number = ++lastRequestNumber;
        sentAtByRequestNumber.put(number, loop.now());
        if (sentAtByRequestNumber.size() > MAX_REMEMBERED_REQUESTS) {
            sentAtByRequestNumber.remove(
                    sentAtByRequestNumber.keySet().iterator().next());
        }
        for (String otherHost : peers.otherHosts()) {
            peers.send(otherHost, reports.createRequest(otherHost, peers.ownHost(), token, number, knownRevision));
        }
    }

    /**
     * Answers another controller's request for a promise. A request that comes while the state service is being probed is not
     * answered.
     *
     * @param leadsOrClaims whether this controller leads or is claiming leadership
     */
    void answerRequest(PeerMessage.PromiseRequest request, BooleanSupplier leadsOrClaims) {
        if (leadsOrClaims.getAsBoolean()) {
            refuse(request);
        } else if (loop.now() - probeFailedAt < PROBE_TIMEOUT_MS) {
            promise(request);
        } else if (!probePending) {
            probe(request, leadsOrClaims);
        }
    }

    /** Probes the state service and refuses the promise if it answers: a controller that can use it should lead. */
    private void probe(PeerMessage.PromiseRequest request, BooleanSupplier leadsOrClaims) {
        probePending = true;
        client.probe(leaderKey, PROBE_TIMEOUT_MS, answer -> {
            probePending = false;
            if (answer.status() != Status.REFUSED && answer.status() != Status.UNKNOWN) {
                refuse(request);
                return;
            }
            probeFailedAt = loop.now();
            if (!leadsOrClaims.getAsBoolean()) {
                promise(request);
            }
        });
    }

    private void refuse(PeerMessage.PromiseRequest request) {
        peers.send(
                request.sender(), new PeerMessage.PromiseRefusal(peers.ownHost(), request.token(), request.number()));
    }

    /** Gives a promise. By its own clock, this controller makes no claim for longer than the leader relies on the promise. */
    private void promise(PeerMessage.PromiseRequest request) {
        boundUntil = loop.now() + (long) (DURATION_MS * (1 + ClockDrift.RATE));
        peers.send(
                request.sender(),
                new PeerMessage.Promise(
                        peers.ownHost(), request.token(), request.number(), reports.createReport(request)));
    }

    /** Applies the report that came with a promise, even if this controller no longer leads. */
    void applyReport(PeerMessage.Promise grant, Consumer<CancellationLog.Cancellation> onCancellation) {
        reports.applyReport(grant, sentAtByRequestNumber.get(grant.number()), onCancellation);
    }

    /** Returns the time, by the loop's clock, before which all cancellations confirmed by other controllers are known here. */
    long cancellationsKnownBefore() {
        return reports.cancellationsKnownBefore();
    }

    /**
     * Records a promise and returns the time, by the loop's clock, until which no other controller will lead; {@link
     * Long#MIN_VALUE} if the promise is not usable or another controller's promise is missing.
     */
    long recordPromise(PeerMessage.Promise grant) {
        Long sentAt = sentAtByRequestNumber.get(grant.number());
        if (sentAt == null || !peers.otherHosts().contains(grant.sender())) {
            return Long.MIN_VALUE;
        }
        grantedRequestSentAtByHost.merge(grant.sender(), sentAt, Math::max);
        if (grantedRequestSentAtByHost.size() < peers.otherHosts().size()) {
            return Long.MIN_VALUE;
        }
        long oldestSentAt = grantedRequestSentAtByHost.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElseThrow();
        return ClockDrift.safeEnd(oldestSentAt, DURATION_MS);
    }

    /** Returns whether the request with this number was sent recently enough for its answer to describe the current state. */
    boolean isRecentRequest(long number) {
        Long sentAt = sentAtByRequestNumber.get(number);
        return sentAt != null && loop.now() - sentAt < DURATION_MS;
    }

    /** Discards all requests and received promises at the end of a leader term. */
    void clear() {
        grantedRequestSentAtByHost.clear();
        sentAtByRequestNumber.clear();
    }
}
