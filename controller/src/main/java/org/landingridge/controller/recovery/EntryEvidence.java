package org.landingridge.controller.recovery;

/**
 * What is known of one entry of a worker's report.
 *
 * @param job   what is stored of its job
 * @param task  what this leader has concluded of its task so far; {@code NONE} where the job has no such task
 * @param entry what the worker says of the attempt
 */
public record EntryEvidence(Stored job, Known task, Said entry) {
    /** ABSENT: neither live nor kept as ended: an ended job of long ago, or none that was ever accepted. */
    public enum Stored {
        LIVE,
        OVER,
        ABSENT
    }

    /**
     * PENDING: on no machine. ELSEWHERE: on one, by a later attempt than this. EARLIER: on one, by an attempt before this.
     * FINISHED: not stored yet. DONE: stored.
     */
    public enum Known {
        NONE,
        PENDING,
        ELSEWHERE,
        EARLIER,
        FINISHED,
        DONE
    }

    /** ON: fetching, running or saving. DONE: ended with a result. ENDED: ended without one. */
    public enum Said {
        ON,
        DONE,
        ENDED
    }
}
