package org.landingridge.controller.jobs;

import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.landingridge.wire.JobSpec;

/** What is stored of a job, as this controller knows it. Ended jobs keep no description. */
public final class Job {
    /** MOVED: it has ended, and only the history knows how. */
    public enum Status {
        ACCEPTED,
        DONE,
        CANCELLED,
        MOVED
    }

    private final String id;
    private final int index;
    private final long created;
    private Status status = Status.ACCEPTED;
    private JobSpec spec;
    private int tasks;
    private BitSet done = new BitSet();
    private long submittedAt;
    private long endedAt;
    /** For display, from the leader. */
    private int running;
    /** Jobs that this one needs and that are not known to be done; empty for most. */
    private Set<String> awaited = Set.of();

    private long readySince;

    Job(String id, int index, long created) {
        this.id = id;
        this.index = index;
        this.created = created;
    }

    public String id() {
        return id;
    }

    /** Dense index, in the order in which this controller came to know the jobs. */
    public int index() {
        return index;
    }

    /** Revision at which this controller first saw the job. */
    public long created() {
        return created;
    }

    public Status status() {
        return status;
    }

    public JobSpec spec() {
        return spec;
    }

    public int tasks() {
        return tasks;
    }

    public BitSet done() {
        return done;
    }

    public long submittedAt() {
        return submittedAt;
    }

    /** Loop time at which this controller came to know the job's end. */
    public long endedAt() {
        return endedAt;
    }

    public boolean active() {
        return status == Status.ACCEPTED;
    }

    /** True once all jobs that this one needs are stored as done: no task of it may start before. */
    public boolean ready() {
        return awaited.isEmpty();
    }

    /** Ids of the jobs that this one needs and that are not known to be done. */
    public Set<String> awaited() {
        return Collections.unmodifiableSet(awaited);
    }

    /** Loop time at which this controller saw the last awaited job done; 0 for a job that was ready when it became known. */
    public long readySince() {
        return readySince;
    }

    void await(String id) {
        if (awaited.isEmpty()) {
            awaited = new LinkedHashSet<>();
        }
        awaited.add(id);
    }

    /** An awaited job is done; true if it was the last. */
    boolean satisfied(String id, long now) {
        if (!awaited.remove(id) || !awaited.isEmpty()) {
            return false;
        }
        readySince = now;
        return true;
    }

    public int running() {
        return running;
    }

    public void running(int count) {
        running = count;
    }

    void accepted(JobSpec description, long at) {
        spec = description;
        tasks = description.tasks();
        submittedAt = at;
    }

    /** The one change of state that a job knows: it ends, once. */
    boolean end(Status how, int count, long now) {
        if (status != Status.ACCEPTED) {
            return false;
        }
        status = how;
        endedAt = now;
        tasks = count;
        running = 0;
        done = null;
        awaited = Set.of();
        if (how == Status.DONE) {
            spec = null;
        }
        return true;
    }

    public int doneCount() {
        return switch (status) {
            case ACCEPTED -> done.cardinality();
            case DONE -> tasks;
            case CANCELLED, MOVED -> 0;
        };
    }
}
