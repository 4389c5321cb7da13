package org.landingridge.controller.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Failures on one machine since its last success, and the time until which it gets no tasks because of them. Times are those of
 * the event loop, in milliseconds.
 */
final class FailureRecord {
    /** How long a machine gets no tasks after the first error; each further error doubles it. */
    private static final long AVOID_AFTER_ERROR_MS = 5_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** How long a machine gets no tasks after a lost start, multiplied by the number of lost starts in a row. */
    private static final long AVOID_AFTER_LOST_START_MS = 10_000;

    /** Upper bound of that multiplier. */
    private static final int MAX_LOST_START_MULTIPLIER = 6;

    /** Number of errors, without those of jobs that were broken already. */
    private int errorCount;
    /** Identifiers of the jobs that failed here, or that failed here before and succeeded elsewhere. */
    private final Set<String> failedJobIds = new LinkedHashSet<>();
    /** Number of failures of jobs that succeed elsewhere. */
    private int provenFailures;
    /** Number of sessions in a row that ended with a start of which no heartbeat showed the arrival. */
    private int consecutiveLostStarts;

    private long avoidUntil = Long.MIN_VALUE / 2;

    /** Returns whether the machine gets no tasks at present. */
    boolean isAvoided(long now) {
        return now < avoidUntil;
    }

    /** Gives the machine no tasks until a time. */
    void avoidUntil(long until) {
        avoidUntil = until;
    }

    /** Returns whether the failures since the last success are attributed to the machine. */
    boolean isFaulty() {
        return FailureAttribution.isFaulty(provenFailures, failedJobIds.size());
    }

    /** Records the failure of a job that does not count as broken. */
    void recordFailure(String jobId, boolean succeedsElsewhere, long now) {
        failedJobIds.add(jobId);
        provenFailures += succeedsElsewhere ? 1 : 0;
        errorCount++;
        avoidUntil = now + (AVOID_AFTER_ERROR_MS << Math.min(MAX_BACKOFF_DOUBLINGS, errorCount - 1));
    }

    /** Removes a job that counts as broken: its failures are no evidence against the machine, which may get tasks again. */
    void removeBrokenJob(String jobId, long now) {
        if (failedJobIds.remove(jobId)) {
            avoidUntil = now;
        }
    }

    /** Records that a job that failed here has succeeded on another machine. */
    void recordSuccessElsewhere(String jobId) {
        failedJobIds.add(jobId);
        provenFailures++;
    }

    /** Records that a task completed here, which clears the failures. */
    void recordSuccess() {
        failedJobIds.clear();
        provenFailures = 0;
        errorCount = 0;
    }

    /** Records that a session ended with a start that no heartbeat has shown. */
    void recordLostStart(long now) {
        consecutiveLostStarts++;
        avoidUntil = now + AVOID_AFTER_LOST_START_MS * Math.min(MAX_LOST_START_MULTIPLIER, consecutiveLostStarts);
    }

    /** Records that a start has arrived. */
    void recordArrivedStart() {
        consecutiveLostStarts = 0;
    }
}
