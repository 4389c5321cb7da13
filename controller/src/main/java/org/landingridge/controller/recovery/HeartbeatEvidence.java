package org.landingridge.controller.recovery;

/**
 * The evidence about a heartbeat as a whole.
 *
 * @param returned the cloud has confirmed that the machine is gone
 * @param newer    its session and sequence number are newer than those of any earlier heartbeat of the machine
 * @param token    the highest fencing token that the worker has seen, compared with this leader's
 */
public record HeartbeatEvidence(boolean returned, boolean newer, Token token) {
    /** The result of comparing a fencing token with this leader's token. */
    public enum Token {
        /** The token of an earlier leader. */
        LOWER,
        /** This leader's token. */
        EQUAL,
        /** The token of a leader that may have replaced this one. */
        HIGHER;

        /** Compares a token that a worker has seen with this leader's. */
        public static Token compare(long seenToken, long ownToken) {
            if (seenToken == ownToken) {
                return EQUAL;
            }
            return seenToken < ownToken ? LOWER : HIGHER;
        }
    }
}
