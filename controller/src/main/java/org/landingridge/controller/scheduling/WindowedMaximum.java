package org.landingridge.controller.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;

/** The largest value that was recorded within a window of time. */
public final class WindowedMaximum {
    private record Sample(long at, double value) {}

    /** Falling values: each could still become the largest. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * Records a value.
     *
     * @param now milliseconds; never less than in an earlier call
     * @return the largest value of the last {@code windowMs}, this one among them
     */
    public double record(long now, double value, long windowMs) {
        while (!samples.isEmpty() && samples.peekLast().value <= value) {
            samples.removeLast();
        }
        samples.addLast(new Sample(now, value));
        while (samples.peekFirst().at < now - windowMs) {
            samples.removeFirst();
        }
        return samples.peekFirst().value;
    }
}
