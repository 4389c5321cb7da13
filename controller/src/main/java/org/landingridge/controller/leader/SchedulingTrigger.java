package org.landingridge.controller.leader;

import java.util.function.IntSupplier;
import org.landingridge.net.EventLoop;

/** Runs a scheduling cycle soon after a change; changes in between share one cycle. */
final class SchedulingTrigger {
    private static final long PAUSE_MS = 25;
    /** A cycle visits every machine and job: the pause before it grows by a millisecond for so many of them. */
    private static final int VISITS_PER_MS = 25;

    private final EventLoop loop;
    private final IntSupplier visits;
    private final Runnable cycle;
    private boolean due;
    private boolean closed;

    /** @param visits how many machines and jobs a cycle visits */
    SchedulingTrigger(EventLoop loop, IntSupplier visits, Runnable cycle) {
        this.loop = loop;
        this.visits = visits;
        this.cycle = cycle;
    }

    /** Something has changed that the scheduler should know. */
    void changed() {
        if (due || closed) {
            return;
        }
        due = true;
        loop.after(Math.max(PAUSE_MS, visits.getAsInt() / VISITS_PER_MS), () -> {
            due = false;
            if (!closed) {
                cycle.run();
            }
        });
    }

    /** Ends with the leader term. */
    void close() {
        closed = true;
    }
}
