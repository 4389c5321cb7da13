package org.landingridge.controller.cloud;

/** What to do next about an operation, given what was last observed of it. */
public enum NextAction {
    /** The operation took effect. */
    RECORD_SUCCESS,
    /** It did not, and never will. */
    RECORD_FAILURE,
    /** It may still take effect: ask later, and do not send it again. */
    WAIT_AND_QUERY,
    /** Send the same request again, under the same key. */
    RETRY_ORIGINAL_INTENT,
    /** Nothing safe can be done automatically but to compare with what is there, or to call a person. */
    RECONCILE_OR_ESCALATE;

    /** What a call or a lookup showed. */
    public enum Observation {
        /** The operation took effect. */
        SUCCEEDED,
        /** It was refused for good. */
        FAILED_TERMINAL,
        /** It is being carried out. */
        IN_PROGRESS,
        /** A lookup does not know it. */
        NOT_FOUND,
        /** There is no answer, or one that says nothing about the operation. */
        UNAVAILABLE
    }

    /**
     * Decides; it has no state of its own.
     *
     * @param replaySafe   the destination deduplicates this very key
     * @param absenceFinal the lookup proves that the original attempt can no longer take effect
     */
    public static NextAction decide(Observation observation, boolean replaySafe, boolean absenceFinal) {
        return switch (observation) {
            case SUCCEEDED -> RECORD_SUCCESS;
            case FAILED_TERMINAL -> RECORD_FAILURE;
            case IN_PROGRESS -> WAIT_AND_QUERY;
            case NOT_FOUND -> replaySafe || absenceFinal ? RETRY_ORIGINAL_INTENT : RECONCILE_OR_ESCALATE;
            case UNAVAILABLE -> replaySafe ? RETRY_ORIGINAL_INTENT : WAIT_AND_QUERY;
        };
    }
}
