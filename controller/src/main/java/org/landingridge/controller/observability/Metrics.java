package org.landingridge.controller.observability;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Measurement;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Comparator;
import java.util.Locale;
import java.util.function.LongSupplier;

/** Counters of one controller, served as plain text under {@code /metrics}. */
public final class Metrics {
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    /** Heartbeats received. */
    public final Counter reports = counter("reports", "workers' reports received");
    /** Messages dropped since they were malformed. */
    public final Counter malformed = counter("malformed", "messages dropped since they were malformed");
    /** Submissions received. */
    public final Counter submissions = counter("submissions", "submissions received");
    /** Requests of users that admission control refused. */
    public final Counter refused = counter("refused", "requests of users answered 503 with a time to come back");
    /** Leader terms of this controller. */
    public final Counter takeovers = counter("takeovers", "times this controller took the lead");
    /** Lease expiries of machines. */
    public final Counter lapses = counter("lapses", "machines whose lease ran out");
    /** Attempts that ended with their machine or session. */
    public final Counter lost = counter("lost", "attempts lost with their machine or session");
    /** Machines without heartbeats that were returned, so that their tasks may start elsewhere. */
    public final Counter settled = counter("settled", "silent machines given back to settle what they held");
    /** Replies to calls that arrived after their machine had been returned. */
    public final Counter lateReplies =
            counter("late.replies", "replies to calls that arrived after their machine was given back");
    /** Operations of unknown outcome beyond the query limit. */
    public final Counter escalated = counter("escalated", "operations unsettled beyond the query limit");
    /** Ended jobs that this controller moved into the history. */
    public final Counter moved = counter("history.moved", "ended jobs moved into the history");
    /** Reads of the history. */
    public final Counter historyReads = counter("history.reads", "reads of the history from the state service");
    /** Processor time by activity. */
    public final ActivityTimer busy;

    /**
     * All counters at 0.
     *
     * @param nanos nanoseconds of the steady clock
     */
    public Metrics(LongSupplier nanos) {
        busy = new ActivityTimer(nanos);
        for (ActivityTimer.Part part : ActivityTimer.Part.values()) {
            register(part);
        }
    }

    private void register(ActivityTimer.Part part) {
        FunctionCounter.builder("landingridge.busy.ms." + part.metricName(), busy, timer -> timer.milliseconds(part))
                .description("time of the core's thread on this part")
                .register(registry);
        FunctionCounter.builder("landingridge.busy.times." + part.metricName(), busy, timer -> timer.times(part))
                .description("how often the core's thread worked on this part")
                .register(registry);
    }

    private Counter counter(String name, String description) {
        return Counter.builder("landingridge." + name).description(description).register(registry);
    }

    /** One line a counter: its name and its value. */
    public String text() {
        StringBuilder text = new StringBuilder();
        registry.getMeters().stream()
                .sorted(Comparator.comparing((Meter meter) -> meter.getId().getName()))
                .forEach(meter -> append(meter, text));
        return text.toString();
    }

    private static void append(Meter meter, StringBuilder text) {
        String name = meter.getId().getName().replace('.', '_');
        for (Measurement measurement : meter.measure()) {
            text.append(name).append(' ');
            text.append(String.format(Locale.ROOT, "%.0f", measurement.getValue()))
                    .append('\n');
        }
    }
}
