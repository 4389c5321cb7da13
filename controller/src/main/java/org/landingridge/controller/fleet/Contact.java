package org.landingridge.controller.fleet;

import org.landingridge.net.Http;

/**
 * When messages of a machine last arrived, whether its heartbeats are answered, and whether its row in the registry may store a
 * silence. Times are in milliseconds on the event loop's clock.
 */
final class Contact {
    /**
     * ANSWERED: heartbeats are answered. SUSPENDED: the machine is silent, and its row in the registry stores its silence or is
     * about to; no heartbeat is answered, so that a later leader can count the lease from the stored time. RESUMING: the
     * machine has sent a message again; its heartbeats are answered once its row is stored without a silence.
     */
    enum State {
        ANSWERED,
        SUSPENDED,
        RESUMING
    }

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long lastMessageAt = NEVER;
    /** Arrival of the last heartbeat that was not outdated; answers to calls do not count, since they renew no lease. */
    private long lastHeartbeatAt = NEVER;

    private State state = State.ANSWERED;
    /** A row with a silence is stored, or may be. */
    private boolean silenceStored;
    /** A heartbeat whose answer waits until the row is stored, or null. */
    private Http.Exchange parked;

    /** Returns the arrival time of the last heartbeat or answer to a call. */
    long lastMessageAt() {
        return lastMessageAt;
    }

    /** Returns true if this leader has received a heartbeat or an answer to a call. */
    boolean hasSentMessage() {
        return lastMessageAt > NEVER;
    }

    long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    /** Records a heartbeat or an answer to a call. */
    void recordMessage(long now) {
        lastMessageAt = now;
    }

    /** Records a heartbeat that was not outdated. */
    void recordHeartbeat(long now) {
        lastHeartbeatAt = now;
    }

    State state() {
        return state;
    }

    boolean silenceStored() {
        return silenceStored;
    }

    /** Records whether a row with a silence is or may be stored ({@code true}), or is known not to be. */
    void silenceStored(boolean stored) {
        silenceStored = stored;
    }

    /** Stops answering the machine's heartbeats. */
    void suspend() {
        to(State.SUSPENDED);
    }

    /**
     * Records that the machine is no longer silent.
     *
     * @return true if it was suspended, so its row has to be written
     */
    boolean endSilence() {
        if (state != State.SUSPENDED) {
            return false;
        }
        // If no silence can be stored, as in an outage of the state service, no later leader counts the lease from it.
        to(silenceStored ? State.RESUMING : State.ANSWERED);
        return true;
    }

    /** Answers the heartbeats again, since no row stores a silence. */
    void markAnswered() {
        to(State.ANSWERED);
        silenceStored = false;
    }

    /**
     * Holds a heartbeat's answer back until the row is stored.
     *
     * @return the heartbeat that was held back before, or null
     */
    Http.Exchange park(Http.Exchange exchange) {
        Http.Exchange earlier = parked;
        parked = exchange;
        return earlier;
    }

    /** Releases and returns the heartbeat that was held back, or null. */
    Http.Exchange unpark() {
        return park(null);
    }

    private void to(State next) {
        if (state == State.ANSWERED && next == State.RESUMING) {
            throw new IllegalStateException("contact: transition " + state + " -> " + next + " is not allowed");
        }
        state = next;
    }
}
