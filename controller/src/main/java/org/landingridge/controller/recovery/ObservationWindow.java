package org.landingridge.controller.recovery;

/**
 * Whether a new leader knows enough of what is there to scale out. Right after an election machines turn up that no list
 * names yet: what is rented in their place is returned unused.
 */
public final class ObservationWindow {
    /** How much is known. */
    public enum State {
        /** Machines still turn up, or no list was read. */
        GATHERING,
        /** What is up or on its way is known, mostly; it stays so. */
        COMPLETE
    }

    /** For so long no unknown machine may have turned up, in milliseconds. */
    private static final long QUIET_MS = 1_000;

    private final long beganAt;
    private final long mostMs;
    private State state = State.GATHERING;
    private boolean listRead;
    private long newestAt;

    /** @param mostMs how long nothing is decided at most, whatever is still missing */
    public ObservationWindow(long beganAt, long mostMs) {
        this.beganAt = beganAt;
        this.newestAt = beganAt;
        this.mostMs = mostMs;
    }

    /** A machine has sent a heartbeat that nobody knew of. */
    public void newcomer(long now) {
        newestAt = now;
    }

    /** A list of the cloud has been read. */
    public void listed() {
        listRead = true;
    }

    /** How much is known at this time. */
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
