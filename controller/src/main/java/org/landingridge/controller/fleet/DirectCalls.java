package org.landingridge.controller.fleet;

/** Calls straight to one machine: at most one is out at a time. Times are the event loop's, in milliseconds. */
final class DirectCalls {
    private boolean inFlight;
    /** Calls in a row that it has not answered since it was last heard. */
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

    /** The machine was heard, in whatever way. */
    void heard() {
        unanswered = 0;
    }

    /** Commands were not answered; the next are sent no sooner than {@code retryAt}. */
    void commandsUnanswered(long retryAt) {
        unanswered++;
        commandsNotBefore = retryAt;
    }

    /** The next commands are sent no sooner than {@code until}. */
    void pauseCommands(long until) {
        commandsNotBefore = until;
    }

    /** A probe was not answered; the next is sent no sooner than {@code retryAt}. */
    void probeUnanswered(long retryAt) {
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
