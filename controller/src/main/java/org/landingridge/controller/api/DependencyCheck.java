package org.landingridge.controller.api;

import java.util.LinkedHashSet;
import java.util.Set;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.JobSpec;

/**
 * Looks up the jobs that a submission awaits. Those that are done already need not be awaited, and the history may forget them
 * for it; if one is cancelled the job is accepted as cancelled.
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
    /** Awaited jobs, by what makes the submission impossible; null where there is none. */
    private String absent;

    private String service;
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
        public void terminated(TerminatedJob end) {
            cancelled |= end.how() == Job.Status.CANCELLED;
            checked();
        }

        @Override
        public void absent() {
            absent = id;
            checked();
        }

        @Override
        public void unavailable(String why) {
            unavailable = why;
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

    /** A job that is known already gets 200, whatever its repeated submission awaits. */
    private void refuse(String why) {
        Runnable ifAbsent = () -> responses.error(exchange, 422, why);
        lookup.find(spec.id(), new JobStateResponder(responses, exchange, spec.id(), ifAbsent));
    }
}
