package org.landingridge.controller.fleet;

import org.landingridge.wire.ExitCause;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.JobSpec;

/**
 * One attempt to run a task on one machine, from its placement until it certainly is no longer on the machine. Times are
 * those of the event loop, in milliseconds.
 */
public final class Attempt {
    /** States of an attempt, as far as this leader knows them. */
    public enum State {
        /** Its start is to be sent or was sent; no heartbeat has shown it yet. */
        STARTING,
        /** The machine fetches its image. */
        FETCHING,
        /** It runs. */
        RUNNING,
        /** It has received a stop and saves its progress. */
        SAVING,
        /** It has ended, or the worker refused it; the worker still reports it. */
        EXITED,
        /** It certainly is no longer on the machine. */
        RELEASED
    }

    private static final long NEVER = Long.MIN_VALUE / 2;
    /** Least time between the last stop and its repetition in a direct call. */
    private static final long DIRECT_STOP_RETRY_MS = 1_000;

    private final String jobId;
    private final int taskIndex;
    private final long number;
    private final Machine machine;
    private final JobSpec spec;
    private final long knownSince;
    /** The task that this attempt runs; null if the job has ended, the attempt was unsuccessful or another one replaces it. */
    private Task task;

    private State state = State.STARTING;
    private ExitCause cause = ExitCause.UNSTATED;
    private long runningSince;
    /** Sequence number of the newest heartbeat or call reply that shows the attempt, -1 if none does. */
    private long lastReportSeq = -1;

    /** The answer to a heartbeat has told the worker to drop the ended attempt; the answer may have been lost. */
    private boolean clearSent;

    private final StartDelivery start = new StartDelivery();

    private boolean stopRequested;
    private double graceS;
    private long stopSentAt = NEVER;

    /** Creates an attempt that this leader starts. */
    Attempt(Machine machine, Task placedTask, long number, long now) {
        this(
                machine,
                placedTask.job().id(),
                placedTask.index(),
                number,
                placedTask.job().spec(),
                now);
        task = placedTask;
    }

    /**
     * Creates an attempt that a heartbeat shows and an earlier leader started.
     *
     * @param spec the specification of its job, null if the job is not known
     */
    Attempt(Machine machine, Heartbeat.Entry entry, JobSpec spec, long now) {
        this(machine, entry.job(), entry.task(), entry.attempt(), spec, now);
    }

    private Attempt(Machine machine, String jobId, int taskIndex, long number, JobSpec spec, long now) {
        this.machine = machine;
        this.jobId = jobId;
        this.taskIndex = taskIndex;
        this.number = number;
        this.spec = spec;
        this.knownSince = now;
    }

    /** Returns the state, as far as this leader knows it. */
    public State state() {
        return state;
    }

    /** Returns the machine that the attempt is or may be on. */
    public Machine machine() {
        return machine;
    }

    /** Returns the specification of its job, or null if the job is no longer known. */
    public JobSpec spec() {
        return spec;
    }

    /** Returns whether the attempt is to stop. */
    public boolean stopRequested() {
        return stopRequested;
    }

    /** Returns the task that the attempt runs, or null if it is detached from its task. */
    public Task task() {
        return task;
    }

    /** Returns when this leader placed the attempt or first saw it. */
    public long knownSince() {
        return knownSince;
    }

    /** Returns the identifier of its job. */
    public String jobId() {
        return jobId;
    }

    /** Returns when the attempt was first seen running, or 0 if it was not. */
    public long runningSince() {
        return runningSince;
    }

    /** Returns whether the attempt uses capacity of its machine. */
    public boolean isLive() {
        return state != State.EXITED && state != State.RELEASED;
    }

    int taskIndex() {
        return taskIndex;
    }

    long number() {
        return number;
    }

    ExitCause cause() {
        return cause;
    }

    String name() {
        return jobId + "/" + taskIndex + "#" + number;
    }

    /** Changes the state; every state change goes through here. */
    void transitionTo(State next, long now) {
        if (next == state) {
            return;
        }
        if (state == State.RELEASED || (state == State.EXITED && next != State.RELEASED)) {
            throw new IllegalStateException(
                    "attempt " + name() + ": transition " + state + " -> " + next + " is not allowed");
        }
        if (next == State.RUNNING) {
            runningSince = now;
        }
        state = next;
    }

    /** Records that the worker reports the end of the attempt. */
    void exit(ExitCause reportedCause, long now) {
        transitionTo(State.EXITED, now);
        cause = reportedCause;
    }

    /** Sets the task that the attempt runs; null detaches the attempt. */
    void setTask(Task newTask) {
        task = newTask;
    }

    /** Returns the sequence number of the newest heartbeat or call reply that shows the attempt, or -1. */
    long lastReportSeq() {
        return lastReportSeq;
    }

    void markReported(long seq) {
        lastReportSeq = seq;
    }

    /** Returns whether the worker has shown the attempt, in a heartbeat or in the reply to a call. */
    boolean isShown() {
        return lastReportSeq >= 0;
    }

    /** Returns whether the worker may have dropped the ended attempt on command. */
    boolean clearSent() {
        return clearSent;
    }

    void markClearSent() {
        clearSent = true;
    }

    // ---- the start in transit ----

    /** Returns how the start was sent to the worker. */
    StartDelivery start() {
        return start;
    }

    /** Returns whether the start is still to be sent in a direct call. */
    boolean startDueInCall() {
        return state == State.STARTING && !stopRequested && start.isUnsent();
    }

    /** Returns whether the start is to be sent in a heartbeat answer; a recent direct call with it is not duplicated. */
    boolean startDueInAnswer(long now) {
        return state == State.STARTING && !stopRequested && !start.isDirectCallRecent(now);
    }

    /**
     * Returns whether a late duplicate of the start could run the task again if the machine forgot this attempt. Token and
     * session of the duplicate still match until the machine has seen a higher token.
     */
    boolean duplicateCouldRun() {
        return start.duplicateCouldRun(machine.incarnation().token());
    }

    /** Returns whether the attempt has ended and a late duplicate of its start under this token could run it again. */
    boolean duplicateCouldRunUnder(long token) {
        return state == State.EXITED && duplicateCouldRun() && start.wasSentUnder(token);
    }

    // ---- the stop ----

    /** Requests a stop, with a grace period in seconds to save progress. */
    void requestStop(double graceSeconds) {
        stopRequested = true;
        graceS = graceSeconds;
    }

    /** Detaches the attempt from its task and requests an immediate stop, even if it had a grace period before. */
    void detachAndStop() {
        task = null;
        requestStop(0);
        stopSentAt = NEVER;
    }

    double graceS() {
        return graceS;
    }

    /** Returns whether a stop is to be sent now, in a direct call or in a heartbeat answer. */
    boolean stopDue(boolean inDirectCall, long now) {
        return stopRequested && state != State.STARTING && (!inDirectCall || now - stopSentAt > DIRECT_STOP_RETRY_MS);
    }

    /** Returns when the stop was last sent, far in the past if it never was. */
    long stopSentAt() {
        return stopSentAt;
    }

    void stopSent(long now) {
        stopSentAt = now;
    }

    /** Returns whether the start may still arrive after its deadline, which only the end of the machine's session prevents. */
    boolean requiresLeaseExpiry(long now) {
        return state == State.STARTING && start.mayArriveAfterDeadline(now);
    }
}
