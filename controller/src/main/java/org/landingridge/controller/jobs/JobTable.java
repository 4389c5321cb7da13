package org.landingridge.controller.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.landingridge.controller.jobs.StoredJobCodec.StoredJob;
import org.landingridge.wire.InvalidMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The active jobs and a bounded number of recently terminated jobs, kept up to date by the watch on their keys. Jobs without a
 * key have moved to the history.
 */
public final class JobTable {
    /** Receives changes of jobs after the table has applied them. */
    public interface Listener {
        /** Called when this controller has first seen an active job. */
        void jobAccepted(Job job);

        /** Called when an active job has ended. */
        void jobEnded(Job job);

        /** Called when the last awaited job of this job is done. */
        void jobReady(Job job);
    }

    /**
     * The end of a job, to be applied to the table.
     *
     * @param revision  revision at which the end was stored; for a derived cancellation, that of its cause or of the job itself
     * @param notifies  whether to call the listener
     * @param persisted whether the job's own key records the end
     */
    private record Termination(Job job, Job.Status how, int tasks, long revision, boolean notifies, boolean persisted) {
        /** Returns a cancellation that is caused by an awaited job or reported by another controller. */
        static Termination derived(Job job, long revision, boolean notifies) {
            return new Termination(job, Job.Status.CANCELLED, job.tasks(), revision, notifies, false);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);
    /** Each retained job takes about 0.5 kB, including its entry in the watch cache. */
    private static final int RETAINED = 2_048;

    private final Map<String, Job> byId = new HashMap<>();
    private final List<Job> active = new ArrayList<>();
    private final TerminatedJobs terminated;
    private final JobDependencies dependencies = new JobDependencies(byId);
    private final CancellationLog cancellations = new CancellationLog();
    /** Revisions of cancellations, by job id, that another controller reported before this one had seen the job. */
    private final Map<String, Long> earlyCancellations = new HashMap<>();
    /** Ids of the jobs whose stored value cannot be parsed. */
    private final Set<String> unreadable = new HashSet<>();

    private final LongSupplier clock;
    private final Consumer<String> evicted;

    private Listener listener;
    private int nextIndex;

    /**
     * @param clock   steady clock, in milliseconds
     * @param evicted called with the id of each terminated job that is evicted from the table although its key still exists
     */
    public JobTable(LongSupplier clock, Consumer<String> evicted) {
        this(clock, evicted, RETAINED);
    }

    /** @param retained maximum number of terminated jobs in the table, apart from unpersisted ones */
    JobTable(LongSupplier clock, Consumer<String> evicted, int retained) {
        this.clock = clock;
        this.evicted = evicted;
        this.terminated = new TerminatedJobs(retained);
    }

    /** Sets the listener; null for none. */
    public void listener(Listener newListener) {
        listener = newListener;
    }

    /** Returns the job, or null if the table does not hold it. */
    public Job get(String id) {
        return byId.get(id);
    }

    /** Returns the log of the cancellations known to this process. */
    public CancellationLog endings() {
        return cancellations;
    }

    /** Returns the jobs that have not ended, in the order of acceptance. */
    public List<Job> active() {
        return active;
    }

    /** Returns the terminated jobs that still have their own key. */
    public TerminatedJobs terminated() {
        return terminated;
    }

    /** Returns the number of jobs in the table. */
    public int size() {
        return byId.size();
    }

    /** Returns true if the value stored under the job's key cannot be parsed, so that the job's status is unknown. */
    public boolean unreadable(String id) {
        return unreadable.contains(id);
    }

    /** Returns true if the job awaits a job that is not in the table; its outcome must be read from its key or the history. */
    public boolean unresolved(Job job) {
        return dependencies.unresolved(job);
    }

    /** Returns the ids of awaited jobs that are not in the table. */
    public List<String> unresolved() {
        return dependencies.unresolved();
    }

    /** Applies the end of an awaited job that is not in the table, as read from its key or the history. */
    public void resolved(String id, Job.Status how, long revision) {
        propagate(id, how, revision).forEach(this::terminate);
    }

    /**
     * Applies a change of a job's key.
     *
     * @param value   new value; null if the key was deleted
     * @param version revision of the change
     */
    public void changed(String id, JsonNode value, long version) {
        Long earlyCancellation = earlyCancellations.remove(id);
        unreadable.remove(id);
        if (value == null) {
            keyDeleted(id, version);
            return;
        }
        StoredJob stored;
        try {
            stored = StoredJobCodec.read(value);
        } catch (InvalidMessageException e) {
            // Treated as neither accepted nor absent: requests for this job get the answer "unavailable, retry".
            LOG.error("stored job unreadable: job={} error={}", id, e.getMessage());
            unreadable.add(id);
            return;
        }
        Job job = byId.get(id);
        if (job == null) {
            add(new Job(id, nextIndex++, version), stored, earlyCancellation);
        } else if (stored.end() != null) {
            terminated.persisted(job);
            end(job, stored.end().how(), stored.end().tasks(), version, true);
        }
    }

    /** Only keys of terminated jobs are deleted. A job that is still active in the table ended while the watch was lost. */
    private void keyDeleted(String id, long version) {
        Job job = byId.get(id);
        if (job != null) {
            end(job, Job.Status.MOVED, job.tasks(), version, true);
            byId.remove(id);
            terminated.remove(job);
        }
    }

    private void add(Job job, StoredJob stored, Long earlyCancellation) {
        byId.put(job.id(), job);
        if (stored.spec() != null) {
            job.accepted(stored.spec(), stored.submittedAt());
        }
        if (stored.end() != null) {
            end(job, stored.end().how(), stored.end().tasks(), job.created(), false);
        } else if (earlyCancellation != null && earlyCancellation > job.created()) {
            terminate(Termination.derived(job, earlyCancellation, false));
        } else {
            activate(job);
        }
    }

    /** Adds a job whose own key records no end, and cancels it at once if an awaited job is cancelled. */
    private void activate(Job job) {
        active.add(job);
        if (dependencies.add(job)) {
            terminate(Termination.derived(job, job.created(), false));
        } else if (listener != null) {
            listener.jobAccepted(job);
        }
    }

    /** Applies a cancellation reported by another controller. It is final, even if this controller's watch lags behind. */
    public void cancelled(String id, long revision) {
        Job job = byId.get(id);
        if (job != null) {
            terminate(Termination.derived(job, revision, true));
        } else {
            earlyCancellations.put(id, revision);
        }
    }

    /**
     * Ends a job whose own key records the end, as seen by the watch or just committed by this process. Jobs that await a
     * cancelled job are cancelled with it. Does nothing if the job has already ended.
     *
     * @param revision revision at which the end was stored
     * @param notifies whether to call the listener
     */
    public void end(Job job, Job.Status how, int tasks, long revision, boolean notifies) {
        terminate(new Termination(job, how, tasks, revision, notifies, true));
    }

    /** Applies an end and all ends derived from it. A queue replaces recursion, because chains of dependents can be long. */
    private void terminate(Termination first) {
        Deque<Termination> due = new ArrayDeque<>();
        due.add(first);
        while (!due.isEmpty()) {
            Termination next = due.poll();
            if (apply(next)) {
                due.addAll(propagate(next.job.id(), next.how, next.revision));
            }
        }
    }

    /** Updates the dependents of an ended job, and returns the cancellations derived for them. */
    private List<Termination> propagate(String id, Job.Status how, long revision) {
        if (how == Job.Status.MOVED) {
            // The outcome is recorded only in the history; the dependents wait until it has been read.
            return List.of();
        }
        List<Termination> following = new ArrayList<>();
        for (Job dependent : dependencies.remove(id)) {
            if (how == Job.Status.CANCELLED) {
                following.add(Termination.derived(dependent, Math.max(revision, dependent.created()), true));
            } else if (dependent.active() && dependent.satisfied(id, clock.getAsLong()) && listener != null) {
                listener.jobReady(dependent);
            }
        }
        return following;
    }

    /** Ends one job and updates the table; returns false if the job had already ended. */
    private boolean apply(Termination end) {
        Job job = end.job;
        Set<String> awaited = Set.copyOf(job.awaited());
        if (!job.end(end.how, end.tasks, clock.getAsLong())) {
            return false;
        }
        dependencies.removeDependent(job, awaited);
        if (end.how == Job.Status.CANCELLED) {
            cancellations.note(end.revision, job.id());
        }
        active.remove(job);
        terminated.add(job, end.persisted);
        if (end.notifies && listener != null) {
            listener.jobEnded(job);
        }
        terminated.evict().ifPresent(this::evicted);
        return true;
    }

    private void evicted(Job job) {
        byId.remove(job.id());
        evicted.accept(job.id());
    }

    /** Records tasks that are stored as finished: bit {@code i} stands for task {@code firstTask + i}. */
    public void done(String id, int firstTask, BitSet bits) {
        Job job = byId.get(id);
        if (job != null && job.active()) {
            job.finished(firstTask, bits);
        }
    }
}
