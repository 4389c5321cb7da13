package org.landingridge.controller.cloud;

/** The next action on an operation, given its last observed outcome. */
public enum NextAction {
    /** The operation took effect. */
    RECORD_SUCCESS,
    /** The operation did not take effect and never will. */
    RECORD_FAILURE,
    /** The operation may still take effect: query it later, and do not send it again. */
    WAIT_AND_QUERY,
    /** Send the same request again, with the same idempotency key. */
    RETRY_ORIGINAL_INTENT,
    /** No automatic retry is safe: compare with the actual state, or escalate to an operator. */
    RECONCILE_OR_ESCALATE;

    /** The result of a call or a lookup. */
    public enum Observation {
        /** The operation took effect. */
        SUCCEEDED,
        /** The operation was rejected permanently. */
        FAILED_TERMINAL,
        /** The operation is being carried out. */
        IN_PROGRESS,
        /** The lookup found no such operation. */
        NOT_FOUND,
        /** There was no response, or one that says nothing about the operation. */
        UNAVAILABLE
    }

    /**
     * Returns the next action. The decision depends only on the arguments.
     *
     * @param replaySafe   true if the receiver deduplicates requests by this idempotency key
     * @param absenceFinal true if the lookup proves that the original attempt can no longer take effect
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
