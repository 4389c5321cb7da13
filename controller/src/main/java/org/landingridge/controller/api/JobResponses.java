package org.landingridge.controller.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.Json;

/** Writes the responses to the users' requests. */
final class JobResponses {
    private static final int RETRY_AFTER_S = 1;
    private final Metrics metrics;

    JobResponses(Metrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Responds that the job has been accepted.
     *
     * @param cancelled true if the job was accepted as cancelled, because a job that it awaits is cancelled
     */
    void accepted(Exchange exchange, String id, boolean cancelled) {
        exchange.answer(201, Json.bytes(state(id, cancelled ? "cancelled" : "queued", 0, 0)));
    }

    /** Responds with the state of an active job. */
    void active(Exchange exchange, Job job) {
        String status = job.running() > 0 ? "running" : "queued";
        ObjectNode body = state(job.id(), status, job.doneCount(), job.running());
        if (!job.ready()) {
            job.awaited().forEach(body.putArray("awaits")::add);
        }
        exchange.answer(200, Json.bytes(body));
    }

    /** Responds with the state of a job that has ended. */
    void terminated(Exchange exchange, String id, TerminatedJob end) {
        exchange.answer(200, Json.bytes(state(id, status(end.how()), end.tasks(), 0)));
    }

    /** Responds to a cancellation with the job's final status: cancelled, or done if it had already finished. */
    void ended(Exchange exchange, String id, Job.Status how) {
        exchange.answer(200, Json.bytes(Json.object().put("id", id).put("status", status(how))));
    }

    /** Responds that there is no such job. */
    void notFound(Exchange exchange) {
        error(exchange, 404, "no such job");
    }

    /** Rejects a request that can never succeed as it is. */
    void error(Exchange exchange, int status, String why) {
        exchange.answer(status, Json.bytes(Json.object().put("error", why)));
    }

    /** Rejects the request for now; the client may retry after the default delay. */
    void unavailable(Exchange exchange, String why) {
        unavailable(exchange, why, RETRY_AFTER_S);
    }

    /** Rejects the request for now; the client may retry after the given delay, in seconds. */
    void unavailable(Exchange exchange, String why, int retryAfterS) {
        metrics.refused.increment();
        exchange.answer(503, Json.bytes(Json.object().put("error", why)), retryAfterS);
    }

    private static String status(Job.Status how) {
        return how == Job.Status.DONE ? "done" : "cancelled";
    }

    private static ObjectNode state(String id, String status, int done, int running) {
        return Json.object()
                .put("id", id)
                .put("status", status)
                .put("done", done)
                .put("running", running);
    }
}
