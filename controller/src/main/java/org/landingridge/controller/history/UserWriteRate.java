package org.landingridge.controller.history;

import org.landingridge.net.EventLoop;

/** The rate of users' writes, as an exponentially decaying average. */
final class UserWriteRate {
    private static final double WINDOW_S = 2;

    private final EventLoop loop;
    private double count;
    private long updatedAt;

    UserWriteRate(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts the measurement now. */
    void start() {
        updatedAt = loop.now();
    }

    void increment() {
        decay();
        count++;
    }

    /** Returns the rate in writes per second. */
    double perSecond() {
        decay();
        return count / WINDOW_S;
    }

    private void decay() {
        long now = loop.now();
        count *= Math.exp(-(now - updatedAt) / 1000.0 / WINDOW_S);
        updatedAt = now;
    }
}
