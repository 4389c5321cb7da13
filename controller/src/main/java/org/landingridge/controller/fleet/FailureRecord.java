package org.landingridge.controller.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/** What has failed on one machine since its last success, and until when it gets no tasks for that. */
final class FailureRecord {
    private static final long AVOID_AFTER_ERROR_MS = 5_000;
    private static final int MOST_DOUBLINGS = 5;
    /** A machine that loses starts takes none for so long, and longer each time. */
    private static final long AVOID_AFTER_LOST_START_MS = 10_000;

    private static final int MOST_LOST_STARTS = 6;

    /** Errors of jobs that are not broken. */
    private int errors;
    /** The jobs of these errors. */
    private final Set<String> jobs = new LinkedHashSet<>();
    /** How many of them succeed elsewhere. */
    private int proven;
    /** Sessions in a row that ended with a start nobody knows to have arrived. */
    private int lostStarts;

    private long avoidUntil = Long.MIN_VALUE / 2;

    /** True while the machine gets no tasks. */
    boolean avoided(long now) {
        return now < avoidUntil;
    }

    /** The machine gets no tasks until then. */
    void avoidUntil(long until) {
        avoidUntil = until;
    }

    /** True if the failures since the last success are the machine's own. */
    boolean faulty() {
        return FailureAttribution.faulty(proven, jobs.size());
    }

    /** A job that is not known to be broken has failed here. */
    void failed(String job, boolean succeedsElsewhere, long now) {
        jobs.add(job);
        proven += succeedsElsewhere ? 1 : 0;
        errors++;
        avoidUntil = now + (AVOID_AFTER_ERROR_MS << Math.min(MOST_DOUBLINGS, errors - 1));
    }

    /** The job is broken: its failures here say nothing of the machine. */
    void exonerate(String job, long now) {
        if (jobs.remove(job)) {
            avoidUntil = now;
        }
    }

    /** A job that failed here has succeeded on another machine. */
    void implicate(String job) {
        jobs.add(job);
        proven++;
    }

    /** A task has completed here. */
    void succeeded() {
        jobs.clear();
        proven = 0;
        errors = 0;
    }

    /** A session ended with a start that no heartbeat has shown. */
    void startLost(long now) {
        lostStarts++;
        avoidUntil = now + AVOID_AFTER_LOST_START_MS * Math.min(MOST_LOST_STARTS, lostStarts);
    }

    /** A start has arrived. */
    void startArrived() {
        lostStarts = 0;
    }
}
