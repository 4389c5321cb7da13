package org.landingridge.controller.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.jobs.Job;

/** The jobs that are neither done nor cancelled, in the order of their acceptance. */
final class ActiveJobs {
    private final FleetContext context;
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();

    ActiveJobs(FleetContext context) {
        this.context = context;
    }

    Iterable<ActiveJob> all() {
        return jobs.values();
    }

    /** Returns the job with this identifier, or null if it is not active. */
    ActiveJob get(String id) {
        return jobs.get(id);
    }

    boolean contains(String id) {
        return jobs.containsKey(id);
    }

    /** Adds a job that has just been accepted, or that was stored as active when this leader term began. */
    void add(Job job) {
        jobs.put(job.id(), new ActiveJob(job, job.firstSeenRevision() > context.token(), context.now()));
        context.events().changed();
    }

    /** Removes a job that is done or cancelled, and stops its attempts on all machines. */
    void end(Job job, MachineTable machines, CommandDispatcher dispatcher) {
        jobs.remove(job.id());
        for (Machine machine : machines.all()) {
            if (detachAndStopAttempts(machine, job)) {
                dispatcher.call(machine);
            }
        }
        context.events().changed();
    }

    private boolean detachAndStopAttempts(Machine machine, Job job) {
        boolean anyDetached = false;
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.jobId().equals(job.id())) {
                attempt.detachAndStop();
                if (job.status() == Job.Status.CANCELLED) {
                    // Another controller may have confirmed the cancellation to the user at any time since this leader
                    // last read all cancellations.
                    attempt.start().setDeadline(context.leadership().freshnessDeadline());
                }
                anyDetached = true;
            }
        }
        return anyDetached;
    }

    /** Returns the identifiers of all jobs, ended ones included, of which an attempt is or may be on a machine. */
    static Set<String> jobIdsOn(MachineTable machines) {
        Set<String> ids = new HashSet<>();
        for (Machine machine : machines.all()) {
            for (Attempt attempt : machine.attempts().values()) {
                ids.add(attempt.jobId());
            }
        }
        return ids;
    }
}
