package org.landingridge.controller.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;

/** The largest value of the last while. */
public final class WindowedMaximum {
    private record Seen(long at, double value) {}

    /** Falling values: each could still become the largest. */
    private final Deque<Seen> seen = new ArrayDeque<>();

    /** Notes a value and gives the largest of the last {@code windowMs}. */
    public double most(long now, double value, long windowMs) {
        while (!seen.isEmpty() && seen.peekLast().value <= value) {
            seen.removeLast();
        }
        seen.addLast(new Seen(now, value));
        while (seen.peekFirst().at < now - windowMs) {
            seen.removeFirst();
        }
        return seen.peekFirst().value;
    }
}
