package org.landingridge.controller.recovery;

/**
 * What is known of a heartbeat as a whole.
 *
 * @param returned the cloud has confirmed that the machine is gone
 * @param newer    by session and sequence number newer than all that was heard of the machine
 * @param token    the highest fencing token that the worker has seen, compared with this leader's
 */
public record HeartbeatEvidence(boolean returned, boolean newer, Token token) {
    /** A fencing token compared with this leader's. */
    public enum Token {
        /** Of an earlier leader. */
        LOWER,
        /** This leader's. */
        EQUAL,
        /** Of a leader that may follow this one. */
        HIGHER;

        /** Compares a token that a worker has seen with this leader's. */
        public static Token of(long seen, long ours) {
            if (seen == ours) {
                return EQUAL;
            }
            return seen < ours ? LOWER : HIGHER;
        }
    }
}
