package org.landingridge.net;

/**
 * The one thread that owns the controller's state, with its clock and timers. A controller runs it on the XNIO I/O thread;
 * tests run it on simulated time.
 */
public interface EventLoop {
    /** A pending timer. */
    interface Timer {
        /** Keeps the task from running; nothing happens where it has run already. */
        void cancel();
    }

    /** Milliseconds of the steady clock; only differences mean anything. */
    long now();

    /** Nanoseconds of the steady clock, to measure how long work takes. */
    long nanos();

    /** Milliseconds of the time of day, for people and records only. */
    long timeOfDay();

    /**
     * Runs a task on this loop after a time, and never within this call.
     *
     * @param millis 0 or less for as soon as possible
     */
    Timer after(long millis, Runnable task);
}
