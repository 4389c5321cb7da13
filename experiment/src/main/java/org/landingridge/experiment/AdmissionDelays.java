package org.landingridge.experiment;

import java.util.HashMap;
import java.util.Map;

/**
 * How long users waited until their submissions were accepted, and what of it nobody could have helped: time in which the
 * state service or every controller was down. Times in simulated milliseconds.
 */
final class AdmissionDelays {
    /** A submission that took longer is noticed. */
    static final long LATE_MS = 1_000;

    /**
     * What came of all submissions.
     *
     * @param late       accepted later than {@link #LATE_MS} after the user first asked
     * @param lateInSpite of these, with state service and a controller up all the time
     * @param closedS    seconds in which nothing could be accepted
     */
    record Result(int accepted, int late, int lateInSpite, double closedS) {}

    /** A submission not yet accepted: since when, and the closed time until then. */
    private record Open(long sinceMs, long closedMs) {}

    private final Map<String, Open> open = new HashMap<>();
    private long closedMs;
    private int accepted;
    private int late;
    private int lateInSpite;

    /** For so long nothing could be accepted. */
    void closed(long ms) {
        closedMs += ms;
    }

    void asked(String id, long nowMs) {
        open.put(id, new Open(nowMs, closedMs));
    }

    /** A second answer for the same job tells nothing new. */
    void accepted(String id, long nowMs) {
        Open o = open.remove(id);
        if (o == null) {
            return;
        }
        accepted++;
        if (nowMs - o.sinceMs > LATE_MS) {
            late++;
            if (closedMs == o.closedMs) {
                lateInSpite++;
            }
        }
    }

    Result result() {
        return new Result(accepted, late, lateInSpite, closedMs / 1000.0);
    }
}
