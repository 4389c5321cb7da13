package org.landingridge.controller.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs that are live, and a bounded number of those that ended lately, as the mirror tells; and the stored form of a
 * job. The others are the history's.
 */
public final class JobTable {
    /** Told of jobs that come and end. */
    public interface Listener {
        void jobAccepted(Job job);

        void jobEnded(Job job);

        /** The last job that this one needs is done. */
        void jobReady(Job job);
    }

    /**
     * An end to be taken over.
     *
     * @param revision at which it was stored, or at which that of the job was from which it follows
     * @param stored   the job's own key states it
     */
    private record Ending(Job job, Job.Status how, int tasks, long revision, boolean tell, boolean stored) {}

    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);
    /** Ended jobs that are kept at most, half a kilobyte each with the mirror's part. */
    private static final int MOST_ENDED = 2_048;

    private final Map<String, Job> byId = new HashMap<>();
    private final List<Job> active = new ArrayList<>();
    /** In the order in which their ends came to be known here. */
    private final Set<Job> ended = new LinkedHashSet<>();

    private final LongSupplier clock;
    private final Consumer<String> dropped;
    private final int mostEnded;
    private final CancellationLog endings = new CancellationLog();
    /** Cancelled by another controller's word, before this one has heard that the job was accepted; with the revision. */
    private final Map<String, Long> foretold = new HashMap<>();
    /** Ids under which something is stored that makes no sense. */
    private final Set<String> unreadable = new HashSet<>();
    /** By the id of a job that is awaited and not known to be done: the jobs that need it. */
    private final Map<String, Set<Job>> dependents = new HashMap<>();
    /** Cancelled jobs whose own key, as far as known here, does not say so yet; mostly since a job that they need was. */
    private final Set<Job> unstored = new LinkedHashSet<>();

    private Listener listener;
    private int count;
    private int drops;
    private boolean partial;

    /**
     * @param clock   milliseconds of the steady clock
     * @param dropped told of ended jobs, by id, that are no longer kept here although they have a key of their own
     */
    public JobTable(LongSupplier clock, Consumer<String> dropped) {
        this(clock, dropped, MOST_ENDED);
    }

    /** @param mostEnded ended jobs that are kept at most */
    JobTable(LongSupplier clock, Consumer<String> dropped, int mostEnded) {
        this.clock = clock;
        this.dropped = dropped;
        this.mostEnded = mostEnded;
    }

    public void listener(Listener l) {
        listener = l;
    }

    public Job get(String id) {
        return byId.get(id);
    }

    /** The cancellations known here. */
    public CancellationLog endings() {
        return endings;
    }

    /** Jobs that are neither done nor cancelled, in the order of their acceptance. */
    public List<Job> active() {
        return active;
    }

    /** Jobs that have ended and still have a key of their own, in the order in which that came to be known. */
    public Collection<Job> ended() {
        return ended;
    }

    public int size() {
        return byId.size();
    }

    /** True while there may be ended jobs with a key of their own that are not kept here. */
    public boolean partial() {
        return partial;
    }

    /** Cancelled jobs whose own key does not say so yet. */
    public Collection<Job> unstored() {
        return unstored;
    }

    /** The job's own key now states its end. */
    public void stored(Job job) {
        unstored.remove(job);
    }

    /** True if the job waits for one that is not kept here: only its key or the history tells how that ended. */
    public boolean unresolved(Job job) {
        for (String id : job.awaited()) {
            if (!byId.containsKey(id)) {
                return true;
            }
        }
        return false;
    }

    /** Ids of the jobs that are awaited and not kept here. */
    public List<String> unresolved() {
        List<String> ids = new ArrayList<>();
        for (String id : dependents.keySet()) {
            if (!byId.containsKey(id)) {
                ids.add(id);
            }
        }
        return ids;
    }

    /** An awaited job that is not kept here has ended, by its key or the history. */
    public void resolved(String id, Job.Status how, long revision) {
        settle(id, how, revision);
    }

    /** How many ended jobs were dropped for want of room, so far. */
    public int dropped() {
        return drops;
    }

    /** Somebody has looked at every job's key, and each ended job that has one is kept here. */
    public void complete() {
        partial = false;
    }

    public static ObjectNode accepted(JobSpec spec, long at) {
        ObjectNode n = Json.object();
        n.put("at", at).set("spec", spec.json());
        return n;
    }

    /**
     * The stored form of an ended job. A cancelled one keeps what its tasks take, since a later leader may still find
     * them on machines and must count them within the team's limit.
     */
    public static ObjectNode ended(Job job, Job.Status how) {
        return ended(job.spec(), job.tasks(), how);
    }

    /** The stored form of a job that is cancelled from its first moment, since one that it needs is. */
    public static ObjectNode cancelled(JobSpec spec) {
        return ended(spec, spec.tasks(), Job.Status.CANCELLED);
    }

    private static ObjectNode ended(JobSpec spec, int tasks, Job.Status how) {
        ObjectNode n = Json.object();
        n.put("ended", how.name()).put("takes", tasks);
        if (how == Job.Status.CANCELLED && spec != null) {
            // An earlier version stored longer lists of types than the state service may take by now.
            n.set("spec", spec.withoutTypes().json());
        }
        return n;
    }

    /** How the job of this stored value ended, or null where it has not, or where that cannot be read. */
    public static TerminatedJob ended(JsonNode value) {
        String how = Json.text(value, "ended");
        int tasks = (int) Math.max(0, Json.integer(value, "takes", 0));
        return Job.Status.DONE.name().equals(how)
                ? new TerminatedJob(Job.Status.DONE, tasks)
                : Job.Status.CANCELLED.name().equals(how) ? new TerminatedJob(Job.Status.CANCELLED, tasks) : null;
    }

    /** True if something is stored under the job's id that makes no sense: nothing can be said of it. */
    public boolean unreadable(String id) {
        return unreadable.contains(id);
    }

    /** The mirror's news of a job's key. */
    public void changed(String id, JsonNode value, long version) {
        Job job = byId.get(id);
        Long cancelled = foretold.remove(id);
        unreadable.remove(id);
        if (value == null) {
            if (job != null) {
                // Only ended jobs leave their key. One that was live here until now ended while the watch was lost.
                end(job, Job.Status.MOVED, job.tasks(), version, true);
                byId.remove(id);
                ended.remove(job);
                unstored.remove(job);
            }
            return;
        }
        boolean fresh = job == null;
        TerminatedJob end = ended(value);
        JobSpec spec = null;
        String wrong = "neither a description nor an end";
        try {
            spec = value.get("spec") == null ? null : JobSpec.read(value.get("spec"));
        } catch (InvalidMessageException e) {
            wrong = e.getMessage();
        }
        if (end == null && spec == null) {
            // Never taken for a job that waits, nor for none: whoever asks is told to come back.
            LOG.error("what is stored of {} cannot be read: {}", id, wrong);
            unreadable.add(id);
            return;
        }
        if (fresh) {
            job = new Job(id, count++, version);
            byId.put(id, job);
            if (spec != null) {
                job.accepted(spec, Json.integer(value, "at", 0));
            }
        }
        if (end != null) {
            unstored.remove(job);
            end(job, end.how(), end.tasks(), version, !fresh);
        } else if (fresh && cancelled != null && cancelled > version) {
            end(new Ending(job, Job.Status.CANCELLED, job.tasks(), cancelled, false, false));
        } else if (fresh) {
            accepted(job);
        }
    }

    /** A job that has become known and has not ended by its own key; those that it needs may have. */
    private void accepted(Job job) {
        active.add(job);
        long cancelled = -1;
        for (String id : job.spec().awaits()) {
            Job needed = byId.get(id);
            if (needed == null || needed.status() == Job.Status.ACCEPTED) {
                job.await(id);
                dependents.computeIfAbsent(id, i -> new LinkedHashSet<>()).add(job);
            } else if (needed.status() == Job.Status.CANCELLED) {
                cancelled = job.created();
            }
        }
        if (cancelled >= 0) {
            end(new Ending(job, Job.Status.CANCELLED, job.tasks(), cancelled, false, false));
        } else if (listener != null) {
            listener.jobAccepted(job);
        }
    }

    /** Another controller knows the job to be cancelled: that is final, and holds before this one's own view shows it. */
    public void cancelled(String id, long revision) {
        Job job = byId.get(id);
        if (job != null) {
            end(new Ending(job, Job.Status.CANCELLED, job.tasks(), revision, true, false));
        } else {
            foretold.put(id, revision);
        }
    }

    /**
     * Ends a job as its own key says: from the mirror's news, or by the process that has just committed the end. What needs a
     * cancelled job is cancelled with it.
     *
     * @param revision at which the end was stored
     */
    public void end(Job job, Job.Status how, int tasks, long revision, boolean tell) {
        end(new Ending(job, how, tasks, revision, tell, true));
    }

    /** Chains of jobs can be long: what follows from an end is worked off in turn, not by recursion. */
    private void end(Ending first) {
        Deque<Ending> due = new ArrayDeque<>();
        due.add(first);
        while (!due.isEmpty()) {
            Ending e = due.poll();
            if (endOne(e)) {
                due.addAll(settled(e.job.id(), e.how, e.revision));
            }
        }
    }

    private void settle(String id, Job.Status how, long revision) {
        settled(id, how, revision).forEach(this::end);
    }

    /** A job has ended: those that need it come a step nearer to being ready, or end with it; returned are these ends. */
    private List<Ending> settled(String id, Job.Status how, long revision) {
        // How a job that has moved ended only the history tells: what needs it goes on waiting until that is read.
        Set<Job> waiting = how == Job.Status.MOVED ? null : dependents.remove(id);
        if (waiting == null) {
            return List.of();
        }
        List<Ending> ends = new ArrayList<>();
        for (Job job : waiting) {
            if (how == Job.Status.CANCELLED) {
                ends.add(new Ending(job, how, job.tasks(), Math.max(revision, job.created()), true, false));
            } else if (job.active() && job.satisfied(id, clock.getAsLong()) && listener != null) {
                listener.jobReady(job);
            }
        }
        return ends;
    }

    private boolean endOne(Ending e) {
        Job job = e.job;
        Set<String> awaited = Set.copyOf(job.awaited());
        if (!job.end(e.how, e.tasks, clock.getAsLong())) {
            return false;
        }
        awaited.forEach(id -> forgetDependent(id, job));
        if (e.how == Job.Status.CANCELLED) {
            endings.note(e.revision, job.id());
            if (!e.stored) {
                unstored.add(job);
            }
        }
        active.remove(job);
        ended.add(job);
        if (e.tell && listener != null) {
            listener.jobEnded(job);
        }
        if (ended.size() - unstored.size() > mostEnded) {
            dropEldest();
        }
        return true;
    }

    private void forgetDependent(String id, Job job) {
        Set<Job> waiting = dependents.get(id);
        if (waiting != null) {
            waiting.remove(job);
            if (waiting.isEmpty()) {
                dependents.remove(id);
            }
        }
    }

    /** One whose key does not state its end stays: read from there, it would be taken for a job that waits. */
    private void dropEldest() {
        for (Job eldest : ended) {
            if (!unstored.contains(eldest)) {
                ended.remove(eldest);
                byId.remove(eldest.id());
                partial = true;
                drops++;
                dropped.accept(eldest.id());
                return;
            }
        }
    }

    /** Notes finished tasks that are stored. */
    public void done(String id, int firstTask, BitSet bits) {
        Job job = byId.get(id);
        if (job != null && job.active()) {
            for (int b = bits.nextSetBit(0); b >= 0; b = bits.nextSetBit(b + 1)) {
                job.done().set(firstTask + b);
            }
        }
    }
}
