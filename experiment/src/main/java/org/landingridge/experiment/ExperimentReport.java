package org.landingridge.experiment;

import io.pebbletemplates.pebble.PebbleEngine;
import io.pebbletemplates.pebble.loader.ClasspathLoader;
import java.awt.Color;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** One HTML page of an experiment: figures in tables, curves as pictures within the page. */
final class ExperimentReport {
    private static final int WIDTH = 720;
    private static final int HEIGHT = 260;
    private static final String TEMPLATE = "org/landingridge/experiment/report.peb";

    private ExperimentReport() {}

    static void write(Path file, Experiment plan, List<ExperimentRun.Outcome> outcomes) throws IOException {
        Map<String, Object> context = new LinkedHashMap<>();
        context.put("plan", plan);
        context.put("outcomes", outcomes.stream().map(ExperimentReport::row).toList());
        context.put(
                "recoveries",
                outcomes.stream()
                        .flatMap(o -> o.recoveries().stream().map(r -> row(o.seed(), r)))
                        .toList());
        context.put(
                "events", outcomes.stream().flatMap(o -> timeline(o).stream()).toList());
        context.put(
                "orders",
                outcomes.stream()
                        .flatMap(o -> o.orders().values().stream()
                                .map(c -> Map.of(
                                        "seed",
                                        o.seed(),
                                        "order",
                                        c.order()
                                                .name()
                                                .toLowerCase(Locale.ROOT)
                                                .replace('_', ' '),
                                        "sum",
                                        c.sum(),
                                        "busiest",
                                        c.busiest(),
                                        "at",
                                        c.busiestAtS(),
                                        "needless",
                                        c.needless())))
                        .toList());
        context.put(
                "served",
                outcomes.stream()
                        .flatMap(o -> o.served().stream()
                                .map(s -> Map.of(
                                        "seed",
                                        o.seed(),
                                        "name",
                                        s.name(),
                                        "asked",
                                        s.asked(),
                                        "served",
                                        String.format(Locale.ROOT, "%.3f", s.served()),
                                        "unserved",
                                        s.unserved())))
                        .toList());
        context.put(
                "broken",
                outcomes.stream()
                        .flatMap(o -> o.broken().stream().map(b -> o.seed() + ": " + b))
                        .toList());
        context.put("busy", busy(plan, outcomes));
        List<Map<String, String>> charts = new ArrayList<>();
        charts.add(chart("Machines up", outcomes, s -> s.machines()));
        charts.add(chart("Tasks running", outcomes, s -> s.running()));
        charts.add(chart("Jobs with a key of their own", outcomes, s -> s.live()));
        charts.add(chart("Requests to the state service, a second", outcomes, s -> s.requests()));
        charts.add(chart("Changes in the state service, a second", outcomes, s -> s.changes()));
        context.put("charts", charts);
        ClasspathLoader loader = new ClasspathLoader(ExperimentReport.class.getClassLoader());
        PebbleEngine engine = new PebbleEngine.Builder()
                .loader(loader)
                .autoEscaping(true)
                .strictVariables(true)
                .defaultLocale(Locale.ROOT)
                .build();
        StringWriter page = new StringWriter();
        engine.getTemplate(TEMPLATE).evaluate(page, context);
        Files.writeString(file, page.toString(), StandardCharsets.UTF_8);
    }

    /** What the controllers told of their recoveries; of events that come by the hundred the first of each second. */
    private static List<Map<String, Object>> timeline(ExperimentRun.Outcome o) {
        List<Map<String, Object>> lines = new ArrayList<>();
        Map<String, Map<String, Object>> bySecond = new LinkedHashMap<>();
        for (SimulatedCluster.EmittedEvent t : o.events()) {
            boolean many = t.event().fields().containsKey("machine");
            String key = many ? t.event().name() + t.host() + t.atMs() / 1_000 : null;
            Map<String, Object> before = key == null ? null : bySecond.get(key);
            if (before != null) {
                before.merge("times", 1, (a, b) -> (int) a + (int) b);
                continue;
            }
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("seed", o.seed());
            line.put("at", decimal(t.atMs() / 1_000.0));
            line.put("host", t.host());
            line.put("event", t.event().name());
            line.put("times", 1);
            line.put(
                    "fields",
                    t.event().fields().entrySet().stream()
                            .map(e -> e.getKey() + " " + e.getValue())
                            .collect(Collectors.joining(", ")));
            lines.add(line);
            if (key != null) {
                bySecond.put(key, line);
            }
        }
        return lines;
    }

    private static Map<String, Object> row(long seed, RecoveryTimeline.Result r) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("seed", seed);
        row.put("at", decimal(r.atS()));
        row.put("led", since(r.ledS()));
        row.put("most", since(r.mostS()));
        row.put("all", since(r.allS()));
        row.put("services", r.services());
        row.put("servicesMost", since(r.servicesMostS()));
        row.put("servicesAll", since(r.servicesAllS()));
        row.put("others", r.others());
        row.put("othersMost", since(r.othersMostS()));
        row.put("othersAll", since(r.othersAllS()));
        return row;
    }

    /** Seconds, or that it never came to that. */
    private static String since(double seconds) {
        return seconds < 0 ? "never" : decimal(seconds);
    }

    private static Map<String, Object> row(ExperimentRun.Outcome o) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("seed", o.seed());
        row.put("broken", o.broken().size());
        row.put("submitted", o.submitted());
        row.put("late", o.admissions().late());
        row.put("lateInSpite", o.admissions().lateInSpite());
        row.put("closedS", decimal(o.admissions().closedS()));
        row.put("done", o.done());
        row.put("cancelled", o.cancelled());
        row.put("repeats", o.repeats());
        row.put("refused", o.refused());
        row.put("requests", o.requests());
        row.put("mostWrites", o.mostWrites());
        row.put("leaderMb", decimal(o.leaderKb() / 1024.0));
        row.put("tookS", decimal(o.tookS()));
        return row;
    }

    /** Milliseconds of the leaders' threads by part, the mean over the seeds, and a second of simulated time. */
    private static List<Map<String, Object>> busy(Experiment plan, List<ExperimentRun.Outcome> outcomes) {
        Map<String, Long> sums = new LinkedHashMap<>();
        outcomes.forEach(o -> o.busyMs().forEach((part, ms) -> sums.merge(part, ms, Long::sum)));
        List<Map<String, Object>> rows = new ArrayList<>();
        sums.forEach((part, ms) -> rows.add(Map.of(
                "part",
                part,
                "ms",
                ms / outcomes.size(),
                "perSecond",
                decimal((double) ms / outcomes.size() / plan.durationS()))));
        return rows;
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static Map<String, String> chart(
            String title, List<ExperimentRun.Outcome> outcomes, ToDoubleFunction<ExperimentRun.Sample> value)
            throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds")
                .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setMarkerSize(0);
        chart.getStyler().setLegendVisible(outcomes.size() > 1);
        chart.getStyler().setYAxisMin(0.0);
        for (ExperimentRun.Outcome o : outcomes) {
            if (!o.samples().isEmpty()) {
                chart.addSeries(
                                "seed " + o.seed(),
                                o.samples().stream()
                                        .mapToDouble(ExperimentRun.Sample::second)
                                        .toArray(),
                                o.samples().stream().mapToDouble(value).toArray())
                        .setMarker(SeriesMarkers.NONE);
            }
        }
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        return Map.of("title", title, "png", Base64.getEncoder().encodeToString(png));
    }
}
