package org.landingridge.controller.fleet;

import org.landingridge.wire.Heartbeat;

/**
 * Which process of the worker speaks for a machine, and the newest that it has said. Sessions, sequence numbers and tokens
 * only grow within an incarnation.
 */
final class Incarnation {
    /**
     * KNOWN: the worker that speaks is the one that was known. RESTARTED: it was restarted under its old name, by an answer
     * older than what was known when it was asked for; what its earlier incarnation ran counts as running until it has shown
     * a token from after that, so that nothing sent to the earlier one can reach it any more.
     */
    enum State {
        KNOWN,
        RESTARTED
    }

    private State state = State.KNOWN;
    /** Heartbeats that show no higher token than this were sent by an earlier incarnation; 0 if there was none. */
    private long tokenFloor;
    /** Heartbeats in a row that were older than what is known. */
    private int outdated;

    private long session = -1;
    private long seq = -1;
    private long token;

    boolean restarted() {
        return state == State.RESTARTED;
    }

    /** The newest session, -1 if none is known. */
    long session() {
        return session;
    }

    /** The newest sequence number of the session, -1 if none is known. */
    long seq() {
        return seq;
    }

    /** The highest fencing token that the worker has shown, 0 if none. */
    long token() {
        return token;
    }

    int outdated() {
        return outdated;
    }

    /** True if the token tells this incarnation's heartbeats from those of earlier ones. */
    boolean showable(long leaderToken) {
        return leaderToken > tokenFloor;
    }

    /** True if the heartbeat is newer than all that is known. */
    boolean precedes(Heartbeat heartbeat) {
        return newer(heartbeat, session, seq);
    }

    /** True if the heartbeat is newer than that sequence number of that session. */
    static boolean newer(Heartbeat heartbeat, long session, long seq) {
        return heartbeat.session() > session || (heartbeat.session() == session && heartbeat.seq() > seq);
    }

    /** True if an earlier incarnation sent the heartbeat. */
    boolean follows(Heartbeat heartbeat) {
        return tokenFloor > 0 && heartbeat.token() <= tokenFloor;
    }

    /** Counts a heartbeat that was older than what is known. */
    void noteOutdated() {
        outdated++;
    }

    /** Ends a row of outdated heartbeats. */
    void clearOutdated() {
        outdated = 0;
    }

    /** The worker was restarted; only a token above {@code leaderToken} tells its heartbeats from earlier ones. */
    void restart(long leaderToken) {
        to(State.RESTARTED);
        tokenFloor = leaderToken;
    }

    /** The restarted worker has shown a token that nothing sent to the earlier incarnation bears. */
    void begin() {
        to(State.KNOWN);
        session = -1;
        seq = -1;
        token = 0;
    }

    /** Nothing that was or will be said in {@code session} under a token below {@code leaderToken} counts. */
    void disregardUntil(long leaderToken, long session) {
        tokenFloor = Math.max(tokenFloor, leaderToken - 1);
        this.session = session;
    }

    /** The lease has run out: what still arrives from the session was sent before. */
    void endSession() {
        session++;
        seq = -1;
    }

    /** The worker has begun a session. */
    void beginSession(long next) {
        session = next;
    }

    /** Takes over the sequence number and the token of a heartbeat that counts. */
    void accept(Heartbeat heartbeat) {
        seq = heartbeat.seq();
        token = heartbeat.token();
    }

    private void to(State next) {
        if (next == state) {
            throw new IllegalStateException(state + " -> " + next);
        }
        state = next;
    }
}
