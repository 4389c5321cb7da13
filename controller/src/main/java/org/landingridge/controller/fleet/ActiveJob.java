package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.agrona.collections.Int2ObjectHashMap;
import org.landingridge.controller.jobs.Job;
import org.landingridge.wire.JobSpec;

/** A job that is neither done nor cancelled, with the states of its tasks, in the memory of the leader. */
public final class ActiveJob {
    /** What the failures of a job's tasks say about the job. */
    public enum Health {
        /** No task has failed since the last success. */
        SOUND,
        /** A task has failed since the last success, and the cause is not known yet. */
        DOUBTED,
        /** The job fails on every machine that it is tried on. */
        BROKEN
    }

    private final Job job;
    private final JobSpec spec;
    private final boolean own;
    private final long since;
    /**
     * Tasks by index, without those that have never been placed and those stored as done. Untracked tasks take no memory:
     * the largest array jobs have 100,000 tasks, few of which are on machines at a time.
     */
    private final Int2ObjectHashMap<Task> touched = new Int2ObjectHashMap<>();

    /** Number of tasks in each state. */
    private int pending;

    private int onMachine;
    private int finished;
    private int done;
    /** Index of the task at which the search for a pending task continues. */
    private int next;

    private Health health = Health.SOUND;
    /** Number of tasks that ended with an error since the last success. */
    private int failures;
    /** Identifiers of the machines on which tasks failed since the last success. */
    private final Set<String> failedOn = new LinkedHashSet<>();
    /** True once a task of the job has completed in this leader term. */
    private boolean succeeded;

    private long notBefore;

    /**
     * Creates a job whose tasks are pending, except those that are stored as done.
     *
     * @param own true if the job was accepted in this leader term, so that no earlier leader can have started its tasks
     * @param now time of the event loop, in milliseconds
     */
    ActiveJob(Job job, boolean own, long now) {
        this.job = job;
        this.spec = job.spec();
        this.own = own;
        this.since = now;
        done = job.done() == null ? 0 : job.done().cardinality();
        pending = job.tasks() - done;
    }

    /** Returns the identifier of the job. */
    public String id() {
        return job.id();
    }

    /** Returns the job as it is stored. */
    public Job job() {
        return job;
    }

    /** Returns the specification that the user submitted. */
    public JobSpec spec() {
        return spec;
    }

    /** Returns the number of tasks. */
    public int size() {
        return job.tasks();
    }

    /** Returns the task with this index, or null if the job has no such task. */
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

    /** Returns the tasks that have been placed, reported or looked up by index, without those stored as done. */
    public List<Task> touched() {
        return new ArrayList<>(touched.values());
    }

    /** Returns the number of tasks in a state. */
    public int count(Task.State state) {
        return switch (state) {
            case PENDING -> pending;
            case ON_MACHINE -> onMachine;
            case FINISHED -> finished;
            case DONE -> done;
        };
    }

    /** Returns what the failures since the last success say about the job. */
    public Health health() {
        return health;
    }

    /** Returns the time of the event loop, in milliseconds, before which no task of the job is started. */
    public long notBefore() {
        return notBefore;
    }

    /** Returns whether the job was accepted in this leader term. */
    boolean own() {
        return own;
    }

    /** Returns when this leader added the job, as a time of the event loop in milliseconds. */
    long since() {
        return since;
    }

    /** Returns whether the task is pending and has never been placed, reported or looked up. */
    boolean untouched(int index) {
        return !done(index) && !touched.containsKey(index);
    }

    /** Returns the index of the task to examine next, and moves on; after the last task comes the first. */
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

    /** Starts no task of the job before a time of the event loop, in milliseconds. */
    void pauseUntil(long time) {
        notBefore = time;
    }

    /** Records that a task ended with an error on the machine; the caller then updates the health by {@link #judged}. */
    void failed(String machine) {
        failedOn.add(machine);
        failures++;
    }

    void judged(Health next) {
        health = next;
    }

    /** Records that a task completed, which clears the failures. */
    void completed() {
        failedOn.clear();
        failures = 0;
        succeeded = true;
        health = Health.SOUND;
    }

    /** Updates the counts after a task changed its state; a task stored as done is no longer tracked. */
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
