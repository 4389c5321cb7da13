package org.landingridge.controller.fleet;

import org.landingridge.wire.JobSpec;

/** One try of a task on one machine, from the moment its start may be sent until it is certainly over. */
public final class Attempt {
    /** SENT: start given, not yet seen in a report. OVER: certainly not on the machine any more. */
    public enum State {
        SENT,
        FETCHING,
        RUNNING,
        SAVING,
        EXITED,
        OVER
    }

    final String job;
    final int task;
    final long number;
    final Machine machine;
    final JobSpec spec;
    /** The task that this attempt stands for; null if it is to be got rid of (job over, or not ours). */
    Task owner;

    private State state = State.SENT;
    String why;
    /** The newest report that shows it, -1 if none does. */
    long reportedWith = -1;
    /** The report in whose answer the start was last sent, -1 if in none. */
    long sentWithReport = -1;
    /** When it was last sent straight to the machine in a call that is still out; far in the past if there is none. */
    long directAt = Long.MIN_VALUE / 2;
    /** Token of a direct start that got no answer and so may still arrive; 0 if there is none. */
    long unansweredUnder;
    /** Token of the last start that was sent straight to the machine, 0 if none was: a copy of it may come late. */
    long directUnder;

    boolean stopWanted;
    double graceS;
    long stopSentAt = Long.MIN_VALUE / 2;
    /** Its job is cancelled: from then on its machine's lease may not be renewed while a start of it may still arrive. */
    long offBy = Long.MAX_VALUE;

    long since;
    long runningSince;

    Attempt(Machine machine, String job, int task, long number, JobSpec spec, Task owner, long now) {
        this.machine = machine;
        this.job = job;
        this.task = task;
        this.number = number;
        this.spec = spec;
        this.owner = owner;
        this.since = now;
    }

    public State state() {
        return state;
    }

    public Machine machine() {
        return machine;
    }

    public JobSpec spec() {
        return spec;
    }

    public boolean stopWanted() {
        return stopWanted;
    }

    public Task owner() {
        return owner;
    }

    public long since() {
        return since;
    }

    public String jobId() {
        return job;
    }

    public long runningSince() {
        return runningSince;
    }

    /**
     * True if a late copy of its start could run it once more, should its machine forget it: token and session match for as
     * long as the machine has seen no higher token.
     */
    boolean copyCouldRun() {
        return directUnder != 0 && machine.token <= directUnder;
    }

    /** True while it takes room on its machine. */
    public boolean live() {
        return state != State.EXITED && state != State.OVER;
    }

    /** The only place where an attempt changes its state. */
    void to(State next, long now) {
        if (next == state) {
            return;
        }
        if (state == State.OVER || state == State.EXITED && next != State.OVER) {
            throw new IllegalStateException(name() + ": " + state + " -> " + next);
        }
        if (next == State.RUNNING) {
            runningSince = now;
        }
        state = next;
    }

    String name() {
        return job + "/" + task + "#" + number;
    }
}
