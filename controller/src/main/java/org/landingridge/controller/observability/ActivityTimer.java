package org.landingridge.controller.observability;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Time of the event loop's thread by activity: what a deployment's size costs, and where. */
public final class ActivityTimer {
    /** What the thread works on; an activity does not count what it calls of another. */
    public enum Part {
        /** Heartbeats that workers send to this controller. */
        HEARTBEATS("reports"),
        /** Heartbeats that other controllers forward. */
        FORWARDED_HEARTBEATS("carried"),
        /** Requests of users. */
        API("users"),
        /** Scheduling cycles. */
        SCHEDULING("pass"),
        /** Group commits to the state service. */
        WRITES("writes"),
        /** Changes that the watch brings. */
        WATCH("mirror"),
        /** What is shown of running tasks, and announced to the other controllers. */
        STATUS("display");

        private final String metricName;

        Part(String metricName) {
            this.metricName = metricName;
        }

        /** The name in metrics, in logs and in reports of experiments. */
        public String metricName() {
            return metricName;
        }
    }

    private static final class Total {
        private long nanos;
        private long times;
        private long loggedNanos;
        private long loggedTimes;
    }

    private static final Logger LOG = LoggerFactory.getLogger(ActivityTimer.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private final LongSupplier clock;
    private final Map<Part, Total> totals = new EnumMap<>(Part.class);
    /** What activities within the current one took. */
    private long innerNanos;

    /**
     * A timer that has measured nothing yet.
     *
     * @param clock nanoseconds of the steady clock
     */
    public ActivityTimer(LongSupplier clock) {
        this.clock = clock;
        for (Part part : Part.values()) {
            totals.put(part, new Total());
        }
    }

    /** Runs work and counts its time, without that of other activities within it. */
    public void during(Part part, Runnable work) {
        long outerNanos = innerNanos;
        innerNanos = 0;
        long began = clock.getAsLong();
        try {
            work.run();
        } finally {
            long took = clock.getAsLong() - began;
            Total total = totals.get(part);
            total.nanos += took - innerNanos;
            total.times++;
            innerNanos = outerNanos + took;
        }
    }

    /** Milliseconds that the thread spent on it, since the start. */
    public double milliseconds(Part part) {
        return totals.get(part).nanos / (double) NANOS_PER_MILLI;
    }

    /** How often the thread worked on it, since the start. */
    public long times(Part part) {
        return totals.get(part).times;
    }

    /** Logs what has been added since the last call; only where debug lines are logged. */
    public void log() {
        if (!LOG.isDebugEnabled()) {
            return;
        }
        StringBuilder line = new StringBuilder("busy ms:");
        totals.forEach((part, total) -> {
            line.append(' ')
                    .append(part.metricName)
                    .append(' ')
                    .append((total.nanos - total.loggedNanos) / NANOS_PER_MILLI)
                    .append(" (")
                    .append(total.times - total.loggedTimes)
                    .append(')');
            total.loggedNanos = total.nanos;
            total.loggedTimes = total.times;
        });
        LOG.debug(line.toString());
    }
}
