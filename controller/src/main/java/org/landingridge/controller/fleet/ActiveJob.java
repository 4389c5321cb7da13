package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.agrona.collections.Int2ObjectHashMap;
import org.landingridge.controller.jobs.Job;
import org.landingridge.wire.JobSpec;

/** A job with its tasks, for as long as the leader works on it. */
public final class ActiveJob {
    private final Job job;
    private final JobSpec spec;
    /**
     * Tasks that something has happened to. The others wait or are stored as done, and take no memory: the largest
     * arrays have 100,000, of which few are on machines at a time.
     */
    private final Int2ObjectHashMap<Task> touched = new Int2ObjectHashMap<>();

    private final int[] counts = new int[Task.State.values().length];
    /** Accepted after the leader was elected, so no earlier leader can have started any of its tasks. */
    final boolean own;

    final long since;
    /** Where the search for a waiting task goes on. */
    int next;
    /** SOUND: nothing speaks against it. DOUBTED: a task has failed. BROKEN: it fails wherever it is tried. */
    public enum Health {
        SOUND,
        DOUBTED,
        BROKEN
    }

    private Health health = Health.SOUND;
    /** Exits with an error since the last success, and the machines on which they were. */
    int failures;

    final Set<String> failedOn = new LinkedHashSet<>();
    /** One of its tasks has completed in this leader term. */
    boolean succeeded;

    long notBefore;

    ActiveJob(Job job, boolean own, long now) {
        this.job = job;
        this.spec = job.spec();
        this.own = own;
        this.since = now;
        int done = job.done() == null ? 0 : job.done().cardinality();
        counts[Task.State.PENDING.ordinal()] = job.tasks() - done;
        counts[Task.State.DONE.ordinal()] = done;
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

    /** Number of tasks. */
    public int size() {
        return job.tasks();
    }

    /** The task of this number, or null where the job has none. */
    public Task task(int index) {
        if (index < 0 || index >= size()) {
            return null;
        }
        Task t = touched.get(index);
        if (t == null) {
            t = new Task(this, index, done(index) ? Task.State.DONE : Task.State.PENDING, since);
            touched.put(index, t);
        }
        return t;
    }

    /** True if nothing has happened to the task yet, and it is not done. */
    boolean untouched(int index) {
        return !done(index) && !touched.containsKey(index);
    }

    /** The tasks that something has happened to. */
    public List<Task> touched() {
        return new ArrayList<>(touched.values());
    }

    private boolean done(int index) {
        BitSet done = job.done();
        return done != null && done.get(index);
    }

    public int count(Task.State state) {
        return counts[state.ordinal()];
    }

    public Health health() {
        return health;
    }

    /** The only place where its health changes. */
    void to(Health next) {
        health = next;
    }

    public long notBefore() {
        return notBefore;
    }

    void moved(Task task, Task.State from, Task.State to) {
        counts[from.ordinal()]--;
        counts[to.ordinal()]++;
        if (to == Task.State.DONE && done(task.index)) {
            touched.remove(task.index);
        }
    }
}
