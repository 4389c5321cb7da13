package org.landingridge.controller.fleet;

/**
 * How the start of one attempt was sent to its worker, and whether it or a copy of it may still arrive. Times are those of the
 * event loop, in milliseconds.
 */
final class StartDelivery {
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** A start sent in a direct call is left out of heartbeat answers for this long; after that the call may be lost. */
    private static final long DIRECT_CALL_IN_FLIGHT_MS = 300;

    /** Sequence number of the heartbeat whose answer last carried the start, -1 if none did. */
    private long answerSeq = -1;
    /** When the start was sent in a direct call that is still in flight. */
    private long directCallSentAt = NEVER;
    /** Fencing token of a direct call with the start that was not answered and may still arrive; 0 if there is none. */
    private long unansweredToken;
    /** Fencing token of the last direct call with the start, 0 if there was none: a duplicate may arrive late. */
    private long directToken;
    /** Set when the job is cancelled: from then on the machine's lease is not renewed while the start may still arrive. */
    private long deadline = Long.MAX_VALUE;

    /** Returns the sequence number of the heartbeat whose answer last carried the start, or -1. */
    long answerSeq() {
        return answerSeq;
    }

    /** Records that the answer to a heartbeat carries the start. */
    void markInAnswer(long seq) {
        answerSeq = seq;
    }

    /** Records that a direct call under a fencing token carries the start. */
    void beginDirectCall(long now, long token) {
        directCallSentAt = now;
        directToken = token;
    }

    /** Records that the direct call has ended, answered or not. */
    void endDirectCall() {
        directCallSentAt = NEVER;
    }

    /** Records that a direct call was not answered: the start may have arrived or may arrive later. */
    void markUnanswered(long token) {
        unansweredToken = token;
    }

    /** Returns the fencing token of an unanswered direct call whose start may still arrive, or 0. */
    long unansweredToken() {
        return unansweredToken;
    }

    /** Returns whether the start in an unanswered direct call may still arrive. */
    boolean mayArrive() {
        return unansweredToken != 0;
    }

    /** Records a fencing token that the machine has shown: it ignores a start under a lower one. */
    void observeToken(long token) {
        if (unansweredToken != 0 && token > unansweredToken) {
            unansweredToken = 0;
        }
    }

    /** Returns whether the start was sent neither in an answer nor in a direct call that may still arrive. */
    boolean isUnsent() {
        return answerSeq < 0 && unansweredToken == 0;
    }

    /** Returns whether a direct call with the start has been in flight for a short time only. */
    boolean isDirectCallRecent(long now) {
        return now - directCallSentAt <= DIRECT_CALL_IN_FLIGHT_MS;
    }

    /** Returns whether a worker that has seen this token would carry out a late duplicate of a direct call with the start. */
    boolean duplicateCouldRun(long machineToken) {
        return directToken != 0 && machineToken <= directToken;
    }

    /** Returns whether the last direct call with the start was sent under this token. */
    boolean wasSentUnder(long token) {
        return directToken == token;
    }

    /** Sets the time from which the machine's lease is not renewed while the start may still arrive. */
    void setDeadline(long time) {
        deadline = time;
    }

    /** Returns whether the start may still arrive after its deadline. */
    boolean mayArriveAfterDeadline(long now) {
        return unansweredToken != 0 && now >= deadline;
    }
}
