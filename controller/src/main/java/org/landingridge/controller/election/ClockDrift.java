package org.landingridge.controller.election;

/** Allowance for the drift between the monotonic clocks of two machines that both time the same lease or promise. */
final class ClockDrift {
    /** Share of a duration. Monotonic clocks drift by up to 0.05 %; 0.1 % and {@link #MARGIN_MS} cover both sides. */
    static final double RATE = 0.001;

    private static final long MARGIN_MS = 60;

    private ClockDrift() {}

    /**
     * Returns the time until which the holder of a lease or promise may rely on it, by the holder's clock.
     *
     * @param requestedAt time at which it was requested, by the holder's clock
     * @param durationMs  how long the granting side honours it, by its own clock, in milliseconds
     */
    static long safeEnd(long requestedAt, long durationMs) {
        return requestedAt + (long) (durationMs * (1 - RATE)) - MARGIN_MS;
    }
}
