package org.landingridge.controller.api;

import java.util.LinkedHashSet;
import java.util.Set;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.JobSpec;

/**
 * Looks up the jobs that a submission awaits. Jobs that are already done are dropped from the stored list, so that the history
 * may delete them. If an awaited job is cancelled, the submitted job is accepted as cancelled.
 */
final class DependencyCheck {
    private final Exchange exchange;
    private final JobSpec spec;
    private final JobLookup lookup;
    private final JobResponses responses;
    private final JobAcceptance acceptance;
    private final Set<String> unfinished = new LinkedHashSet<>();
    private int pending;
    private boolean cancelled;
    /** An awaited job that does not exist; null if all exist. */
    private String absent;

    /** An awaited job that is a service; null if there is none. */
    private String service;

    /** Reason why the state of an awaited job is unknown; null if all are known. */
    private String unavailable;

    DependencyCheck(
            Exchange exchange, JobSpec spec, JobLookup lookup, JobResponses responses, JobAcceptance acceptance) {
        this.exchange = exchange;
        this.spec = spec;
        this.lookup = lookup;
        this.responses = responses;
        this.acceptance = acceptance;
        this.pending = spec.awaits().size();
    }

    void start() {
        for (String id : spec.awaits()) {
            lookup.find(id, new Awaited(id));
        }
    }

    private final class Awaited implements JobLookup.Callback {
        private final String id;

        Awaited(String id) {
            this.id = id;
        }

        @Override
        public void active(Job job) {
            service = job.spec().service() ? id : service;
            unfinished.add(id);
            checked();
        }

        @Override
        public void terminated(TerminatedJob terminatedJob) {
            cancelled |= terminatedJob.how() == Job.Status.CANCELLED;
            checked();
        }

        @Override
        public void absent() {
            absent = id;
            checked();
        }

        @Override
        public void unavailable(String reason) {
            unavailable = reason;
            checked();
        }
    }

    private void checked() {
        pending--;
        if (pending > 0) {
            return;
        }
        if (absent != null) {
            refuse("field awaits: there is no job " + absent);
        } else if (service != null) {
            refuse("field awaits: " + service + " is a service, which is never done");
        } else if (unavailable != null) {
            responses.unavailable(exchange, unavailable);
        } else if (cancelled) {
            acceptance.acceptCancelled(exchange, spec);
        } else {
            acceptance.accept(exchange, spec.awaiting(unfinished));
        }
    }

    /** Rejects the submission, unless the job already exists: a repeated submission gets 200 whatever it awaits. */
    private void refuse(String reason) {
        Runnable ifAbsent = () -> responses.error(exchange, 422, reason);
        lookup.find(spec.id(), new JobStateResponder(responses, exchange, spec.id(), ifAbsent));
    }
}
