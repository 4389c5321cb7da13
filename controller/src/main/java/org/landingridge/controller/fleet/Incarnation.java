package org.landingridge.controller.fleet;

import org.landingridge.wire.Heartbeat;

/**
 * The current incarnation, or process, of a machine's worker and its newest heartbeat. Within an incarnation, sessions, sequence
 * numbers and tokens never decrease.
 */
final class Incarnation {
    /**
     * KNOWN: heartbeats come from the known incarnation. RESTARTED: the worker was restarted under the same machine
     * identifier, detected by an answer with an older session or sequence number than was known when the call was sent. The
     * tasks of the earlier incarnation count as running until the worker shows a token that was raised after that; from then
     * on it rejects all commands sent to the earlier incarnation.
     */
    enum State {
        KNOWN,
        RESTARTED
    }

    private State state = State.KNOWN;
    /** Heartbeats with this token or a lower one come from an earlier incarnation; 0 if there is no earlier one. */
    private long tokenFloor;
    /** Number of consecutive heartbeats that were older than the newest known one. */
    private int consecutiveOutdated;

    private long session = -1;
    private long seq = -1;
    private long token;

    boolean restarted() {
        return state == State.RESTARTED;
    }

    /** Returns the newest session, or -1 if none is known. */
    long session() {
        return session;
    }

    /** Returns the newest sequence number of the session, or -1 if none is known. */
    long seq() {
        return seq;
    }

    /** Returns the highest fencing token that the worker has shown, or 0. */
    long token() {
        return token;
    }

    int consecutiveOutdated() {
        return consecutiveOutdated;
    }

    /** Returns true if a heartbeat with this token can be distinguished from those of earlier incarnations. */
    boolean isDistinguishedBy(long leaderToken) {
        return leaderToken > tokenFloor;
    }

    /** Returns true if the heartbeat is newer than the newest known one. */
    boolean isOlderThan(Heartbeat heartbeat) {
        return isNewer(heartbeat, session, seq);
    }

    /** Returns true if the heartbeat is newer than the given session and sequence number. */
    static boolean isNewer(Heartbeat heartbeat, long session, long seq) {
        return heartbeat.session() > session || (heartbeat.session() == session && heartbeat.seq() > seq);
    }

    /** Returns true if an earlier incarnation sent the heartbeat. */
    boolean isLaterThan(Heartbeat heartbeat) {
        return tokenFloor > 0 && heartbeat.token() <= tokenFloor;
    }

    /** Counts a heartbeat that was older than the newest known one. */
    void countOutdated() {
        consecutiveOutdated++;
    }

    /** Resets the count of consecutive outdated heartbeats. */
    void resetOutdated() {
        consecutiveOutdated = 0;
    }

    /** Records a restart of the worker; from now on, only heartbeats with a token above {@code leaderToken} count. */
    void markRestarted(long leaderToken) {
        to(State.RESTARTED);
        tokenFloor = leaderToken;
    }

    /** Starts the new incarnation: the restarted worker has shown a token above the floor. */
    void completeRestart() {
        to(State.KNOWN);
        session = -1;
        seq = -1;
        token = 0;
    }

    /** Ignores heartbeats of {@code session} with a token below {@code leaderToken}, past and future ones. */
    void ignoreBelowToken(long leaderToken, long session) {
        tokenFloor = Math.max(tokenFloor, leaderToken - 1);
        this.session = session;
    }

    /** Ignores further heartbeats of the session: its lease has expired, so they were sent before that. */
    void endSession() {
        session++;
        seq = -1;
    }

    /** Records that the worker has begun a session. */
    void beginSession(long newSession) {
        session = newSession;
    }

    /** Takes over the sequence number and the token of an accepted heartbeat. */
    void accept(Heartbeat heartbeat) {
        seq = heartbeat.seq();
        token = heartbeat.token();
    }

    private void to(State next) {
        if (next == state) {
            throw new IllegalStateException("incarnation: transition " + state + " -> " + next + " is not allowed");
        }
        state = next;
    }
}
