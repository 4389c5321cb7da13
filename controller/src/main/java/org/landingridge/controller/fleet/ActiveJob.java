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
    /** SOUND: nothing speaks against it. DOUBTED: a task has failed. BROKEN: it fails wherever it is tried. */
    public enum Health {
        SOUND,
        DOUBTED,
        BROKEN
    }

    private final Job job;
    private final JobSpec spec;
    private final boolean own;
    private final long since;
    /**
     * Tasks that something has happened to. The others wait or are stored as done, and take no memory: the largest
     * arrays have 100,000, of which few are on machines at a time.
     */
    private final Int2ObjectHashMap<Task> touched = new Int2ObjectHashMap<>();

    /** Tasks by their state. */
    private int pending;

    private int onMachine;
    private int finished;
    private int done;
    /** Where the search for a waiting task goes on. */
    private int next;

    private Health health = Health.SOUND;
    /** Exits with an error since the last success. */
    private int failures;
    /** The machines on which they were. */
    private final Set<String> failedOn = new LinkedHashSet<>();
    /** One of its tasks has completed in this leader term. */
    private boolean succeeded;

    private long notBefore;

    /** @param own accepted after the leader was elected, so no earlier leader can have started any of its tasks */
    ActiveJob(Job job, boolean own, long now) {
        this.job = job;
        this.spec = job.spec();
        this.own = own;
        this.since = now;
        done = job.done() == null ? 0 : job.done().cardinality();
        pending = job.tasks() - done;
    }

    /** Identifier of the job. */
    public String id() {
        return job.id();
    }

    /** What is stored of it. */
    public Job job() {
        return job;
    }

    /** What its user asked for. */
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
        Task task = touched.get(index);
        if (task == null) {
            task = new Task(this, index, done(index) ? Task.State.DONE : Task.State.PENDING);
            touched.put(index, task);
        }
        return task;
    }

    /** The tasks that something has happened to. */
    public List<Task> touched() {
        return new ArrayList<>(touched.values());
    }

    /** Number of tasks in that state. */
    public int count(Task.State state) {
        return switch (state) {
            case PENDING -> pending;
            case ON_MACHINE -> onMachine;
            case FINISHED -> finished;
            case DONE -> done;
        };
    }

    /** What its failures say of it. */
    public Health health() {
        return health;
    }

    /** Time of the event loop, in milliseconds, before which none of its tasks is started. */
    public long notBefore() {
        return notBefore;
    }

    /** True if it was accepted in this leader term. */
    boolean own() {
        return own;
    }

    /** Since when this leader works on it. */
    long since() {
        return since;
    }

    /** True if nothing has happened to the task yet, and it is not done. */
    boolean untouched(int index) {
        return !done(index) && !touched.containsKey(index);
    }

    /** The number of the task to look at next, in a circle over all of them. */
    int advance() {
        int index = next;
        next = (index + 1) % size();
        return index;
    }

    int failures() {
        return failures;
    }

    Set<String> failedOn() {
        return failedOn;
    }

    boolean succeeded() {
        return succeeded;
    }

    /** None of its tasks is started before then. */
    void pauseUntil(long time) {
        notBefore = time;
    }

    /** One of its tasks has ended with an error on the machine; its health follows by {@link #judged}. */
    void failed(String machine) {
        failedOn.add(machine);
        failures++;
    }

    /** What its failures say of it has changed, or not. */
    void judged(Health next) {
        health = next;
    }

    /** One of its tasks has completed. */
    void completed() {
        failedOn.clear();
        failures = 0;
        succeeded = true;
        health = Health.SOUND;
    }

    /** One of its tasks has changed its state. */
    void moved(Task task, Task.State from, Task.State to) {
        add(from, -1);
        add(to, 1);
        if (to == Task.State.DONE && done(task.index())) {
            touched.remove(task.index());
        }
    }

    private void add(Task.State state, int tasks) {
        switch (state) {
            case PENDING -> pending += tasks;
            case ON_MACHINE -> onMachine += tasks;
            case FINISHED -> finished += tasks;
            case DONE -> done += tasks;
        }
    }

    private boolean done(int index) {
        BitSet stored = job.done();
        return stored != null && stored.get(index);
    }
}
