package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.Map;
import java.util.function.Function;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.controller.recovery.EntryEvidence;
import org.landingridge.controller.recovery.EntryEvidence.KnownTask;
import org.landingridge.controller.recovery.EntryEvidence.ReportedAttempt;
import org.landingridge.controller.recovery.EntryEvidence.StoredJob;
import org.landingridge.controller.recovery.Reconciliation;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What becomes of attempts: placed, seen, over; each change of theirs and of their tasks begins here. */
final class AttemptTracker {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    /** The worker's word for an attempt that completed. */
    private static final String DONE = "done";

    private final FleetContext context;
    private final FailureAttribution faults;
    private final Map<String, ActiveJob> jobs;
    /** What the tasks of ended jobs take. */
    private final Function<String, JobSpec> endedSpecs;

    private long count;

    AttemptTracker(
            FleetContext context,
            Map<String, ActiveJob> jobs,
            Function<String, JobSpec> endedSpecs,
            FailureAttribution faults) {
        this.faults = faults;
        this.context = context;
        this.jobs = jobs;
        this.endedSpecs = endedSpecs;
    }

    /** Places a task: its start goes out at once, straight to the machine. */
    void place(Task task, Machine m) {
        long number = (context.token() << 22) + ++count;
        Attempt a = new Attempt(
                m,
                task.job.id(),
                task.index,
                number,
                task.job.spec(),
                task,
                context.loop().now());
        m.attempts.put(number, a);
        m.used(a.spec.image());
        task.to(Task.State.ON_MACHINE, a, context.loop().now());
        LOG.debug("placing {} on {}", a.name(), m.id);
    }

    /** Stops an attempt so that its room is freed; the task becomes pending once it is certainly off. */
    void stop(Attempt a, double graceS) {
        if (!a.stopWanted) {
            LOG.debug("stopping {} on {}", a.name(), a.machine.id);
            a.stopWanted = true;
            a.graceS = graceS;
        }
    }

    /** An attempt that this leader did not start: an earlier one did. */
    Attempt adopt(Machine m, Heartbeat.Entry e, long now) {
        ActiveJob job = jobs.get(e.job());
        Task task = job == null ? null : job.task(e.task());
        JobSpec spec = job == null ? endedSpecs.apply(e.job()) : job.spec();
        Attempt a = new Attempt(m, e.job(), e.task(), e.attempt(), spec, null, now);
        m.attempts.put(a.number, a);
        ReportedAttempt said = e.status() != Heartbeat.TaskStatus.EXITED
                ? ReportedAttempt.LIVE
                : DONE.equals(e.why()) && job != null && !spec.service()
                        ? ReportedAttempt.COMPLETED
                        : ReportedAttempt.ENDED;
        StoredJob stored = job != null ? StoredJob.ACTIVE : spec != null ? StoredJob.ENDED : StoredJob.ABSENT;
        Decision decision = Reconciliation.entry(new EntryEvidence(stored, known(task, a), said));
        switch (decision.action()) {
            case ADOPT -> {
                a.owner = task;
                if (said == ReportedAttempt.LIVE) {
                    if (task.attempt() != null) {
                        forgo(task, now);
                    }
                    task.to(Task.State.ON_MACHINE, a, now);
                }
            }
            case WAIT -> a.owner = task;
            case STOP -> {
                LOG.debug(
                        "{} on {} is stopped: {}",
                        a.name(),
                        m.id,
                        decision.reason().text());
                a.stopWanted = true;
            }
            // An attempt that failed still tells of its job and its machine.
            default -> a.owner = said == ReportedAttempt.ENDED ? task : null;
        }
        if (e.status() != Heartbeat.TaskStatus.FETCHING && spec != null) {
            m.used(spec.image());
        }
        return a;
    }

    /**
     * A later attempt of the task is on a machine, so the one known until now was over when that was started: it stands in an
     * old report. Without this the one that runs would be stopped for it, and the task started once more as soon as a newer
     * report lacks the old one, beside the one that runs for as long as the stop does not reach it.
     */
    private void forgo(Task task, long now) {
        Attempt old = task.attempt();
        LOG.info("{} on {} is over: a later attempt is on a machine", old.name(), old.machine.id);
        disown(old);
        task.to(Task.State.PENDING, null, now);
    }

    /** Numbers only grow, from leader to leader and within a leader term, and a task is started where none of its attempts can run. */
    private static KnownTask known(Task task, Attempt a) {
        return task == null
                ? KnownTask.NONE
                : switch (task.state()) {
                    case PENDING -> KnownTask.PENDING;
                    case ON_MACHINE ->
                        a.number > task.attempt().number ? KnownTask.EARLIER_ATTEMPT : KnownTask.LATER_ATTEMPT;
                    case FINISHED -> KnownTask.FINISHED;
                    case DONE -> KnownTask.STORED;
                };
    }

    void seen(Attempt a, Heartbeat.Entry e, long now) {
        switch (e.status()) {
            case FETCHING -> {
                if (a.state() == Attempt.State.SENT) {
                    a.to(Attempt.State.FETCHING, now);
                }
            }
            case RUNNING -> {
                if (a.state() != Attempt.State.EXITED && a.state() != Attempt.State.RUNNING) {
                    if (LOG.isDebugEnabled() && a.owner != null) {
                        LOG.debug(
                                "{} runs on {}: {} ms after the job came, {} after it was placed",
                                a.name(),
                                a.machine.id,
                                now - a.owner.job.since,
                                now - a.since);
                    }
                    a.to(Attempt.State.RUNNING, now);
                }
            }
            case SAVING -> {
                if (a.state() != Attempt.State.EXITED) {
                    a.to(Attempt.State.SAVING, now);
                }
            }
            case EXITED -> {
                if (a.state() != Attempt.State.EXITED) {
                    a.to(Attempt.State.EXITED, now);
                    a.why = e.why() == null ? "" : e.why();
                    exited(a, now);
                }
            }
        }
    }

    private void exited(Attempt a, long now) {
        Task task = a.owner;
        LOG.debug("{} on {} exited: {}", a.name(), a.machine.id, a.why);
        if (task == null) {
            return;
        }
        boolean done = a.why.equals(DONE) && !task.job.spec().service();
        if (done) {
            faults.completed(task.job, a.machine);
            if (task.state() == Task.State.PENDING || task.state() == Task.State.ON_MACHINE) {
                Attempt other = task.attempt();
                if (other != null && other != a) {
                    disown(other);
                }
                task.to(Task.State.FINISHED, null, now);
                context.events().completed(a);
                context.events().finished(task);
            }
            return;
        }
        a.owner = null;
        if (task.attempt() == a) {
            task.to(Task.State.PENDING, null, now);
        }
        switch (a.why) {
            case "error" -> {
                faults.failed(task.job, a.machine, now);
                LOG.info("{} failed on {}", a.name(), a.machine.id);
            }
            case "full", "busy", "unknown" -> {
                LOG.info("{} refused {}: {}", a.machine.id, a.name(), a.why);
                a.machine.avoidUntil = now + 1_000;
                task.job.notBefore = now + 500;
            }
            default -> {}
        }
    }

    /** The newest report lacks an attempt that may be on the machine. */
    void missing(Attempt a, Heartbeat r, boolean hello) {
        if (a.state() != Attempt.State.SENT) {
            // Seen before and now absent in the same session: it was forgotten on command.
            release(a, "no longer reported");
            return;
        }
        // A start that no report shows may still be on its way. One given in an answer is over with the next report
        // (the worker has one in flight, and drops late answers); one sent straight is over when the call is.
        boolean covered = hello && r.seq() > a.sentWithReport && a.unansweredUnder == 0 && !a.machine.calling;
        if (a.stopWanted && covered) {
            release(a, "withdrawn");
        }
    }

    void disown(Attempt a) {
        a.owner = null;
        a.stopWanted = true;
        a.graceS = 0;
        // Told to stop with time to save, it must be told again: the job is over.
        a.stopSentAt = Long.MIN_VALUE / 2;
    }

    void releaseAll(Machine m, String why) {
        for (Attempt a : new ArrayList<>(m.attempts.values())) {
            release(a, why);
        }
    }

    /** The attempt is certainly not on its machine any more. */
    void release(Attempt a, String why) {
        boolean lost = a.live();
        a.to(Attempt.State.OVER, context.loop().now());
        a.machine.attempts.remove(a.number);
        Task task = a.owner;
        if (task != null && task.state() == Task.State.ON_MACHINE && task.attempt() == a) {
            if (lost) {
                LOG.info("{} on {} is over: {}", a.name(), a.machine.id, why);
                context.metrics().lost.increment();
            }
            task.to(Task.State.PENDING, null, context.loop().now());
        }
        a.owner = null;
    }
}
