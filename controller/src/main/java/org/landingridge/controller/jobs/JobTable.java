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
     * @param revision       revision at which the end was stored; for a derived cancellation, that of its cause or of the job
     * @param notifyListener whether to call the listener
     * @param persisted      whether the job's own key records the end
     */
    private record Termination(
            Job job, Job.Status status, int tasks, long revision, boolean notifyListener, boolean persisted) {
        /** Returns a cancellation that is caused by an awaited job or reported by another controller. */
        static Termination derivedCancellation(Job job, long revision, boolean notifyListener) {
            return new Termination(job, Job.Status.CANCELLED, job.tasks(), revision, notifyListener, false);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);
    /** Each retained job takes about 0.5 kB, including its entry in the watch cache. */
    private static final int MAX_RETAINED_JOBS = 2_048;

    private final Map<String, Job> jobsById = new HashMap<>();
    private final List<Job> activeJobs = new ArrayList<>();
    private final TerminatedJobs terminatedJobs;
    private final JobDependencies dependencies = new JobDependencies(jobsById);
    private final CancellationLog cancellations = new CancellationLog();
    /** Revisions of cancellations, by job id, that another controller reported before this one had seen the job. */
    private final Map<String, Long> earlyCancellations = new HashMap<>();
    /** Ids of the jobs whose stored value cannot be parsed. */
    private final Set<String> unreadableIds = new HashSet<>();

    private final LongSupplier clock;
    private final Consumer<String> evictionListener;

    private Listener listener;
    private int nextIndex;

    /**
     * @param clock            steady clock, in milliseconds
     * @param evictionListener called with the id of each terminated job evicted from the table while its key still exists
     */
    public JobTable(LongSupplier clock, Consumer<String> evictionListener) {
        this(clock, evictionListener, MAX_RETAINED_JOBS);
    }

    /** @param maxRetainedJobs maximum number of terminated jobs in the table, apart from unpersisted ones */
    JobTable(LongSupplier clock, Consumer<String> evictionListener, int maxRetainedJobs) {
        this.clock = clock;
        this.evictionListener = evictionListener;
        this.terminatedJobs = new TerminatedJobs(maxRetainedJobs);
    }

    /** Sets the listener; null for none. */
    public void listener(Listener newListener) {
        listener = newListener;
    }

    /** Returns the job, or null if the table does not hold it. */
    public Job get(String id) {
        return jobsById.get(id);
    }

    /** Returns the log of the cancellations known to this process. */
    public CancellationLog endings() {
        return cancellations;
    }

    /** Returns the jobs that have not ended, in the order of acceptance. */
    public List<Job> active() {
        return activeJobs;
    }

    /** Returns the terminated jobs that still have their own key. */
    public TerminatedJobs terminated() {
        return terminatedJobs;
    }

    /** Returns the number of jobs in the table. */
    public int size() {
        return jobsById.size();
    }

    /** Returns true if the value stored under the job's key cannot be parsed, so that the job's status is unknown. */
    public boolean unreadable(String id) {
        return unreadableIds.contains(id);
    }

    /** Returns true if the job awaits a job that is not in the table; its outcome must be read from its key or the history. */
    public boolean unresolved(Job job) {
        return dependencies.hasUnresolved(job);
    }

    /** Returns the ids of awaited jobs that are not in the table. */
    public List<String> unresolved() {
        return dependencies.unresolvedIds();
    }

    /** Applies the end of an awaited job that is not in the table, as read from its key or the history. */
    public void resolved(String id, Job.Status status, long revision) {
        propagate(id, status, revision).forEach(this::terminate);
    }

    /**
     * Applies a change of a job's key.
     *
     * @param value    new value; null if the key was deleted
     * @param revision revision of the change
     */
    public void changed(String id, JsonNode value, long revision) {
        Long earlyCancellation = earlyCancellations.remove(id);
        unreadableIds.remove(id);
        if (value == null) {
            keyDeleted(id, revision);
            return;
        }
        StoredJob stored;
        try {
            stored = StoredJobCodec.read(value);
        } catch (InvalidMessageException e) {
            // Treated as neither accepted nor absent: requests for this job get the answer "unavailable, retry".
            LOG.error("stored job unreadable, job={} error={}", id, e.getMessage());
            unreadableIds.add(id);
            return;
        }
        Job job = jobsById.get(id);
        if (job == null) {
            add(new Job(id, nextIndex++, revision), stored, earlyCancellation);
        } else if (stored.outcome() != null) {
            terminatedJobs.persisted(job);
            end(job, stored.outcome().how(), stored.outcome().tasks(), revision, true);
        }
    }

    /** Only keys of terminated jobs are deleted. A job that is still active in the table ended while the watch was lost. */
    private void keyDeleted(String id, long revision) {
        Job job = jobsById.get(id);
        if (job != null) {
            end(job, Job.Status.MOVED, job.tasks(), revision, true);
            jobsById.remove(id);
            terminatedJobs.remove(job);
        }
    }

    private void add(Job job, StoredJob stored, Long earlyCancellation) {
        jobsById.put(job.id(), job);
        if (stored.spec() != null) {
            job.setSpec(stored.spec(), stored.submittedAt());
        }
        if (stored.outcome() != null) {
            end(job, stored.outcome().how(), stored.outcome().tasks(), job.created(), false);
        } else if (earlyCancellation != null && earlyCancellation > job.created()) {
            terminate(Termination.derivedCancellation(job, earlyCancellation, false));
        } else {
            activate(job);
        }
    }

    /** Adds a job whose own key records no end, and cancels it at once if an awaited job is cancelled. */
    private void activate(Job job) {
        activeJobs.add(job);
        if (dependencies.addEdges(job)) {
            terminate(Termination.derivedCancellation(job, job.created(), false));
        } else if (listener != null) {
            listener.jobAccepted(job);
        }
    }

    /** Applies a cancellation reported by another controller. It is final, even if this controller's watch lags behind. */
    public void cancelled(String id, long revision) {
        Job job = jobsById.get(id);
        if (job != null) {
            terminate(Termination.derivedCancellation(job, revision, true));
        } else {
            earlyCancellations.put(id, revision);
        }
    }

    /**
     * Ends a job whose own key records the end, as seen by the watch or just committed by this process. Jobs that await a
     * cancelled job are cancelled with it. Does nothing if the job has already ended.
     *
     * @param revision       revision at which the end was stored
     * @param notifyListener whether to call the listener
     */
    public void end(Job job, Job.Status status, int tasks, long revision, boolean notifyListener) {
        terminate(new Termination(job, status, tasks, revision, notifyListener, true));
    }

    /** Applies an end and all ends derived from it. A queue replaces recursion, because chains of dependents can be long. */
    private void terminate(Termination first) {
        Deque<Termination> pending = new ArrayDeque<>();
        pending.add(first);
        while (!pending.isEmpty()) {
            Termination next = pending.poll();
            if (apply(next)) {
                pending.addAll(propagate(next.job.id(), next.status, next.revision));
            }
        }
    }

    /** Updates the dependents of an ended job, and returns the cancellations derived for them. */
    private List<Termination> propagate(String id, Job.Status status, long revision) {
        if (status == Job.Status.MOVED) {
            // The outcome is recorded only in the history; the dependents wait until it has been read.
            return List.of();
        }
        List<Termination> derived = new ArrayList<>();
        for (Job dependent : dependencies.removeEdgesTo(id)) {
            if (status == Job.Status.CANCELLED) {
                derived.add(Termination.derivedCancellation(dependent, Math.max(revision, dependent.created()), true));
            } else if (dependent.active() && dependent.markAwaitedDone(id, clock.getAsLong()) && listener != null) {
                listener.jobReady(dependent);
            }
        }
        return derived;
    }

    /** Ends one job and updates the table; returns false if the job had already ended. */
    private boolean apply(Termination termination) {
        Job job = termination.job;
        Set<String> awaited = Set.copyOf(job.awaited());
        if (!job.end(termination.status, termination.tasks, clock.getAsLong())) {
            return false;
        }
        dependencies.removeEdgesFrom(job, awaited);
        if (termination.status == Job.Status.CANCELLED) {
            cancellations.add(termination.revision, job.id());
        }
        activeJobs.remove(job);
        terminatedJobs.add(job, termination.persisted);
        if (termination.notifyListener && listener != null) {
            listener.jobEnded(job);
        }
        terminatedJobs.evict().ifPresent(this::removeEvicted);
        return true;
    }

    private void removeEvicted(Job job) {
        jobsById.remove(job.id());
        evictionListener.accept(job.id());
    }

    /** Records tasks that are stored as finished: bit {@code i} stands for task {@code firstTask + i}. */
    public void done(String id, int firstTask, BitSet bits) {
        Job job = jobsById.get(id);
        if (job != null && job.active()) {
            job.markFinished(firstTask, bits);
        }
    }
}
