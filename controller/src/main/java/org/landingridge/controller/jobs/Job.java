package org.landingridge.controller.jobs;

import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.landingridge.wire.JobSpec;

/** A job as this controller knows it from the state service. The specification of a done job is dropped. */
public final class Job {
    /** The states of a job's life cycle. The names {@link #DONE} and {@link #CANCELLED} are stored. */
    public enum Status {
        /** Neither done nor cancelled. */
        ACCEPTED,
        /** All tasks have finished, and the end of the job is stored. */
        DONE,
        /** Cancelled by a user, or because a job that it awaits was cancelled. */
        CANCELLED,
        /** Ended and moved to the history, which alone records whether it was done or cancelled. */
        MOVED
    }

    private final String id;
    private final int index;
    private final long firstSeenRevision;
    private Status status = Status.ACCEPTED;
    private JobSpec spec;
    private int tasks;
    private BitSet finishedTasks = new BitSet();
    private long submittedAt;
    private long endedAt;
    private int runningTasks;
    /** Ids of the awaited jobs that are not known to be done; empty for most jobs. */
    private Set<String> awaited = Set.of();

    private long readySince;

    Job(String id, int index, long firstSeenRevision) {
        this.id = id;
        this.index = index;
        this.firstSeenRevision = firstSeenRevision;
    }

    /** Returns the id chosen by the user. */
    public String id() {
        return id;
    }

    /** Returns a dense index, in the order in which this controller first saw the jobs. */
    public int index() {
        return index;
    }

    /** Returns the revision at which this controller first saw the job. */
    public long created() {
        return firstSeenRevision;
    }

    /** Returns the state of the job's life cycle. */
    public Status status() {
        return status;
    }

    /** Returns the specification; null for a done job, and for a terminated job that was stored without one. */
    public JobSpec spec() {
        return spec;
    }

    /** Returns the number of tasks of the job. */
    public int tasks() {
        return tasks;
    }

    /** Returns the indexes of the tasks that are stored as finished; null once the job has ended. */
    public BitSet done() {
        return finishedTasks;
    }

    /** Records finished tasks: bit {@code i} stands for task {@code firstTask + i}. */
    void markFinished(int firstTask, BitSet bits) {
        for (int bit = bits.nextSetBit(0); bit >= 0; bit = bits.nextSetBit(bit + 1)) {
            finishedTasks.set(firstTask + bit);
        }
    }

    /** Returns the time of day of the submission, in milliseconds; 0 if it is not stored. */
    public long submittedAt() {
        return submittedAt;
    }

    /** Returns the time of the event loop, in milliseconds, at which this controller learned that the job had ended. */
    public long endedAt() {
        return endedAt;
    }

    /** Returns true while the job has not ended. */
    public boolean active() {
        return status == Status.ACCEPTED;
    }

    /** Returns true once all awaited jobs are stored as done. No task of the job may start before. */
    public boolean ready() {
        return awaited.isEmpty();
    }

    /** Returns the ids of the awaited jobs that are not known to be done. */
    public Set<String> awaited() {
        return Collections.unmodifiableSet(awaited);
    }

    /**
     * Returns the time of the event loop, in milliseconds, at which this controller learned that the last awaited job was done;
     * 0 before that, and for a job that was ready when first seen.
     */
    public long readySince() {
        return readySince;
    }

    void addAwaited(String jobId) {
        if (awaited.isEmpty()) {
            awaited = new LinkedHashSet<>();
        }
        awaited.add(jobId);
    }

    /** Records that an awaited job is done; returns true if it was the last. */
    boolean markAwaitedDone(String jobId, long now) {
        if (!awaited.remove(jobId) || !awaited.isEmpty()) {
            return false;
        }
        readySince = now;
        return true;
    }

    /** Returns the number of running tasks that the leader last published; for display only. */
    public int running() {
        return runningTasks;
    }

    /** Sets the number of running tasks that the leader published. */
    public void running(int newRunningTasks) {
        runningTasks = newRunningTasks;
    }

    /** Sets the specification. Called before the job is added to the lists of {@link JobTable}. */
    void setSpec(JobSpec newSpec, long submissionTimeMs) {
        spec = newSpec;
        tasks = newSpec.tasks();
        submittedAt = submissionTimeMs;
    }

    /** Makes the only status transition of a job, from accepted to ended. Returns false if the job had already ended. */
    boolean end(Status finalStatus, int taskCount, long now) {
        if (status != Status.ACCEPTED) {
            return false;
        }
        status = finalStatus;
        endedAt = now;
        tasks = taskCount;
        runningTasks = 0;
        finishedTasks = null;
        awaited = Set.of();
        if (finalStatus == Status.DONE) {
            spec = null;
        }
        return true;
    }

    /** Returns the number of tasks stored as finished; 0 for a job that ended otherwise than done. */
    public int doneCount() {
        return switch (status) {
            case ACCEPTED -> finishedTasks.cardinality();
            case DONE -> tasks;
            case CANCELLED, MOVED -> 0;
        };
    }
}
