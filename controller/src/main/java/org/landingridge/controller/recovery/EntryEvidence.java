package org.landingridge.controller.recovery;

/**
 * The evidence about one entry of a heartbeat.
 *
 * @param job   the stored state of its job
 * @param task  what this leader knows about its task; {@code NONE} if the job has no such task
 * @param entry the state of the attempt that the worker reports
 */
public record EntryEvidence(StoredJob job, KnownTask task, ReportedAttempt entry) {
    /** The stored state of a job. */
    public enum StoredJob {
        /** The job is neither done nor cancelled. */
        ACTIVE,
        /** The job ended recently. */
        ENDED,
        /** The job ended long ago or was never accepted. */
        ABSENT
    }

    /** What this leader knows about a task. */
    public enum KnownTask {
        /** The job has no such task. */
        NONE,
        /** The task is on no machine. */
        PENDING,
        /** A later attempt than the reported one is on a machine. */
        LATER_ATTEMPT,
        /** An earlier attempt than the reported one is on a machine. */
        EARLIER_ATTEMPT,
        /** The task has finished, and its result is not stored yet. */
        FINISHED,
        /** The result of the task is stored. */
        STORED
    }

    /** The state of an attempt that a worker reports. */
    public enum ReportedAttempt {
        /** The attempt is fetching its image, running or saving. */
        LIVE,
        /** The attempt ended with a result. */
        COMPLETED,
        /** The attempt ended without a result. */
        ENDED
    }
}
