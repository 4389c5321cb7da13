package org.landingridge.controller.cloud;

/** The post's rule: what to do next about an operation, given what was last observed of it. */
public enum NextAction {
    RECORD_SUCCESS,
    RECORD_FAILURE,
    WAIT_AND_QUERY,
    RETRY_ORIGINAL_INTENT,
    RECONCILE_OR_ESCALATE;

    /** What a call or a lookup told. */
    public enum Observation {
        SUCCEEDED,
        FAILED_TERMINAL,
        IN_PROGRESS,
        NOT_FOUND,
        UNAVAILABLE
    }

    /**
     * @param replaySafe   the destination deduplicates this very key
     * @param absenceFinal the lookup proves that the original attempt can no longer take effect
     */
    public static NextAction decide(Observation seen, boolean replaySafe, boolean absenceFinal) {
        return switch (seen) {
            case SUCCEEDED -> RECORD_SUCCESS;
            case FAILED_TERMINAL -> RECORD_FAILURE;
            case IN_PROGRESS -> WAIT_AND_QUERY;
            case NOT_FOUND -> replaySafe || absenceFinal ? RETRY_ORIGINAL_INTENT : RECONCILE_OR_ESCALATE;
            case UNAVAILABLE -> replaySafe ? RETRY_ORIGINAL_INTENT : WAIT_AND_QUERY;
        };
    }
}
