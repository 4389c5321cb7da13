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
 * Stores jobs that have passed all checks, as many as the state service takes. A job is accepted where it is neither under its
 * own key nor in the history. Both are conditions of the one put: the absence of the key alone would take a late retry of a job
 * that has ended, and left that key, for a new job, and run it again.
 */
final class JobAcceptance {
    /**
     * A job to be stored.
     *
     * @param value of the job's key
     */
    private record Submission(Exchange exchange, JobSpec spec, ObjectNode value) {
        String id() {
            return spec.id();
        }
    }

    private static final int MAX_ATTEMPTS = 4;
    /** A team that submits more than its share is asked to come back after so many seconds. */
    private static final int OVER_SHARE_RETRY_S = 2;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final JobTable table;
    private final JobLookup lookup;
    private final JobResponses responses;
    private final FairQueue fairQueue;
    private final AdmissionControl admission;

    JobAcceptance(
            JobService.Dependencies dependencies,
            JobResponses responses,
            FairQueue fairQueue,
            AdmissionControl admission) {
        this.client = dependencies.client();
        this.watchCache = dependencies.watchCache();
        this.loop = dependencies.loop();
        this.table = dependencies.table();
        this.lookup = dependencies.lookup();
        this.responses = responses;
        this.fairQueue = fairQueue;
        this.admission = admission;
    }

    /** Accepts a job that is to run. */
    void accept(Exchange exchange, JobSpec spec) {
        accept(new Submission(exchange, spec, StoredJobCodec.accepted(spec, loop.timeOfDay())));
    }

    /** Accepts a job as cancelled, since one that it awaits is. */
    void acceptCancelled(Exchange exchange, JobSpec spec) {
        accept(new Submission(exchange, spec, StoredJobCodec.cancelled(spec)));
    }

    private void accept(Submission submission) {
        Exchange exchange = submission.exchange;
        if (!fairQueue.admit(submission.spec.team())) {
            responses.unavailable(
                    exchange, "more is submitted than can be stored now, most of it by this team", OVER_SHARE_RETRY_S);
        } else if (!admission.admit()) {
            fairQueue.refused();
            responses.unavailable(exchange, "more is submitted than can be stored now", admission.retryAfterS());
        } else {
            attempt(submission, 0);
        }
    }

    private void attempt(Submission submission, int attempt) {
        if (attempt >= MAX_ATTEMPTS) {
            responses.unavailable(submission.exchange, "the history of this range of jobs changes too often");
            return;
        }
        JobStateResponder responder = respond(submission, () -> {});
        lookup.findInHistory(
                submission.id(),
                responder,
                found -> responder.terminated(found.ended()),
                found -> put(submission, found.version(), attempt, false));
    }

    private JobStateResponder respond(Submission submission, Runnable ifAbsent) {
        return new JobStateResponder(responses, submission.exchange, submission.id(), ifAbsent);
    }

    /** @param repeated whether the outcome of the same put is unknown */
    private void put(Submission submission, long segmentVersion, int attempt, boolean repeated) {
        String key = Keys.JOBS + submission.id();
        String segment = SegmentAddress.of(submission.id()).key();
        client.commit(
                List.of(new Guard(key, 0), new Guard(segment, segmentVersion)),
                List.of(new Write(key, submission.value, 0)),
                answer -> {
                    switch (answer.status()) {
                        case OK -> accepted(submission, key, answer);
                        case CONFLICT -> conflict(submission, attempt);
                        case UNKNOWN -> unknown(submission, segmentVersion, attempt, repeated);
                        default -> refused(submission, answer);
                    }
                });
    }

    private void accepted(Submission submission, String key, Answer answer) {
        if (answer.revision() > watchCache.revision()) {
            watchCache.committed(key, answer.revision());
            table.changed(submission.id(), submission.value, answer.revision());
        }
        boolean cancelled = StoredJobCodec.termination(submission.value).isPresent();
        responses.accepted(submission.exchange, submission.id(), cancelled);
    }

    /** The job is there already, or other jobs of its range have moved into the history meanwhile: then once more. */
    private void conflict(Submission submission, int attempt) {
        lookup.find(submission.id(), respond(submission, () -> attempt(submission, attempt + 1)));
    }

    /** The same conditional put once more decides whether the first was carried out. */
    private void unknown(Submission submission, long segmentVersion, int attempt, boolean repeated) {
        if (repeated) {
            responses.unavailable(submission.exchange, "the state service does not answer");
        } else {
            put(submission, segmentVersion, attempt, true);
        }
    }

    private void refused(Submission submission, Answer answer) {
        if (answer.overRate()) {
            fairQueue.refused();
        }
        responses.unavailable(submission.exchange, "the state service refuses");
    }
}
