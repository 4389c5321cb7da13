package org.landingridge.controller.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.landingridge.controller.history.SegmentAddress;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.JobSpec;

/**
 * Stores jobs that have passed all checks, within the write rate of the state service. A job is accepted if it exists neither
 * under its own key nor in the history. The put is conditional on both. With the absence of the key as its only condition, a
 * late retry of a job that has ended and moved to the history would be accepted as a new job and run again.
 */
final class JobAcceptance {
    /**
     * A submitted job that is to be stored.
     *
     * @param storedValue the value to be stored under the job's key
     */
    private record Submission(Exchange exchange, JobSpec spec, ObjectNode storedValue) {
        String id() {
            return spec.id();
        }
    }

    private static final int MAX_ATTEMPTS = 4;
    /** Retry delay for a team that submits more than its share, in seconds. */
    private static final int OVER_SHARE_RETRY_AFTER_S = 2;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final JobTable table;
    private final JobLookup lookup;
    private final JobResponses responses;
    private final FairQueue teamLimiter;
    private final AdmissionControl admission;

    JobAcceptance(
            JobService.Dependencies dependencies,
            JobResponses responses,
            FairQueue teamLimiter,
            AdmissionControl admission) {
        this.client = dependencies.client();
        this.watchCache = dependencies.watchCache();
        this.loop = dependencies.loop();
        this.table = dependencies.table();
        this.lookup = dependencies.lookup();
        this.responses = responses;
        this.teamLimiter = teamLimiter;
        this.admission = admission;
    }

    /** Accepts a job to be run. */
    void accept(Exchange exchange, JobSpec spec) {
        accept(new Submission(exchange, spec, StoredJobCodec.accepted(spec, loop.timeOfDay())));
    }

    /** Accepts a job as cancelled, because a job that it awaits is cancelled. */
    void acceptCancelled(Exchange exchange, JobSpec spec) {
        accept(new Submission(exchange, spec, StoredJobCodec.cancelled(spec)));
    }

    private void accept(Submission submission) {
        Exchange exchange = submission.exchange;
        if (!teamLimiter.admit(submission.spec.team())) {
            responses.unavailable(
                    exchange,
                    "too many submissions at the moment, and this team exceeds its share",
                    OVER_SHARE_RETRY_AFTER_S);
        } else if (!admission.admit()) {
            teamLimiter.recordRefusal();
            responses.unavailable(exchange, "too many submissions at the moment", admission.retryAfterS());
        } else {
            checkHistoryAndPut(submission, 0);
        }
    }

    private void checkHistoryAndPut(Submission submission, int attempts) {
        if (attempts >= MAX_ATTEMPTS) {
            responses.unavailable(submission.exchange, "the history segment of the job changes too often");
            return;
        }
        JobStateResponder responder = responder(submission, () -> {});
        lookup.findInHistory(
                submission.id(),
                responder,
                found -> responder.terminated(found.ended()),
                found -> put(submission, found.version(), attempts, false));
    }

    private JobStateResponder responder(Submission submission, Runnable ifAbsent) {
        return new JobStateResponder(responses, submission.exchange, submission.id(), ifAbsent);
    }

    /** @param isRepeat true if the same put was sent before and its outcome is unknown */
    private void put(Submission submission, long segmentVersion, int attempts, boolean isRepeat) {
        String key = Keys.JOBS + submission.id();
        String segment = SegmentAddress.of(submission.id()).key();
        client.commit(
                List.of(new Guard(key, 0), new Guard(segment, segmentVersion)),
                List.of(new Write(key, submission.storedValue, 0)),
                answer -> {
                    switch (answer.status()) {
                        case OK -> completeAccepted(submission, key, answer);
                        case CONFLICT -> handleConflict(submission, attempts);
                        case UNKNOWN -> handleUnknownOutcome(submission, segmentVersion, attempts, isRepeat);
                        default -> handleRefusal(submission, answer);
                    }
                });
    }

    private void completeAccepted(Submission submission, String key, Answer answer) {
        if (answer.revision() > watchCache.revision()) {
            watchCache.recordCommitted(key, answer.revision());
            table.keyChanged(submission.id(), submission.storedValue, answer.revision());
        }
        boolean cancelled = StoredJobCodec.readOutcome(submission.storedValue).isPresent();
        responses.accepted(submission.exchange, submission.id(), cancelled);
    }

    /** Handles a conflict: the job already exists, or its history segment has changed in the meantime and the put is retried. */
    private void handleConflict(Submission submission, int attempts) {
        lookup.find(submission.id(), responder(submission, () -> checkHistoryAndPut(submission, attempts + 1)));
    }

    /** Handles an unknown outcome: repeating the same conditional put shows whether the first one took effect. */
    private void handleUnknownOutcome(Submission submission, long segmentVersion, int attempts, boolean isRepeat) {
        if (isRepeat) {
            responses.unavailable(submission.exchange, "the state service does not answer");
        } else {
            put(submission, segmentVersion, attempts, true);
        }
    }

    private void handleRefusal(Submission submission, Answer answer) {
        if (answer.rateLimited()) {
            teamLimiter.recordRefusal();
        }
        responses.unavailable(submission.exchange, "the state service refused the write");
    }
}
