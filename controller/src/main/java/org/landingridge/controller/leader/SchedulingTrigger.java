package org.landingridge.controller.leader;

import java.util.function.IntSupplier;
import org.landingridge.net.EventLoop;

/** Runs a scheduling cycle shortly after a change. Changes during the pause before a cycle share that cycle. */
final class SchedulingTrigger {
    private static final long MIN_PAUSE_MS = 25;
    /** Machines and jobs per millisecond of pause. A cycle visits all of them, so cycles of large clusters run less often. */
    private static final int VISITS_PER_MS = 25;

    private final EventLoop loop;
    private final IntSupplier visitCount;
    private final Runnable cycle;
    private boolean isCyclePending;
    private boolean closed;

    /**
     * Creates a trigger that runs nothing until a change is reported.
     *
     * @param visitCount supplies the number of machines and jobs that a cycle visits
     */
    SchedulingTrigger(EventLoop loop, IntSupplier visitCount, Runnable cycle) {
        this.loop = loop;
        this.visitCount = visitCount;
        this.cycle = cycle;
    }

    /** Schedules a cycle after a change that affects scheduling, unless one is scheduled already. */
    void requestCycle() {
        if (isCyclePending || closed) {
            return;
        }
        isCyclePending = true;
        loop.after(Math.max(MIN_PAUSE_MS, visitCount.getAsInt() / VISITS_PER_MS), () -> {
            isCyclePending = false;
            if (!closed) {
                cycle.run();
            }
        });
    }

    /** Prevents further cycles, at the end of the leader term. */
    void close() {
        closed = true;
    }
}
