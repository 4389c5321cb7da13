package org.landingridge.controller.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;

/** The largest value recorded within a sliding time window. */
public final class WindowedMaximum {
    private record Sample(long atMs, double value) {}

    /** Samples with decreasing values: each can still become the maximum once the earlier ones expire. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * Records a value and returns the current maximum.
     *
     * @param nowMs    current time, in milliseconds; must not decrease between calls
     * @param windowMs length of the window, in milliseconds
     * @return the largest value in the window, including this one
     */
    public double record(long nowMs, double value, long windowMs) {
        while (!samples.isEmpty() && samples.peekLast().value <= value) {
            samples.removeLast();
        }
        samples.addLast(new Sample(nowMs, value));
        while (samples.peekFirst().atMs < nowMs - windowMs) {
            samples.removeFirst();
        }
        return samples.peekFirst().value;
    }
}
