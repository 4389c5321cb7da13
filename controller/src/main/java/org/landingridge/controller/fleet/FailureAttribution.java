package org.landingridge.controller.fleet;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attributes errors to the job or to the machine, by the failures and successes of both. A job that fails on several machines
 * without a success in between counts as broken: it was submitted with a mistake, so it fails on any machine. A machine counts
 * as faulty when jobs fail on it that succeed elsewhere, or when several different jobs fail on it without a success in
 * between. Until the cause is known, the machine gets no tasks for a while and the job is paused briefly.
 */
final class FailureAttribution {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    /** Number of machines on which a job fails without a success in between before it counts as broken. */
    static final int MACHINES = 2;
    /** Number of failures at which a job counts as broken, on however few machines. */
    static final int TIMES = 6;
    /** Number of failures of jobs that succeed elsewhere at which a machine counts as faulty. */
    static final int PROVEN = 2;
    /** Number of different jobs that fail on a machine at which it counts as faulty, wherever else they succeed or fail. */
    static final int JOBS = 3;

    /** Pause of a job after a failure, until it counts as broken. */
    private static final long PAUSE_MS = 500;
    /** First pause of a broken job between retries; each further failure doubles it. */
    private static final long PROBE_MS = 2_000;

    private static final int MOST_DOUBLINGS = 5;

    private final FleetContext context;
    private final MachineTable machines;

    FailureAttribution(FleetContext context, MachineTable machines) {
        this.context = context;
        this.machines = machines;
    }

    /** Records that a task of the job ended with an error on the machine. */
    void failed(ActiveJob job, Machine machine, long now) {
        job.failed(machine.id());
        ActiveJob.Health health = health(job.failedOn().size(), job.failures(), job.succeeded());
        if (health == ActiveJob.Health.BROKEN && job.health() != health) {
            broken(job, now);
        }
        job.judged(health);
        if (health == ActiveJob.Health.BROKEN) {
            // The pause is bounded and retries go on: the cause may lie outside the job and be repaired.
            job.pauseUntil(now + (PROBE_MS << Math.min(MOST_DOUBLINGS, job.failures() - MACHINES)));
            return;
        }
        job.pauseUntil(now + PAUSE_MS);
        machine.failures().failed(job.id(), job.succeeded(), now);
    }

    private void broken(ActiveJob job, long now) {
        // The failures of a broken job are no evidence against the machines.
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

    /** Records that a task of the job completed on the machine, which clears the failures of both. */
    void completed(ActiveJob job, Machine machine) {
        for (String id : job.failedOn()) {
            Machine other = machines.get(id);
            if (other != null && other != machine) {
                // The job failed there and succeeds here, so the other machine is at fault.
                other.failures().implicate(job.id());
            }
        }
        job.completed();
        machine.failures().succeeded();
    }

    /**
     * Returns what the failures since the last success say about a job. A job that has succeeded in this leader term counts as
     * broken only after twice the failures.
     *
     * @param machines  number of machines on which the job failed
     * @param failures  number of failures
     * @param succeeded true if a task of the job has completed in this leader term
     */
    static ActiveJob.Health health(int machines, int failures, boolean succeeded) {
        if (failures == 0) {
            return ActiveJob.Health.SOUND;
        }
        int more = succeeded ? 2 : 1;
        return machines >= MACHINES * more || failures >= TIMES * more
                ? ActiveJob.Health.BROKEN
                : ActiveJob.Health.DOUBTED;
    }

    /**
     * Returns whether the failures on a machine since its last success are attributed to the machine.
     *
     * @param proven number of failures of jobs that succeed elsewhere
     * @param jobs   number of different jobs that failed on the machine
     */
    static boolean faulty(int proven, int jobs) {
        return proven >= PROVEN || jobs >= JOBS;
    }
}
