package org.landingridge.controller.api;

import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.net.Http.Exchange;

/** Responds with the state of the job that a lookup has found; the request decides what happens if there is no such job. */
final class JobStateResponder implements JobLookup.Callback {
    private final JobResponses responses;
    private final Exchange exchange;
    private final String id;
    private final Runnable ifAbsent;

    JobStateResponder(JobResponses responses, Exchange exchange, String id, Runnable ifAbsent) {
        this.responses = responses;
        this.exchange = exchange;
        this.id = id;
        this.ifAbsent = ifAbsent;
    }

    @Override
    public void active(Job job) {
        responses.active(exchange, job);
    }

    @Override
    public void terminated(TerminatedJob terminatedJob) {
        responses.terminated(exchange, id, terminatedJob);
    }

    @Override
    public void absent() {
        ifAbsent.run();
    }

    @Override
    public void unavailable(String reason) {
        responses.unavailable(exchange, reason);
    }
}
