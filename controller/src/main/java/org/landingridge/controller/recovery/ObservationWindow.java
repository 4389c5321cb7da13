package org.landingridge.controller.recovery;

/**
 * Whether a new leader knows enough of what is there to rent more. Right after an election machines turn up that no list
 * names yet: what is rented for their want is given back unused.
 */
public final class ObservationWindow {
    /** GATHERING: machines still turn up, or no list was read. COMPLETE: what is up or on its way is known, mostly. */
    public enum State {
        GATHERING,
        COMPLETE
    }

    /** So long nobody unknown may have turned up, in milliseconds. */
    private static final long LULL_MS = 1_000;

    private final long beganAt;
    private final long mostMs;
    private State state = State.GATHERING;
    private boolean listed;
    private long newestAt;

    /** @param mostMs how long nothing is decided at most, whatever is still missing */
    public ObservationWindow(long beganAt, long mostMs) {
        this.beganAt = beganAt;
        this.newestAt = beganAt;
        this.mostMs = mostMs;
    }

    /** A machine has reported that nobody knew of. */
    public void newcomer(long now) {
        newestAt = now;
    }

    /** A list of the cloud has been read. */
    public void listed() {
        listed = true;
    }

    public State state(long now) {
        if (state == State.GATHERING && ((listed && now - newestAt >= LULL_MS) || now - beganAt >= mostMs)) {
            state = State.COMPLETE;
        }
        return state;
    }
}
