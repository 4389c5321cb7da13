package org.landingridge.controller.history;

import org.landingridge.net.EventLoop;

/** The rate of changes by users, averaged with exponential decay. */
final class UserWriteRate {
    private static final double WINDOW_S = 2;

    private final EventLoop loop;
    private double count;
    private long updatedAt;

    UserWriteRate(EventLoop loop) {
        this.loop = loop;
    }

    void start() {
        updatedAt = loop.now();
    }

    void increment() {
        decay();
        count++;
    }

    /** Changes a second. */
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
