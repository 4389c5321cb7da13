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
        HEALTHY,
        /** A task has failed since the last success, and the cause is not known yet. */
        SUSPECT,
        /** The job fails on every machine that it is tried on. */
        BROKEN
    }

    private final Job job;
    private final JobSpec spec;
    private final boolean acceptedThisTerm;
    private final long addedAt;
    /**
     * Tasks by index, without those that have never been placed and those stored as done. Untracked tasks take no memory:
     * the largest array jobs have 100,000 tasks, few of which are on machines at a time.
     */
    private final Int2ObjectHashMap<Task> trackedTasks = new Int2ObjectHashMap<>();

    /** Number of tasks in each state. */
    private int pendingCount;

    private int onMachineCount;
    private int finishedCount;
    private int doneCount;
    /** Index of the task at which the search for a pending task continues. */
    private int searchIndex;

    private Health health = Health.HEALTHY;
    /** Number of tasks that ended with an error since the last success. */
    private int failures;
    /** Identifiers of the machines on which tasks failed since the last success. */
    private final Set<String> failedMachineIds = new LinkedHashSet<>();
    /** True once a task of the job has completed in this leader term. */
    private boolean succeeded;

    private long pausedUntil;

    /**
     * Creates a job whose tasks are pending, except those that are stored as done.
     *
     * @param acceptedThisTerm true if the job was accepted in this leader term, so that no earlier leader started its tasks
     * @param now              time of the event loop, in milliseconds
     */
    ActiveJob(Job job, boolean acceptedThisTerm, long now) {
        this.job = job;
        this.spec = job.spec();
        this.acceptedThisTerm = acceptedThisTerm;
        this.addedAt = now;
        doneCount = job.finishedTasks() == null ? 0 : job.finishedTasks().cardinality();
        pendingCount = job.tasks() - doneCount;
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
    public int taskCount() {
        return job.tasks();
    }

    /** Returns the task with this index, or null if the job has no such task. */
    public Task task(int index) {
        if (index < 0 || index >= taskCount()) {
            return null;
        }
        Task task = trackedTasks.get(index);
        if (task == null) {
            task = new Task(this, index, isDone(index) ? Task.State.DONE : Task.State.PENDING);
            trackedTasks.put(index, task);
        }
        return task;
    }

    /** Returns the tasks that have been placed, reported or looked up by index, without those stored as done. */
    public List<Task> trackedTasks() {
        return new ArrayList<>(trackedTasks.values());
    }

    /** Returns the number of tasks in a state. */
    public int count(Task.State state) {
        return switch (state) {
            case PENDING -> pendingCount;
            case ON_MACHINE -> onMachineCount;
            case FINISHED -> finishedCount;
            case DONE -> doneCount;
        };
    }

    /** Returns what the failures since the last success say about the job. */
    public Health health() {
        return health;
    }

    /** Returns the time of the event loop, in milliseconds, before which no task of the job is started. */
    public long pausedUntil() {
        return pausedUntil;
    }

    /** Returns whether the job was accepted in this leader term. */
    boolean acceptedThisTerm() {
        return acceptedThisTerm;
    }

    /** Returns when this leader added the job, as a time of the event loop in milliseconds. */
    long addedAt() {
        return addedAt;
    }

    /** Returns whether the task is pending and has never been placed, reported or looked up. */
    boolean isUntracked(int index) {
        return !isDone(index) && !trackedTasks.containsKey(index);
    }

    /** Returns the index of the task to examine next, and moves on; after the last task comes the first. */
    int nextIndex() {
        int index = searchIndex;
        searchIndex = (index + 1) % taskCount();
        return index;
    }

    int failures() {
        return failures;
    }

    Set<String> failedMachineIds() {
        return failedMachineIds;
    }

    boolean succeeded() {
        return succeeded;
    }

    /** Starts no task of the job before a time of the event loop, in milliseconds. */
    void pauseUntil(long until) {
        pausedUntil = until;
    }

    /** Records that a task ended with an error on the machine; the caller then updates the health by {@link #setHealth}. */
    void recordFailure(String machineId) {
        failedMachineIds.add(machineId);
        failures++;
    }

    void setHealth(Health newHealth) {
        health = newHealth;
    }

    /** Records that a task completed, which clears the failures. */
    void recordSuccess() {
        failedMachineIds.clear();
        failures = 0;
        succeeded = true;
        health = Health.HEALTHY;
    }

    /** Updates the counts after a task changed its state; a task stored as done is no longer tracked. */
    void countTransition(Task task, Task.State from, Task.State to) {
        adjustCount(from, -1);
        adjustCount(to, 1);
        if (to == Task.State.DONE && isDone(task.index())) {
            trackedTasks.remove(task.index());
        }
    }

    private void adjustCount(Task.State state, int delta) {
        switch (state) {
            case PENDING -> pendingCount += delta;
            case ON_MACHINE -> onMachineCount += delta;
            case FINISHED -> finishedCount += delta;
            case DONE -> doneCount += delta;
        }
    }

    private boolean isDone(int index) {
        BitSet stored = job.finishedTasks();
        return stored != null && stored.get(index);
    }
}
