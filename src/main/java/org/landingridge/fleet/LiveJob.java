package org.landingridge.fleet;

import java.util.BitSet;
import org.landingridge.jobs.Job;
import org.landingridge.wire.JobSpec;

/** A job with its tasks, for as long as the leader works on it. */
public final class LiveJob {
    private final Job job;
    private final JobSpec spec;
    private final Task[] tasks;
    private final int[] counts = new int[Task.State.values().length];
    /** Accepted after the leader was elected, so no earlier leader can have started any of its tasks. */
    final boolean own;
    final long since;
    /** Where the search for a waiting task goes on. */
    int next;
    /** Exits with an error since the last success: a job that fails everywhere backs off. */
    int failures;
    long notBefore;

    LiveJob(Job job, boolean own, long now) {
        this.job = job;
        this.spec = job.spec();
        this.own = own;
        this.since = now;
        this.tasks = new Task[job.tasks()];
        counts[Task.State.PENDING.ordinal()] = tasks.length;
        BitSet done = job.done();
        for (int i = 0; i < tasks.length; i++) {
            tasks[i] = new Task(this, i, now);
            if (done != null && done.get(i)) {
                tasks[i].to(Task.State.DONE, null, now);
            }
        }
    }

    public String id() {
        return job.id();
    }

    public Job job() {
        return job;
    }

    public JobSpec spec() {
        return spec;
    }

    public Task task(int index) {
        return index >= 0 && index < tasks.length ? tasks[index] : null;
    }

    public Task[] tasks() {
        return tasks;
    }

    public int count(Task.State state) {
        return counts[state.ordinal()];
    }

    public long notBefore() {
        return notBefore;
    }

    void moved(Task.State from, Task.State to) {
        counts[from.ordinal()]--;
        counts[to.ordinal()]++;
    }
}
