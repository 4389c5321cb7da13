package org.landingridge.controller.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;

/** The largest value recorded within a sliding time window. */
public final class WindowedMaximum {
    private record Sample(long at, double value) {}

    /** Samples with decreasing values: each can still become the maximum once the earlier ones expire. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * Records a value and returns the current maximum.
     *
     * @param now      current time, in milliseconds; must not decrease between calls
     * @param windowMs length of the window, in milliseconds
     * @return the largest value in the window, including this one
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
