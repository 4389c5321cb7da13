package org.landingridge.controller.fleet;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whose fault an error is, the job's or the machine's, by the evidence of both sides. A job that fails on several machines
 * and has not succeeded since is taken to be broken: it was submitted with a mistake, which no machine can help. A machine on
 * which jobs fail that succeed elsewhere, or several jobs one after the other, is faulty. Until one of the two is known the
 * machine is avoided for a while, and the job waits a little.
 */
final class FailureAttribution {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    /** A job that has failed on so many machines, without a success since, is broken. */
    static final int MACHINES = 2;
    /** Or so often at all, where there are not so many machines. */
    static final int TIMES = 6;
    /** A machine is faulty by so many failures of jobs that succeed elsewhere. */
    static final int PROVEN = 2;
    /** Or where so many different jobs fail, of which nothing is known. */
    static final int JOBS = 3;

    private static final long PAUSE_MS = 500;
    private static final long PROBE_MS = 2_000;
    private static final int MOST_DOUBLINGS = 5;
    private final FleetContext context;
    private final MachineTable machines;

    FailureAttribution(FleetContext context, MachineTable machines) {
        this.context = context;
        this.machines = machines;
    }

    /** A task of the job ended with an error on the machine. */
    void failed(ActiveJob job, Machine machine, long now) {
        job.failed(machine.id());
        ActiveJob.Health health = health(job.failedOn().size(), job.failures(), job.succeeded());
        if (health == ActiveJob.Health.BROKEN && job.health() != health) {
            broken(job, now);
        }
        job.judged(health);
        if (health == ActiveJob.Health.BROKEN) {
            // Bounded, and never for good: a mistake outside the job may be mended.
            job.pauseUntil(now + (PROBE_MS << Math.min(MOST_DOUBLINGS, job.failures() - MACHINES)));
            return;
        }
        job.pauseUntil(now + PAUSE_MS);
        machine.failures().failed(job.id(), job.succeeded(), now);
    }

    private void broken(ActiveJob job, long now) {
        // What it did there says nothing of the machines any more.
        for (String id : job.failedOn()) {
            Machine machine = machines.get(id);
            if (machine != null) {
                machine.failures().exonerate(job.id(), now);
            }
        }
        LOG.info("{} fails on every machine that it is given: one task at a time is tried from now on", job.id());
        context.incidents()
                .record(job.id() + " (" + job.spec().jobClass() + ") fails on every machine, so far on "
                        + String.join(", ", job.failedOn())
                        + ": it looks like a mistake in the job; one task at a time is tried"
                        + " until it is cancelled");
        context.eventLog()
                .emit("job_broken", "job", job.id(), "machines", job.failedOn().size());
    }

    /** A task of the job completed on the machine: both have shown that they work. */
    void completed(ActiveJob job, Machine machine) {
        for (String id : job.failedOn()) {
            Machine other = machines.get(id);
            if (other != null && other != machine) {
                // It failed there and succeeds here: then it was the machine.
                other.failures().implicate(job.id());
            }
        }
        job.completed();
        machine.failures().succeeded();
    }

    /** What the failures since the last success say of a job. */
    static ActiveJob.Health health(int machines, int failures, boolean succeeded) {
        if (failures == 0) {
            return ActiveJob.Health.SOUND;
        }
        int more = succeeded ? 2 : 1;
        return machines >= MACHINES * more || failures >= TIMES * more
                ? ActiveJob.Health.BROKEN
                : ActiveJob.Health.DOUBTED;
    }

    /** True if the failures on a machine since its last success are its own. */
    static boolean faulty(int proven, int jobs) {
        return proven >= PROVEN || jobs >= JOBS;
    }
}
