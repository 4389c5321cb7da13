package org.landingridge.net;

/**
 * The one thread that owns the core, with its clock and timers. The product runs it on the XNIO I/O thread; tests
 * run it on simulated time.
 */
public interface EventLoop {
    /** A pending timer. */
    interface Timer {
        void cancel();
    }

    /** Milliseconds of the steady clock; only differences mean anything. */
    long now();

    /** Nanoseconds of the steady clock, to measure how long work takes. */
    long nanos();

    /** Milliseconds of the time of day, for people and records only. */
    long timeOfDay();

    Timer after(long millis, Runnable task);
}
