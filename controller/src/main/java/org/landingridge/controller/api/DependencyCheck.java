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
    private final Set<String> unfinishedIds = new LinkedHashSet<>();
    private int pendingLookups;
    private boolean anyCancelled;
    /** An awaited job that does not exist; null if all exist. */
    private String absentId;

    /** An awaited job that is a service; null if there is none. */
    private String serviceId;

    /** Reason why the state of an awaited job is unknown; null if all are known. */
    private String unavailableReason;

    DependencyCheck(
            Exchange exchange, JobSpec spec, JobLookup lookup, JobResponses responses, JobAcceptance acceptance) {
        this.exchange = exchange;
        this.spec = spec;
        this.lookup = lookup;
        this.responses = responses;
        this.acceptance = acceptance;
        this.pendingLookups = spec.awaits().size();
    }

    void start() {
        for (String id : spec.awaits()) {
            lookup.find(id, new AwaitedJobCallback(id));
        }
    }

    private final class AwaitedJobCallback implements JobLookup.Callback {
        private final String id;

        AwaitedJobCallback(String id) {
            this.id = id;
        }

        @Override
        public void active(Job job) {
            serviceId = job.spec().service() ? id : serviceId;
            unfinishedIds.add(id);
            completeLookup();
        }

        @Override
        public void terminated(TerminatedJob terminatedJob) {
            anyCancelled |= terminatedJob.status() == Job.Status.CANCELLED;
            completeLookup();
        }

        @Override
        public void absent() {
            absentId = id;
            completeLookup();
        }

        @Override
        public void unavailable(String reason) {
            unavailableReason = reason;
            completeLookup();
        }
    }

    private void completeLookup() {
        pendingLookups--;
        if (pendingLookups > 0) {
            return;
        }
        if (absentId != null) {
            rejectIfNew("field awaits: there is no job " + absentId);
        } else if (serviceId != null) {
            rejectIfNew("field awaits: " + serviceId + " is a service, which is never done");
        } else if (unavailableReason != null) {
            responses.unavailable(exchange, unavailableReason);
        } else if (anyCancelled) {
            acceptance.acceptCancelled(exchange, spec);
        } else {
            acceptance.accept(exchange, spec.awaiting(unfinishedIds));
        }
    }

    /** Rejects the submission, unless the job already exists: a repeated submission gets 200 whatever it awaits. */
    private void rejectIfNew(String reason) {
        Runnable ifAbsent = () -> responses.error(exchange, 422, reason);
        lookup.find(spec.id(), new JobStateResponder(responses, exchange, spec.id(), ifAbsent));
    }
}
