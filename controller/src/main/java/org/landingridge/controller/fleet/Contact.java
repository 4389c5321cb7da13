package org.landingridge.controller.fleet;

import org.landingridge.net.Http;

/**
 * When a machine was heard, whether its heartbeats are answered, and what its row in the registry says of that. Times are the
 * event loop's, in milliseconds.
 */
final class Contact {
    /**
     * ANSWERED: they are. SUSPENDED: the machine is silent, and its row in the registry says or is to say for how long; none of
     * its heartbeats is answered, so that a later leader can count its lease from then. RESUMING: it was heard again, and is
     * answered once its row is stored without that.
     */
    enum State {
        ANSWERED,
        SUSPENDED,
        RESUMING
    }

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long heardAt = NEVER;
    /** When a heartbeat came last that said something new: answers to calls renew no lease. */
    private long heartbeatAt = NEVER;

    private State state = State.ANSWERED;
    /** A row that tells of its silence is stored, or may be. */
    private boolean silenceStored;
    /** A heartbeat that waits for the row to be stored; null while there is none. */
    private Http.Exchange parked;

    /** When it said something last, in a heartbeat or in answer to a call. */
    long heardAt() {
        return heardAt;
    }

    /** True once it has said something to this leader. */
    boolean everHeard() {
        return heardAt > NEVER;
    }

    long heartbeatAt() {
        return heartbeatAt;
    }

    /** It has just said something. */
    void heard(long now) {
        heardAt = now;
    }

    /** A heartbeat that said something new has just come. */
    void heartbeat(long now) {
        heartbeatAt = now;
    }

    State state() {
        return state;
    }

    boolean silenceStored() {
        return silenceStored;
    }

    /** The row that tells of its silence is stored ({@code true}) or known not to be. */
    void silenceStored(boolean stored) {
        silenceStored = stored;
    }

    /** Its heartbeats are answered no more. */
    void suspend() {
        to(State.SUSPENDED);
    }

    /**
     * The machine is no longer silent.
     *
     * @return true if it was suspended, so that its row has to be written
     */
    boolean reopen() {
        if (state != State.SUSPENDED) {
            return false;
        }
        // Where no row can tell of its silence, as in an outage of the state service, nobody counts by it.
        to(silenceStored ? State.RESUMING : State.ANSWERED);
        return true;
    }

    /** Its heartbeats are answered again, and no row says otherwise. */
    void restore() {
        to(State.ANSWERED);
        silenceStored = false;
    }

    /**
     * Keeps a heartbeat until the row is stored.
     *
     * @return the one that was kept until now, or null
     */
    Http.Exchange park(Http.Exchange exchange) {
        Http.Exchange earlier = parked;
        parked = exchange;
        return earlier;
    }

    /** The heartbeat that was kept, or null; it is kept no longer. */
    Http.Exchange unpark() {
        return park(null);
    }

    private void to(State next) {
        if (state == State.ANSWERED && next == State.RESUMING) {
            throw new IllegalStateException(state + " -> " + next);
        }
        state = next;
    }
}
