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
 * The active jobs, and a bounded number of those that terminated lately, as the watch on their keys shows them. Jobs that have
 * no key any more are in the history.
 */
public final class JobTable {
    /** Notified of changes of jobs, after the table shows them. */
    public interface Listener {
        /** An active job has become known. */
        void jobAccepted(Job job);

        /** A job that was active has ended. */
        void jobEnded(Job job);

        /** The last job that this one awaits is done. */
        void jobReady(Job job);
    }

    /**
     * The end of a job, to be applied.
     *
     * @param revision  at which it was stored, or at which that of the job was from which it follows
     * @param notifies    whether the listener is notified
     * @param persisted whether the job's own key states it
     */
    private record Termination(Job job, Job.Status how, int tasks, long revision, boolean notifies, boolean persisted) {
        /** A cancellation that follows from other jobs, or that another controller vouches for. */
        static Termination derived(Job job, long revision, boolean notifies) {
            return new Termination(job, Job.Status.CANCELLED, job.tasks(), revision, notifies, false);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);
    /** Half a kilobyte each, with the watch cache's part. */
    private static final int RETAINED = 2_048;

    private final Map<String, Job> byId = new HashMap<>();
    private final List<Job> active = new ArrayList<>();
    private final TerminatedJobs terminated;
    private final JobDependencies dependencies = new JobDependencies(byId);
    private final CancellationLog cancellations = new CancellationLog();
    /** Revisions of cancellations that another controller vouched for before this one knew the job, by its id. */
    private final Map<String, Long> earlyCancellations = new HashMap<>();
    /** Ids whose stored value makes no sense. */
    private final Set<String> unreadable = new HashSet<>();

    private final LongSupplier clock;
    private final Consumer<String> evicted;

    private Listener listener;
    private int nextIndex;

    /**
     * @param clock   milliseconds of the steady clock
     * @param evicted called with the ids of terminated jobs that are no longer kept here although they have a key of their own
     */
    public JobTable(LongSupplier clock, Consumer<String> evicted) {
        this(clock, evicted, RETAINED);
    }

    /** @param retained terminated jobs that are kept at most */
    JobTable(LongSupplier clock, Consumer<String> evicted, int retained) {
        this.clock = clock;
        this.evicted = evicted;
        this.terminated = new TerminatedJobs(retained);
    }

    /** Replaces the listener; null for none. */
    public void listener(Listener newListener) {
        listener = newListener;
    }

    /** The job, or null where it is not kept here. */
    public Job get(String id) {
        return byId.get(id);
    }

    /** The cancellations known here. */
    public CancellationLog endings() {
        return cancellations;
    }

    /** Jobs that are neither done nor cancelled, in the order of their acceptance. */
    public List<Job> active() {
        return active;
    }

    /** Jobs that have ended and still have a key of their own. */
    public TerminatedJobs terminated() {
        return terminated;
    }

    /** How many jobs are kept here. */
    public int size() {
        return byId.size();
    }

    /** True if what is stored under the job's id makes no sense: nothing can be said of the job. */
    public boolean unreadable(String id) {
        return unreadable.contains(id);
    }

    /** True if the job awaits one that is not kept here: only its key or the history tells how that ended. */
    public boolean unresolved(Job job) {
        return dependencies.unresolved(job);
    }

    /** Ids of the jobs that are awaited and not kept here. */
    public List<String> unresolved() {
        return dependencies.unresolved();
    }

    /** An awaited job that is not kept here has ended, by its key or the history. */
    public void resolved(String id, Job.Status how, long revision) {
        propagate(id, how, revision).forEach(this::terminate);
    }

    /**
     * A job's key has changed.
     *
     * @param value   null where the key was deleted
     * @param version the revision of the change
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
            // Taken neither for an accepted job nor for an absent one: whoever asks is told to come back.
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

    /** Only terminated jobs lose their key. One that was active here until now ended while the watch was lost. */
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

    /** The job has not ended by its own key, but a job that it awaits may be cancelled. */
    private void activate(Job job) {
        active.add(job);
        if (dependencies.add(job)) {
            terminate(Termination.derived(job, job.created(), false));
        } else if (listener != null) {
            listener.jobAccepted(job);
        }
    }

    /** Another controller vouches for a cancellation: that is final, and holds before this one's own view shows it. */
    public void cancelled(String id, long revision) {
        Job job = byId.get(id);
        if (job != null) {
            terminate(Termination.derived(job, revision, true));
        } else {
            earlyCancellations.put(id, revision);
        }
    }

    /**
     * Ends a job as its own key states: by the watch, or by the process that has just committed the end. Jobs that await a
     * cancelled one are cancelled with it. Does nothing for a job that has ended already.
     *
     * @param revision at which the end was stored
     * @param notifies   whether the listener is notified
     */
    public void end(Job job, Job.Status how, int tasks, long revision, boolean notifies) {
        terminate(new Termination(job, how, tasks, revision, notifies, true));
    }

    /** Chains of dependants can be long: they are worked off by a queue, not by recursion. */
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

    /** A job has ended: its dependants come a step nearer to being ready, or end with it. Returns the ends that follow. */
    private List<Termination> propagate(String id, Job.Status how, long revision) {
        if (how == Job.Status.MOVED) {
            // Only the history tells how the job ended: its dependants wait until that is read.
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

    /** True if the job was active. */
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

    /** Records finished tasks that are stored: those at the set bits, counted from {@code firstTask}. */
    public void done(String id, int firstTask, BitSet bits) {
        Job job = byId.get(id);
        if (job != null && job.active()) {
            job.finished(firstTask, bits);
        }
    }
}
