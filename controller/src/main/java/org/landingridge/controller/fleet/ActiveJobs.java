package org.landingridge.controller.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.jobs.Job;

/** The jobs that the leader works on, in the order of their acceptance. */
final class ActiveJobs {
    private final FleetContext context;
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();

    ActiveJobs(FleetContext context) {
        this.context = context;
    }

    Iterable<ActiveJob> all() {
        return jobs.values();
    }

    /** The job of that name, or null if it is not worked on. */
    ActiveJob get(String id) {
        return jobs.get(id);
    }

    boolean contains(String id) {
        return jobs.containsKey(id);
    }

    /** A job is accepted, or was when this leader term began. */
    void accept(Job job) {
        jobs.put(job.id(), new ActiveJob(job, job.created() > context.token(), context.now()));
        context.events().changed();
    }

    /** A job is done or cancelled: nothing of it may stay on a machine. */
    void end(Job job, MachineTable machines, CommandDispatcher dispatcher) {
        jobs.remove(job.id());
        for (Machine machine : machines.all()) {
            if (disown(machine, job)) {
                dispatcher.call(machine);
            }
        }
        context.events().changed();
    }

    private boolean disown(Machine machine, Job job) {
        boolean any = false;
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.jobId().equals(job.id())) {
                attempt.disown();
                if (job.status() == Job.Status.CANCELLED) {
                    // Its user may have been answered at any time since all cancellations were known last.
                    attempt.offBy(context.leadership().freshnessDeadline());
                }
                any = true;
            }
        }
        return any;
    }

    /** Names of the jobs, ended ones included, of which an attempt is or may be on a machine. */
    static Set<String> idsOn(MachineTable machines) {
        Set<String> ids = new HashSet<>();
        for (Machine machine : machines.all()) {
            for (Attempt attempt : machine.attempts().values()) {
                ids.add(attempt.jobId());
            }
        }
        return ids;
    }
}
