package org.landingridge.controller.jobs;

import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.landingridge.wire.JobSpec;

/** A job as this controller knows it from what is stored. Jobs that are done keep no description. */
public final class Job {
    /** Where a job is in its life cycle; the names of the two ends are stored. */
    public enum Status {
        /** Neither done nor cancelled. */
        ACCEPTED,
        /** All tasks have finished, and that is stored. */
        DONE,
        /** Cancelled by a user, or with a job that it awaits. */
        CANCELLED,
        /** It has ended, and only the history knows how. */
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
    private int running;
    /** Jobs that this one awaits and that are not known to be done; empty for most. */
    private Set<String> awaited = Set.of();

    private long readySince;

    Job(String id, int index, long created) {
        this.id = id;
        this.index = index;
        this.created = created;
    }

    /** The id that the user chose. */
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

    /** Where the job is in its life cycle. */
    public Status status() {
        return status;
    }

    /** The description; null for a job that is done, and for a terminated one that was stored without. */
    public JobSpec spec() {
        return spec;
    }

    /** How many tasks the job has. */
    public int tasks() {
        return tasks;
    }

    /** The finished tasks that are stored, by index; null once the job has ended. */
    public BitSet done() {
        return done;
    }

    /** Records finished tasks: those at the set bits, counted from {@code firstTask}. */
    void finished(int firstTask, BitSet bits) {
        for (int bit = bits.nextSetBit(0); bit >= 0; bit = bits.nextSetBit(bit + 1)) {
            done.set(firstTask + bit);
        }
    }

    /** Time of day of the submission in milliseconds; 0 where it is not stored. */
    public long submittedAt() {
        return submittedAt;
    }

    /** Time of the event loop at which this controller came to know the job's end, in milliseconds. */
    public long endedAt() {
        return endedAt;
    }

    /** True while the job is neither done nor cancelled. */
    public boolean active() {
        return status == Status.ACCEPTED;
    }

    /** True once all jobs that this one awaits are stored as done: no task of it may start before. */
    public boolean ready() {
        return awaited.isEmpty();
    }

    /** Ids of the jobs that this one awaits and that are not known to be done. */
    public Set<String> awaited() {
        return Collections.unmodifiableSet(awaited);
    }

    /** Time of the event loop at which this controller saw the last awaited job done; 0 for a job that was ready when it became known. */
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

    /** How many tasks run, as the leader last said; for display. */
    public int running() {
        return running;
    }

    /** Sets how many tasks run, as the leader says. */
    public void running(int count) {
        running = count;
    }

    /** Sets the description, before the job is in the table's lists. */
    void accepted(JobSpec description, long at) {
        spec = description;
        tasks = description.tasks();
        submittedAt = at;
    }

    /** The one transition of a job's status: it ends, once. False if it had ended before. */
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

    /** How many finished tasks are stored; 0 for a job that did not end as done. */
    public int doneCount() {
        return switch (status) {
            case ACCEPTED -> done.cardinality();
            case DONE -> tasks;
            case CANCELLED, MOVED -> 0;
        };
    }
}
