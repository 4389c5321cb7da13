package org.landingridge.controller.recovery;

/**
 * What is known of a report as a whole.
 *
 * @param givenBack the cloud has confirmed that the machine is gone
 * @param newer     by session and sequence newer than all that was heard of the machine
 * @param token     the highest token that the worker has seen, beside this leader's
 */
public record ReportEvidence(boolean givenBack, boolean newer, Token token) {
    public enum Token {
        LOWER,
        EQUAL,
        HIGHER;

        public static Token of(long seen, long ours) {
            return seen < ours ? LOWER : seen == ours ? EQUAL : HIGHER;
        }
    }
}
