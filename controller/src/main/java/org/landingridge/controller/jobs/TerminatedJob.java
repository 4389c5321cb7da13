package org.landingridge.controller.jobs;

/**
 * The outcome of a job, which is kept permanently.
 *
 * @param how   {@code DONE} or {@code CANCELLED}
 * @param tasks number of tasks of a done job; 0 for a cancelled job, for which the number is never shown
 */
public record TerminatedJob(Job.Status how, int tasks) {
    /** @throws IllegalArgumentException if the status is neither done nor cancelled, or the number of tasks is negative */
    public TerminatedJob {
        if ((how != Job.Status.DONE && how != Job.Status.CANCELLED) || tasks < 0) {
            throw new IllegalArgumentException(
                    "terminated job: expected DONE or CANCELLED and at least 0 tasks, found " + how + " and " + tasks);
        }
        tasks = how == Job.Status.DONE ? tasks : 0;
    }
}
