package org.landingridge.controller.recovery;

/**
 * Tracks whether a new leader knows enough about existing machines to scale out. Right after an election, machines report
 * that no list of the cloud contains yet; machines rented in their place would be returned unused.
 */
public final class ObservationWindow {
    /** How complete the leader's view of the machines is. */
    public enum State {
        /** Unknown machines still report, or no list of the cloud has been read. */
        GATHERING,
        /** Nearly all machines that are up or starting are known. This state is final. */
        COMPLETE
    }

    /** Time without a new unknown machine after which the view counts as complete, in milliseconds. */
    private static final long QUIET_MS = 1_000;

    private final long beganAt;
    private final long mostMs;
    private State state = State.GATHERING;
    private boolean listRead;
    private long newestAt;

    /**
     * Starts the window.
     *
     * @param beganAt start of the window, in milliseconds
     * @param mostMs  longest duration of the window, in milliseconds; then it is complete in any case
     */
    public ObservationWindow(long beganAt, long mostMs) {
        this.beganAt = beganAt;
        this.newestAt = beganAt;
        this.mostMs = mostMs;
    }

    /** Records a heartbeat of a machine that was unknown so far. */
    public void newcomer(long now) {
        newestAt = now;
    }

    /** Records that a list of the cloud's machines has been read. */
    public void listed() {
        listRead = true;
    }

    /** Returns how complete the view is at the given time, in milliseconds. */
    public State state(long now) {
        if (state == State.GATHERING && (observed(now) || now - beganAt >= mostMs)) {
            state = State.COMPLETE;
        }
        return state;
    }

    private boolean observed(long now) {
        return listRead && now - newestAt >= QUIET_MS;
    }
}
