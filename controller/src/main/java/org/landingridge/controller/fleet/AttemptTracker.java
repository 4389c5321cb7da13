package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.function.Function;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.controller.recovery.EntryEvidence;
import org.landingridge.controller.recovery.EntryEvidence.KnownTask;
import org.landingridge.controller.recovery.EntryEvidence.ReportedAttempt;
import org.landingridge.controller.recovery.EntryEvidence.StoredJob;
import org.landingridge.controller.recovery.Reconciliation;
import org.landingridge.wire.ExitCause;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows attempts from placement to release: every state change of an attempt and of its task begins here. */
final class AttemptTracker {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    /** Number of low bits of an attempt number that hold a count; the upper bits hold the fencing token. */
    private static final int SEQUENCE_BITS = 22;
    /** How long a machine that refused a start is sent no other. */
    private static final long AVOID_AFTER_REFUSAL_MS = 1_000;
    /** How long no task is started of a job of which a start was refused. */
    private static final long PAUSE_AFTER_REFUSAL_MS = 500;

    private final FleetContext context;
    private final FailureAttribution failures;
    private final ActiveJobs jobs;
    /** Looks up the specification of an ended job by its identifier; null if the job is not known. */
    private final Function<String, JobSpec> endedJobSpecs;

    private long placedCount;

    AttemptTracker(
            FleetContext context,
            ActiveJobs jobs,
            Function<String, JobSpec> endedJobSpecs,
            FailureAttribution failures) {
        this.context = context;
        this.jobs = jobs;
        this.endedJobSpecs = endedJobSpecs;
        this.failures = failures;
    }

    /** Places a task on a machine; its start is still to be sent. */
    void place(Task task, Machine machine) {
        long number = (context.token() << SEQUENCE_BITS) + ++placedCount;
        Attempt attempt = new Attempt(machine, task, number, context.now());
        machine.add(attempt);
        machine.markImageUsed(attempt.spec().image());
        task.markOnMachine(attempt);
        LOG.debug("task placed, attempt={} machine={}", attempt.name(), machine.id());
    }

    /** Requests a stop of an attempt to free its capacity; the task becomes pending once it certainly is off the machine. */
    void stop(Attempt attempt, double graceS) {
        if (!attempt.stopRequested()) {
            LOG.debug(
                    "attempt stop requested, attempt={} machine={}",
                    attempt.name(),
                    attempt.machine().id());
            attempt.requestStop(graceS);
        }
    }

    /** Adds an attempt that a heartbeat shows and an earlier leader started, and adopts or stops it. */
    Attempt adopt(Machine machine, Heartbeat.Entry entry, long now) {
        ActiveJob job = jobs.get(entry.job());
        Task task = job == null ? null : job.task(entry.task());
        JobSpec spec = job == null ? endedJobSpecs.apply(entry.job()) : job.spec();
        Attempt attempt = new Attempt(machine, entry, spec, now);
        machine.add(attempt);
        ReportedAttempt reported = reportedAttempt(entry, job);
        StoredJob storedJob = job != null ? StoredJob.ACTIVE : spec != null ? StoredJob.ENDED : StoredJob.ABSENT;
        Decision decision = Reconciliation.entry(new EntryEvidence(storedJob, knownTask(task, attempt), reported));
        switch (decision.action()) {
            case ADOPT -> {
                attempt.setTask(task);
                if (reported == ReportedAttempt.LIVE) {
                    assignTask(task, attempt);
                }
            }
            case WAIT -> attempt.setTask(task);
            case STOP -> {
                LOG.debug(
                        "reported attempt stopped, attempt={} machine={} reason={}",
                        attempt.name(),
                        machine.id(),
                        decision.reason().text());
                attempt.requestStop(0);
            }
            // The end of a failed attempt still counts as evidence about its job and its machine.
            default -> attempt.setTask(reported == ReportedAttempt.ENDED ? task : null);
        }
        if (entry.status() != Heartbeat.TaskStatus.FETCHING && spec != null) {
            machine.markImageUsed(spec.image());
        }
        return attempt;
    }

    private static ReportedAttempt reportedAttempt(Heartbeat.Entry entry, ActiveJob job) {
        if (entry.status() != Heartbeat.TaskStatus.EXITED) {
            return ReportedAttempt.LIVE;
        }
        boolean completed =
                entry.cause() == ExitCause.DONE && job != null && !job.spec().service();
        return completed ? ReportedAttempt.COMPLETED : ReportedAttempt.ENDED;
    }

    /**
     * Records the attempt as the one by which the task is on a machine. An attempt known before had ended when this one was
     * started: it came from an outdated heartbeat. If the old one were kept, the running attempt would be stopped, and the
     * task would be started again once a newer heartbeat lacks the old one. Both would run until the stop arrives.
     */
    private static void assignTask(Task task, Attempt attempt) {
        Attempt earlier = task.attempt();
        if (earlier != null) {
            LOG.info(
                    "attempt superseded by a later one, attempt={} machine={}",
                    earlier.name(),
                    earlier.machine().id());
            earlier.detachAndStop();
            task.requeue();
        }
        task.markOnMachine(attempt);
    }

    /**
     * Returns what this leader knows of the task of a reported attempt. Attempt numbers grow from leader to leader and within
     * a leader term, and a task is started only when none of its earlier attempts can still run: the higher number is later.
     */
    private static KnownTask knownTask(Task task, Attempt attempt) {
        return task == null
                ? KnownTask.NONE
                : switch (task.state()) {
                    case PENDING -> KnownTask.PENDING;
                    case ON_MACHINE ->
                        attempt.number() > task.attempt().number()
                                ? KnownTask.EARLIER_ATTEMPT
                                : KnownTask.LATER_ATTEMPT;
                    case FINISHED -> KnownTask.FINISHED;
                    case DONE -> KnownTask.STORED;
                };
    }

    /** Updates an attempt that the newest heartbeat or call reply shows. */
    void update(Attempt attempt, Heartbeat.Entry entry, long now) {
        if (attempt.state() == Attempt.State.EXITED) {
            return;
        }
        switch (entry.status()) {
            case FETCHING -> {
                if (attempt.state() == Attempt.State.STARTING) {
                    attempt.transitionTo(Attempt.State.FETCHING, now);
                }
            }
            case RUNNING -> {
                if (attempt.state() != Attempt.State.RUNNING) {
                    markRunning(attempt, now);
                }
            }
            case SAVING -> attempt.transitionTo(Attempt.State.SAVING, now);
            case EXITED -> {
                attempt.exit(entry.cause(), now);
                handleExit(attempt, now);
            }
        }
    }

    private static void markRunning(Attempt attempt, long now) {
        if (LOG.isDebugEnabled() && attempt.task() != null) {
            LOG.debug(
                    "attempt running, attempt={} machine={} sinceJobAddedMs={} sincePlacedMs={}",
                    attempt.name(),
                    attempt.machine().id(),
                    now - attempt.task().job().addedAt(),
                    now - attempt.knownSince());
        }
        attempt.transitionTo(Attempt.State.RUNNING, now);
    }

    private void handleExit(Attempt attempt, long now) {
        Task task = attempt.task();
        LOG.debug(
                "attempt exited, attempt={} machine={} cause={}",
                attempt.name(),
                attempt.machine().id(),
                attempt.cause());
        if (task == null) {
            return;
        }
        if (attempt.cause() == ExitCause.DONE && !task.job().spec().service()) {
            complete(attempt, task);
            return;
        }
        attempt.setTask(null);
        if (task.attempt() == attempt) {
            task.requeue();
        }
        switch (attempt.cause()) {
            case ERROR -> {
                failures.recordFailure(task.job(), attempt.machine(), now);
                LOG.info(
                        "attempt failed, attempt={} machine={}",
                        attempt.name(),
                        attempt.machine().id());
            }
            case FULL, BUSY, UNKNOWN_TASK -> handleRefusal(attempt, task, now);
            case DONE, STOPPED, UNSTATED -> {}
        }
    }

    private void complete(Attempt attempt, Task task) {
        failures.recordSuccess(task.job(), attempt.machine());
        if (task.state() != Task.State.PENDING && task.state() != Task.State.ON_MACHINE) {
            return;
        }
        Attempt other = task.attempt();
        if (other != null && other != attempt) {
            other.detachAndStop();
        }
        task.markFinished();
        context.events().attemptCompleted(attempt);
        context.events().taskFinished(task);
    }

    private static void handleRefusal(Attempt attempt, Task task, long now) {
        LOG.info(
                "start refused, machine={} attempt={} cause={}",
                attempt.machine().id(),
                attempt.name(),
                attempt.cause());
        attempt.machine().failures().avoidUntil(now + AVOID_AFTER_REFUSAL_MS);
        task.job().pauseUntil(now + PAUSE_AFTER_REFUSAL_MS);
    }

    /**
     * Releases an attempt that the newest heartbeat or call reply does not show, if it can no longer be on the machine.
     *
     * @param isHeartbeat true for a heartbeat, false for the reply to a call
     */
    void handleMissing(Attempt attempt, Heartbeat heartbeat, boolean isHeartbeat) {
        if (attempt.state() != Attempt.State.STARTING) {
            // Shown before and absent now in the same session: the worker has forgotten it on command.
            release(attempt, "no longer reported");
            return;
        }
        // A start that no heartbeat shows may still be in transit. If it was sent in a heartbeat answer, it cannot
        // arrive after the next heartbeat: the worker has one in flight and drops late answers. If it was sent in a
        // direct call, it cannot arrive after the call has been answered.
        boolean startCannotArrive = isHeartbeat
                && heartbeat.seq() > attempt.start().answerSeq()
                && !attempt.start().mayArrive()
                && !attempt.machine().calls().inFlight();
        if (attempt.stopRequested() && startCannotArrive) {
            release(attempt, "the start was withdrawn");
        }
    }

    /** Releases all attempts of a machine that certainly holds none of them any more. */
    void releaseAll(Machine machine, String reason) {
        for (Attempt attempt : new ArrayList<>(machine.attempts().values())) {
            release(attempt, reason);
        }
    }

    private void release(Attempt attempt, String reason) {
        boolean wasLive = attempt.isLive();
        attempt.transitionTo(Attempt.State.RELEASED, context.now());
        attempt.machine().remove(attempt);
        Task task = attempt.task();
        if (task != null && task.state() == Task.State.ON_MACHINE && task.attempt() == attempt) {
            if (wasLive) {
                LOG.info(
                        "attempt lost, attempt={} machine={} reason={}",
                        attempt.name(),
                        attempt.machine().id(),
                        reason);
                context.metrics().lost.increment();
            }
            task.requeue();
        }
        attempt.setTask(null);
    }
}
