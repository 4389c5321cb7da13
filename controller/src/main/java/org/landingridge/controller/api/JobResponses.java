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
        exchange.answer(201, Json.bytes(stateBody(id, cancelled ? "cancelled" : "queued", 0, 0)));
    }

    /** Responds with the state of an active job. */
    void active(Exchange exchange, Job job) {
        String status = job.runningTasks() > 0 ? "running" : "queued";
        ObjectNode body = stateBody(job.id(), status, job.finishedCount(), job.runningTasks());
        if (!job.isReady()) {
            job.awaited().forEach(body.putArray("awaits")::add);
        }
        exchange.answer(200, Json.bytes(body));
    }

    /** Responds with the state of a job that has ended. */
    void terminated(Exchange exchange, String id, TerminatedJob terminatedJob) {
        exchange.answer(200, Json.bytes(stateBody(id, statusText(terminatedJob.status()), terminatedJob.tasks(), 0)));
    }

    /** Responds to a cancellation with the job's final status: cancelled, or done if it had already finished. */
    void finalStatus(Exchange exchange, String id, Job.Status finalStatus) {
        exchange.answer(200, Json.bytes(Json.object().put("id", id).put("status", statusText(finalStatus))));
    }

    /** Responds that there is no such job. */
    void notFound(Exchange exchange) {
        error(exchange, 404, "no such job");
    }

    /** Rejects a request that can never succeed as it is. */
    void error(Exchange exchange, int status, String reason) {
        exchange.answer(status, Json.bytes(Json.object().put("error", reason)));
    }

    /** Rejects the request for now; the client may retry after the default delay. */
    void unavailable(Exchange exchange, String reason) {
        unavailable(exchange, reason, RETRY_AFTER_S);
    }

    /** Rejects the request for now; the client may retry after the given delay, in seconds. */
    void unavailable(Exchange exchange, String reason, int retryAfterS) {
        metrics.refused.increment();
        exchange.answer(503, Json.bytes(Json.object().put("error", reason)), retryAfterS);
    }

    private static String statusText(Job.Status finalStatus) {
        return finalStatus == Job.Status.DONE ? "done" : "cancelled";
    }

    private static ObjectNode stateBody(String id, String status, int doneTasks, int runningTasks) {
        return Json.object()
                .put("id", id)
                .put("status", status)
                .put("done", doneTasks)
                .put("running", runningTasks);
    }
}
