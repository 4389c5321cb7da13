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
    private static final long QUIET_PERIOD_MS = 1_000;

    private final long startedAtMs;
    private final long maxDurationMs;
    private State state = State.GATHERING;
    private boolean listRead;
    private long newestMachineAtMs;

    /**
     * Starts the window.
     *
     * @param startedAtMs   start of the window, in milliseconds
     * @param maxDurationMs longest duration of the window, in milliseconds; then it is complete in any case
     */
    public ObservationWindow(long startedAtMs, long maxDurationMs) {
        this.startedAtMs = startedAtMs;
        this.newestMachineAtMs = startedAtMs;
        this.maxDurationMs = maxDurationMs;
    }

    /** Records a heartbeat of a machine that was unknown so far. */
    public void recordUnknownMachine(long nowMs) {
        newestMachineAtMs = nowMs;
    }

    /** Records that a list of the cloud's machines has been read. */
    public void recordMachineList() {
        listRead = true;
    }

    /** Returns how complete the view is at the given time, in milliseconds. */
    public State state(long nowMs) {
        if (state == State.GATHERING && (hasSettled(nowMs) || nowMs - startedAtMs >= maxDurationMs)) {
            state = State.COMPLETE;
        }
        return state;
    }

    private boolean hasSettled(long nowMs) {
        return listRead && nowMs - newestMachineAtMs >= QUIET_PERIOD_MS;
    }
}
