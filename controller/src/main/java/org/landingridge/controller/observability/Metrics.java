package org.landingridge.controller.observability;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Comparator;
import java.util.Locale;
import java.util.function.LongSupplier;

/** Counters of one controller, served as plain text under {@code /metrics}. */
public final class Metrics {
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    public final Counter reports = counter("reports", "workers' reports received");
    public final Counter malformed = counter("malformed", "messages dropped since they were malformed");
    public final Counter submissions = counter("submissions", "submissions received");
    public final Counter refused = counter("refused", "requests of users answered 503 with a time to come back");
    public final Counter takeovers = counter("takeovers", "times this controller took the lead");
    public final Counter lapses = counter("lapses", "machines whose lease ran out");
    public final Counter lost = counter("lost", "attempts lost with their machine or session");
    public final Counter settled = counter("settled", "silent machines given back to settle what they held");
    public final Counter escalated = counter("escalated", "operations unsettled beyond the query limit");

    public final Counter moved = counter("history.moved", "ended jobs moved into the history");
    public final Counter historyReads = counter("history.reads", "reads of the history from the state service");

    public final ActivityTimer busy;

    public Metrics(LongSupplier nanos) {
        busy = new ActivityTimer(nanos);
        for (ActivityTimer.Part part : ActivityTimer.Part.values()) {
            String name = part.name().toLowerCase(Locale.ROOT);
            FunctionCounter.builder("landingridge.busy.ms." + name, busy, b -> b.milliseconds(part))
                    .description("time of the core's thread on this part")
                    .register(registry);
            FunctionCounter.builder("landingridge.busy.times." + name, busy, b -> b.times(part))
                    .description("how often the core's thread worked on this part")
                    .register(registry);
        }
    }

    private Counter counter(String name, String description) {
        return Counter.builder("landingridge." + name).description(description).register(registry);
    }

    /** One line a counter: its name and its value. */
    public String text() {
        StringBuilder all = new StringBuilder();
        registry.getMeters().stream()
                .sorted(Comparator.comparing((Meter m) -> m.getId().getName()))
                .forEach(m -> m.measure()
                        .forEach(v -> all.append(m.getId().getName().replace('.', '_'))
                                .append(' ')
                                .append(String.format(Locale.ROOT, "%.0f", v.getValue()))
                                .append('\n')));
        return all.toString();
    }
}
