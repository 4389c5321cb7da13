package org.landingridge.controller.recovery;

/**
 * What is known of one entry of a heartbeat.
 *
 * @param job   what is stored of its job
 * @param task  what this leader has concluded of its task so far; {@code NONE} where the job has no such task
 * @param entry what the worker reports of the attempt
 */
public record EntryEvidence(StoredJob job, KnownTask task, ReportedAttempt entry) {
    /** What is stored of a job. */
    public enum StoredJob {
        /** It is neither done nor cancelled. */
        ACTIVE,
        /** It ended lately. */
        ENDED,
        /** It ended long ago, or was never accepted. */
        ABSENT
    }

    /** What this leader has concluded of a task. */
    public enum KnownTask {
        /** The job has no such task. */
        NONE,
        /** It is on no machine. */
        PENDING,
        /** It is on a machine, by a later attempt than the one reported. */
        LATER_ATTEMPT,
        /** It is on a machine, by an attempt before the one reported. */
        EARLIER_ATTEMPT,
        /** It has finished, and its result is not stored yet. */
        FINISHED,
        /** Its result is stored. */
        STORED
    }

    /** What a worker reports of an attempt. */
    public enum ReportedAttempt {
        /** It fetches, runs or saves. */
        LIVE,
        /** It ended with a result. */
        COMPLETED,
        /** It ended without one. */
        ENDED
    }
}
