package org.landingridge.controller.history;

import org.landingridge.net.EventLoop;

/** The rate of users' writes, as an exponentially decaying average. */
final class UserWriteRate {
    private static final double DECAY_TIME_S = 2;

    private final EventLoop loop;
    private double decayedCount;
    private long updatedAt;

    UserWriteRate(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts the measurement now. */
    void start() {
        updatedAt = loop.now();
    }

    void recordWrite() {
        decay();
        decayedCount++;
    }

    /** Returns the rate in writes per second. */
    double perSecond() {
        decay();
        return decayedCount / DECAY_TIME_S;
    }

    private void decay() {
        long now = loop.now();
        decayedCount *= Math.exp(-(now - updatedAt) / 1000.0 / DECAY_TIME_S);
        updatedAt = now;
    }
}
