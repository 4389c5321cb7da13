package org.landingridge.controller.observability;

import java.util.Locale;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Time of the core's thread by part of its work: what a deployment's size costs, and where. */
public final class ActivityTimer {
    /** What the thread works on; a part does not count what it calls of another. */
    public enum Part {
        REPORTS,
        CARRIED,
        USERS,
        PASS,
        WRITES,
        MIRROR,
        DISPLAY
    }

    private static final Logger LOG = LoggerFactory.getLogger(ActivityTimer.class);
    private final LongSupplier clock;
    private final long[] nanos = new long[Part.values().length];
    private final long[] times = new long[Part.values().length];
    private final long[] nanosBefore = new long[Part.values().length];
    private final long[] timesBefore = new long[Part.values().length];
    private long inner;

    /** @param clock nanoseconds of the steady clock */
    public ActivityTimer(LongSupplier clock) {
        this.clock = clock;
    }

    public void during(Part part, Runnable work) {
        long outer = inner;
        inner = 0;
        long began = clock.getAsLong();
        try {
            work.run();
        } finally {
            long took = clock.getAsLong() - began;
            nanos[part.ordinal()] += took - inner;
            times[part.ordinal()]++;
            inner = outer + took;
        }
    }

    public double milliseconds(Part part) {
        return nanos[part.ordinal()] / 1e6;
    }

    public long times(Part part) {
        return times[part.ordinal()];
    }

    /** Logs what has been added since the last call. */
    public void log() {
        if (!LOG.isDebugEnabled()) {
            return;
        }
        StringBuilder line = new StringBuilder("busy ms:");
        for (Part p : Part.values()) {
            int i = p.ordinal();
            line.append(' ')
                    .append(p.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append((nanos[i] - nanosBefore[i]) / 1_000_000)
                    .append(" (")
                    .append(times[i] - timesBefore[i])
                    .append(')');
            nanosBefore[i] = nanos[i];
            timesBefore[i] = times[i];
        }
        LOG.debug(line.toString());
    }
}
