package org.landingridge.controller.jobs;

/**
 * How a job ended: what is kept of it for good.
 *
 * @param how   {@code DONE} or {@code CANCELLED}
 * @param tasks of a done job, how many tasks it had; 0 for a cancelled one, where it is not shown to anybody
 */
public record TerminatedJob(Job.Status how, int tasks) {
    /** @throws IllegalArgumentException if the job has not ended, or its end is not known */
    public TerminatedJob {
        if ((how != Job.Status.DONE && how != Job.Status.CANCELLED) || tasks < 0) {
            throw new IllegalArgumentException(how + " with " + tasks + " tasks is no end");
        }
        tasks = how == Job.Status.DONE ? tasks : 0;
    }
}
