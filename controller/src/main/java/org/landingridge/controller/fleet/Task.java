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

    private final ActiveJob job;
    private final int index;
    private State state;
    private Attempt attempt;
    /** Seen by this leader on a machine that no earlier leader can command any more: so it is nowhere else. */
    private boolean accounted;

    Task(ActiveJob job, int index, State state) {
        this.job = job;
        this.index = index;
        this.state = state;
    }

    /** Where it stands. */
    public State state() {
        return state;
    }

    /** The attempt that is or may be on a machine; null in every other state. */
    public Attempt attempt() {
        return attempt;
    }

    /** Its job. */
    public ActiveJob job() {
        return job;
    }

    /** Its number in the job. */
    public int index() {
        return index;
    }

    boolean accounted() {
        return accounted;
    }

    /** This leader has seen it on a fenced machine. */
    void account() {
        accounted = true;
    }

    /** It is on a machine by that attempt. */
    void placed(Attempt by) {
        to(State.ON_MACHINE, by);
    }

    /** It is on no machine any more, and waits. */
    void requeue() {
        to(State.PENDING, null);
    }

    /** It has reported its end. */
    void finish() {
        to(State.FINISHED, null);
    }

    /** Its end is stored. */
    void done() {
        to(State.DONE, null);
    }

    /** The only place where a task changes its state. */
    private void to(State next, Attempt by) {
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
        attempt = by;
    }
}
