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
    static final int BROKEN_JOB_MACHINES = 2;
    /** Number of failures at which a job counts as broken, on however few machines. */
    static final int BROKEN_JOB_FAILURES = 6;
    /** Number of failures of jobs that succeed elsewhere at which a machine counts as faulty. */
    static final int FAULTY_MACHINE_PROVEN_FAILURES = 2;
    /** Number of different failed jobs at which a machine counts as faulty, even if none of them succeeds elsewhere. */
    static final int FAULTY_MACHINE_FAILED_JOBS = 3;

    /** Pause of a job after a failure, until it counts as broken. */
    private static final long PAUSE_AFTER_FAILURE_MS = 500;
    /** Pause before a broken job is retried; each failure beyond {@link #BROKEN_JOB_MACHINES} doubles it. */
    private static final long BROKEN_JOB_RETRY_MS = 2_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final FleetContext context;
    private final MachineTable machines;

    FailureAttribution(FleetContext context, MachineTable machines) {
        this.context = context;
        this.machines = machines;
    }

    /** Records that a task of the job ended with an error on the machine. */
    void recordFailure(ActiveJob job, Machine machine, long now) {
        job.recordFailure(machine.id());
        ActiveJob.Health health = computeHealth(job.failedMachineIds().size(), job.failures(), job.succeeded());
        if (health == ActiveJob.Health.BROKEN && job.health() != health) {
            handleBrokenJob(job, now);
        }
        job.setHealth(health);
        if (health == ActiveJob.Health.BROKEN) {
            // The pause is bounded and retries go on: the cause may lie outside the job and be repaired.
            job.pauseUntil(now
                    + (BROKEN_JOB_RETRY_MS << Math.min(MAX_BACKOFF_DOUBLINGS, job.failures() - BROKEN_JOB_MACHINES)));
            return;
        }
        job.pauseUntil(now + PAUSE_AFTER_FAILURE_MS);
        machine.failures().recordFailure(job.id(), job.succeeded(), now);
    }

    private void handleBrokenJob(ActiveJob job, long now) {
        // The failures of a broken job are no evidence against the machines.
        for (String machineId : job.failedMachineIds()) {
            Machine machine = machines.get(machineId);
            if (machine != null) {
                machine.failures().removeBrokenJob(job.id(), now);
            }
        }
        LOG.info("job broken, limited to one task at a time, job={}", job.id());
        context.incidents()
                .record(job.id() + " (" + job.spec().jobClass() + ") fails on every machine it is tried on, so far on "
                        + String.join(", ", job.failedMachineIds())
                        + ": it looks like a mistake in the job; one task at a time is tried"
                        + " until the job is cancelled");
        context.eventLog()
                .emit(
                        "job_broken",
                        "job",
                        job.id(),
                        "machines",
                        job.failedMachineIds().size());
    }

    /** Records that a task of the job completed on the machine, which clears the failures of both. */
    void recordSuccess(ActiveJob job, Machine machine) {
        for (String machineId : job.failedMachineIds()) {
            Machine other = machines.get(machineId);
            if (other != null && other != machine) {
                // The job failed there and succeeds here, so the other machine is at fault.
                other.failures().recordSuccessElsewhere(job.id());
            }
        }
        job.recordSuccess();
        machine.failures().recordSuccess();
    }

    /**
     * Returns what the failures since the last success say about a job. A job that has succeeded in this leader term counts as
     * broken only after twice the failures.
     *
     * @param failedMachines number of machines on which the job failed
     * @param failures       number of failures
     * @param succeeded      true if a task of the job has completed in this leader term
     */
    static ActiveJob.Health computeHealth(int failedMachines, int failures, boolean succeeded) {
        if (failures == 0) {
            return ActiveJob.Health.HEALTHY;
        }
        int evidenceFactor = succeeded ? 2 : 1;
        return failedMachines >= BROKEN_JOB_MACHINES * evidenceFactor
                        || failures >= BROKEN_JOB_FAILURES * evidenceFactor
                ? ActiveJob.Health.BROKEN
                : ActiveJob.Health.SUSPECT;
    }

    /**
     * Returns whether the failures on a machine since its last success are attributed to the machine.
     *
     * @param provenFailures number of failures of jobs that succeed elsewhere
     * @param failedJobs     number of different jobs that failed on the machine
     */
    static boolean isFaulty(int provenFailures, int failedJobs) {
        return provenFailures >= FAULTY_MACHINE_PROVEN_FAILURES || failedJobs >= FAULTY_MACHINE_FAILED_JOBS;
    }
}
