package org.landingridge.controller.fleet;

import org.landingridge.wire.ExitCause;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.JobSpec;

/**
 * One try of a task on one machine, from the moment its start may be sent until it is certainly over. Times are the event
 * loop's, in milliseconds.
 */
public final class Attempt {
    /** SENT: start given, not yet seen in a heartbeat. OVER: certainly not on the machine any more. */
    public enum State {
        SENT,
        FETCHING,
        RUNNING,
        SAVING,
        EXITED,
        OVER
    }

    private static final long NEVER = Long.MIN_VALUE / 2;
    /** A call that was not answered by now may be lost. */
    private static final long CROSSING_MS = 300;
    /** A stop is not repeated straight to the machine sooner. */
    private static final long STOP_PAUSE_MS = 1_000;

    private final String job;
    private final int task;
    private final long number;
    private final Machine machine;
    private final JobSpec spec;
    private final long since;
    /** The task that this attempt stands for; null if it is to be got rid of (job over, or not ours). */
    private Task owner;

    private State state = State.SENT;
    private ExitCause cause = ExitCause.UNSTATED;
    private long runningSince;
    /** The newest heartbeat that shows it, -1 if none does. */
    private long reportedWith = -1;

    /** The heartbeat in whose answer the start was last sent, -1 if in none. */
    private long sentWithReport = -1;
    /** When the start was last sent straight to the machine in a call that is still out. */
    private long directAt = NEVER;
    /** Token of a direct start that got no answer and so may still arrive; 0 if there is none. */
    private long unansweredUnder;
    /** Token of the last start that was sent straight to the machine, 0 if none was: a copy of it may come late. */
    private long directUnder;

    private boolean stopWanted;
    private double graceS;
    private long stopSentAt = NEVER;
    /** Its job is cancelled: from then on its machine's lease may not be renewed while a start of it may still arrive. */
    private long offBy = Long.MAX_VALUE;

    /** An attempt that this leader starts. */
    Attempt(Machine machine, Task task, long number, long now) {
        this(machine, task.job().id(), task.index(), number, task.job().spec(), now);
        owner = task;
    }

    /** An attempt that an earlier leader has started, as a heartbeat shows it; {@code spec} is null if its job is not known. */
    Attempt(Machine machine, Heartbeat.Entry entry, JobSpec spec, long now) {
        this(machine, entry.job(), entry.task(), entry.attempt(), spec, now);
    }

    private Attempt(Machine machine, String job, int task, long number, JobSpec spec, long now) {
        this.machine = machine;
        this.job = job;
        this.task = task;
        this.number = number;
        this.spec = spec;
        this.since = now;
    }

    /** What it does, as far as this leader knows. */
    public State state() {
        return state;
    }

    /** The machine that it is or may be on. */
    public Machine machine() {
        return machine;
    }

    /** What its task takes; null if its job is not known any more. */
    public JobSpec spec() {
        return spec;
    }

    /** True if it is to stop. */
    public boolean stopWanted() {
        return stopWanted;
    }

    /** The task that it stands for; null if it is to be got rid of. */
    public Task owner() {
        return owner;
    }

    /** When this leader started it or first saw it. */
    public long since() {
        return since;
    }

    /** Identifier of its job. */
    public String jobId() {
        return job;
    }

    /** When it was first seen to run, 0 if it was not. */
    public long runningSince() {
        return runningSince;
    }

    /** True while it takes room on its machine. */
    public boolean live() {
        return state != State.EXITED && state != State.OVER;
    }

    int task() {
        return task;
    }

    long number() {
        return number;
    }

    ExitCause cause() {
        return cause;
    }

    String name() {
        return job + "/" + task + "#" + number;
    }

    /** The only place where an attempt changes its state. */
    void to(State next, long now) {
        if (next == state) {
            return;
        }
        if (state == State.OVER || (state == State.EXITED && next != State.OVER)) {
            throw new IllegalStateException(name() + ": " + state + " -> " + next);
        }
        if (next == State.RUNNING) {
            runningSince = now;
        }
        state = next;
    }

    /** Its worker says that it has ended. */
    void exit(ExitCause why, long now) {
        to(State.EXITED, now);
        cause = why;
    }

    /** It stands for that task; null if for none any more. */
    void owner(Task next) {
        owner = next;
    }

    /** The newest heartbeat that shows it, -1 if none does. */
    long reportedWith() {
        return reportedWith;
    }

    void reportedWith(long seq) {
        reportedWith = seq;
    }

    // ---- its start on the way ----

    /** The heartbeat in whose answer the start was last sent, -1 if in none. */
    long sentWithReport() {
        return sentWithReport;
    }

    /** The start goes out in the answer to that heartbeat. */
    void sentWithReport(long seq) {
        sentWithReport = seq;
    }

    /** True if its start may still have to go straight to the machine. */
    boolean directStartDue() {
        return state == State.SENT && !stopWanted && sentWithReport < 0 && unansweredUnder == 0;
    }

    /** True if its start is to go into an answer; one that crosses that answer on a call is not repeated. */
    boolean answeredStartDue(long now) {
        return state == State.SENT && !stopWanted && now - directAt > CROSSING_MS;
    }

    /** The start goes out in a call under that token. */
    void directCallBegun(long now, long token) {
        directAt = now;
        directUnder = token;
    }

    /** That call is over. */
    void directCallOver() {
        directAt = NEVER;
    }

    /** Nobody knows whether the call under that token arrived, or still will. */
    void directCallLost(long token) {
        unansweredUnder = token;
    }

    /** Token of a direct start that got no answer and so may still arrive; 0 if there is none. */
    long unansweredUnder() {
        return unansweredUnder;
    }

    /** True if a direct start that got no answer may still arrive. */
    boolean startMayArrive() {
        return unansweredUnder != 0;
    }

    /** The machine has shown a token: a start under a lower one is not carried out any more. */
    void tokenShown(long token) {
        if (unansweredUnder != 0 && token > unansweredUnder) {
            unansweredUnder = 0;
        }
    }

    /**
     * True if a late copy of its start could run it once more, should its machine forget it: token and session match for as
     * long as the machine has seen no higher token.
     */
    boolean copyCouldRun() {
        return directUnder != 0 && machine.incarnation().token() <= directUnder;
    }

    /** True if it ended and could be run once more by a copy of a start under that token. */
    boolean keptUnder(long token) {
        return state == State.EXITED && copyCouldRun() && directUnder == token;
    }

    // ---- its stop ----

    /** It is to stop, with so many seconds to save. */
    void requestStop(double seconds) {
        stopWanted = true;
        graceS = seconds;
    }

    /** It stands for no task any more and is to stop at once, even if it was given time to save before. */
    void disown() {
        owner = null;
        requestStop(0);
        stopSentAt = NEVER;
    }

    double graceS() {
        return graceS;
    }

    /** True if a stop is to be sent now, straight or in an answer. */
    boolean stopDue(boolean direct, long now) {
        return stopWanted && state != State.SENT && (!direct || now - stopSentAt > STOP_PAUSE_MS);
    }

    void stopSent(long now) {
        stopSentAt = now;
    }

    /** From then on its machine's lease may not be renewed while a start of it may still arrive. */
    void offBy(long time) {
        offBy = time;
    }

    /** True if only the end of the machine's session still keeps its start from being too late. */
    boolean mustLapse(long now) {
        return state == State.SENT && unansweredUnder != 0 && now >= offBy;
    }
}
