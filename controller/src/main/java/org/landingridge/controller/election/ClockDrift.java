package org.landingridge.controller.election;

/** How far the steady clocks of two machines may differ, and what that takes off a right that is counted by both. */
final class ClockDrift {
    /** Steady clocks differ by 0.05 %; a tenth of a percent and {@link #MARGIN_MS} cover both sides. */
    static final double RATE = 0.001;

    private static final long MARGIN_MS = 60;

    private ClockDrift() {}

    /**
     * Until when the holder of a lease or promise may rely on it.
     *
     * @param sentAt     when it was asked for, by the holder's clock
     * @param durationMs how long the granting side keeps to it, by its own clock
     */
    static long safeEnd(long sentAt, long durationMs) {
        return sentAt + (long) (durationMs * (1 - RATE)) - MARGIN_MS;
    }
}
