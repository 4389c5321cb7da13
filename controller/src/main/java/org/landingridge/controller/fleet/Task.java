package org.landingridge.controller.fleet;

/** One task of a job, as the leader sees it. */
public final class Task {
    /**
     * PENDING: on no machine, as far as this leader can tell. ON_MACHINE: an attempt is or may be on a machine.
     * FINISHED: it reported its end, not yet stored. DONE: stored.
     */
    public enum State {
        PENDING,
        ON_MACHINE,
        FINISHED,
        DONE
    }

    final ActiveJob job;
    final int index;
    private State state;
    private Attempt attempt;
    /** Seen by this leader on a machine that no earlier leader can command any more: so it is nowhere else. */
    boolean accounted;
    /** Loop time when the task last became pending. */
    long pendingSince;

    Task(ActiveJob job, int index, State state, long now) {
        this.job = job;
        this.index = index;
        this.state = state;
        this.pendingSince = now;
    }

    public State state() {
        return state;
    }

    public Attempt attempt() {
        return attempt;
    }

    public ActiveJob job() {
        return job;
    }

    public int index() {
        return index;
    }

    /** The only place where a task changes its state. */
    void to(State next, Attempt by, long now) {
        boolean legal = switch (state) {
            case PENDING -> next != State.PENDING;
            case ON_MACHINE -> next == State.PENDING || next == State.FINISHED || next == State.DONE;
            case FINISHED -> next == State.DONE;
            case DONE -> false;
        };
        if (!legal) {
            throw new IllegalStateException(job.id() + "/" + index + ": " + state + " -> " + next);
        }
        job.moved(this, state, next);
        state = next;
        attempt = next == State.ON_MACHINE ? by : null;
        if (next == State.PENDING) {
            pendingSince = now;
        }
    }
}
