package org.landingridge.controller.fleet;

/**
 * State of the direct calls to one machine, of which at most one is in flight. Times are those of the event loop, in
 * milliseconds.
 */
final class DirectCalls {
    private boolean inFlight;
    /** Number of unanswered calls since the last message from the machine. */
    private int unanswered;

    private long commandsNotBefore;
    private long probeNotBefore;

    boolean inFlight() {
        return inFlight;
    }

    int unanswered() {
        return unanswered;
    }

    void begin() {
        inFlight = true;
    }

    void end() {
        inFlight = false;
    }

    /** Records a message from the machine, in a heartbeat or in a reply. */
    void recordContact() {
        unanswered = 0;
    }

    /** Records that a call with commands was not answered; the next is sent at {@code retryAt} at the earliest. */
    void recordUnansweredCommands(long retryAt) {
        unanswered++;
        commandsNotBefore = retryAt;
    }

    /** Sends no commands before {@code until}. */
    void pauseCommands(long until) {
        commandsNotBefore = until;
    }

    /** Records that a probe was not answered; the next is sent at {@code retryAt} at the earliest. */
    void recordUnansweredProbe(long retryAt) {
        unanswered++;
        probeNotBefore = retryAt;
    }

    boolean commandsDue(long now) {
        return !inFlight && now >= commandsNotBefore;
    }

    boolean probeDue(long now) {
        return !inFlight && now >= probeNotBefore;
    }
}
