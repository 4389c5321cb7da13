package org.landingridge.controller.fleet;

/** One task of an active job, in the memory of the leader. */
public final class Task {
    /** States of a task. */
    public enum State {
        /** On no machine, as far as this leader knows. */
        PENDING,
        /** An attempt is or may be on a machine. */
        ON_MACHINE,
        /** An attempt completed; the result is not stored yet. */
        FINISHED,
        /** The result is stored. */
        DONE
    }

    private final ActiveJob job;
    private final int index;
    private State state;
    private Attempt attempt;
    /** True once this leader has seen the task on a fenced machine: no attempt of an earlier leader is elsewhere. */
    private boolean accountedFor;

    Task(ActiveJob job, int index, State state) {
        this.job = job;
        this.index = index;
        this.state = state;
    }

    /** Returns the state of the task. */
    public State state() {
        return state;
    }

    /** Returns the attempt that is or may be on a machine, or null in any state but {@link State#ON_MACHINE}. */
    public Attempt attempt() {
        return attempt;
    }

    /** Returns the job of the task. */
    public ActiveJob job() {
        return job;
    }

    /** Returns the index of the task in its job, from 0. */
    public int index() {
        return index;
    }

    boolean accountedFor() {
        return accountedFor;
    }

    /** Records that this leader has seen the task on a fenced machine. */
    void markAccountedFor() {
        accountedFor = true;
    }

    /** Records that an attempt puts the task on a machine. */
    void markOnMachine(Attempt newAttempt) {
        transitionTo(State.ON_MACHINE, newAttempt);
    }

    /** Makes the task pending again: it is on no machine any more. */
    void requeue() {
        transitionTo(State.PENDING, null);
    }

    /** Records that an attempt completed; the result is not stored yet. */
    void markFinished() {
        transitionTo(State.FINISHED, null);
    }

    /** Records that the result is stored. */
    void markDone() {
        transitionTo(State.DONE, null);
    }

    /** Changes the state; every state change goes through here. */
    private void transitionTo(State next, Attempt newAttempt) {
        boolean isAllowed = switch (state) {
            case PENDING -> next != State.PENDING;
            case ON_MACHINE -> next == State.PENDING || next == State.FINISHED || next == State.DONE;
            case FINISHED -> next == State.DONE;
            case DONE -> false;
        };
        if (!isAllowed) {
            throw new IllegalStateException(
                    "task " + job.id() + "/" + index + ": transition " + state + " -> " + next + " is not allowed");
        }
        job.countTransition(this, state, next);
        state = next;
        attempt = newAttempt;
    }
}
