package org.landingridge.experiment;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.settings.InvalidSettingsException;
import org.landingridge.wire.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays an experiment with each of its seeds, and writes a report. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Play the real core among stand-ins in simulated time, check every rule, write a report.",
        footer = {
            "",
            "Exit codes: 0 no rule broken and everything served, 1 a rule was broken or less than half of a class served, 2 bad usage or file."
        })
public final class ExperimentCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the experiment (TOML)")
    private Path file;

    @Option(names = "--report", paramLabel = "FILE", description = "where the report goes (HTML)")
    private Path report;

    @Option(
            names = "--events",
            paramLabel = "FILE",
            description = "where the controllers' events go, one JSON object a line")
    private Path events;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            description =
                    "instead of the file's seeds all of these, on all cores; only what was broken or unserved is told")
    private String seeds;

    @Override
    public Integer call() throws Exception {
        Experiment plan;
        try {
            plan = Experiment.read(file);
        } catch (InvalidSettingsException e) {
            System.err.println("landingridge: " + e.getMessage());
            return 2;
        }
        if (seeds != null) {
            return search(plan);
        }
        List<ExperimentRun.Outcome> outcomes = new ArrayList<>();
        for (long seed : plan.seeds()) {
            ExperimentRun.Outcome o = ExperimentRun.once(plan, seed);
            outcomes.add(o);
            System.out.printf(
                    "seed %d: %d rules broken, %d of %d jobs done, %d cancelled, %d tasks run again, leader %.1f MB,"
                            + " played in %.1f s%n",
                    seed,
                    o.broken().size(),
                    o.done(),
                    o.submitted(),
                    o.cancelled(),
                    o.repeats(),
                    o.leaderKb() / 1024.0,
                    o.tookS());
            o.broken().stream().limit(10).forEach(b -> System.out.println("  " + b));
            o.recoveries()
                    .forEach(r -> System.out.printf(
                            "  leader lost at %.1f s: led after %.1f s, 95%% of machines known"
                                    + " after %.1f s, all after %.1f s; %d services lost, 95%% run again after %.1f s, all after %.1f s;"
                                    + " %d others, %.1f s and %.1f s%n",
                            r.atS(),
                            r.ledS(),
                            r.mostS(),
                            r.allS(),
                            r.services(),
                            r.servicesMostS(),
                            r.servicesAllS(),
                            r.others(),
                            r.othersMostS(),
                            r.othersAllS()));
            o.orders()
                    .values()
                    .forEach(c -> System.out.printf(
                            "  %-9s %6d, most in a second %5d (at %d s), needless %d%n",
                            c.order(), c.sum(), c.busiest(), c.busiestAtS(), c.needless()));
            System.out.printf(
                    "  %d submissions accepted, %d later than a second, %d of these with everything up; %.1f s"
                            + " without state service or controllers%n",
                    o.admissions().accepted(),
                    o.admissions().late(),
                    o.admissions().lateInSpite(),
                    o.admissions().closedS());
            o.served()
                    .forEach(s -> System.out.printf(
                            "  %s %s: %d jobs asked, %.3f served%n",
                            s.unserved() ? "UNSERVED" : "served", s.name(), s.asked(), s.served()));
            System.out.println("  leaders' threads, ms: " + o.busyMs());
        }
        if (events != null) {
            List<String> lines = new ArrayList<>();
            outcomes.forEach(o -> o.events()
                    .forEach(t -> lines.add(Json.text(Json.object()
                            .put("seed", o.seed())
                            .put("worldMs", t.atMs())
                            .put("host", t.host())
                            .set("event", Json.parse(EventLog.json(t.event()).getBytes(StandardCharsets.UTF_8)))))));
            Files.write(events, lines, StandardCharsets.UTF_8);
        }
        if (report != null) {
            ExperimentReport.write(report, plan, outcomes);
            System.out.println("report: " + report);
        }
        return outcomes.stream()
                        .allMatch(o ->
                                o.broken().isEmpty() && o.served().stream().noneMatch(ServedDemand.Figure::unserved))
                ? 0
                : 1;
    }

    /** Plays many seeds and tells of those that broke a rule or left a class unserved. */
    private int search(Experiment plan) {
        String[] ends = seeds.split("\\.\\.");
        long first;
        long last;
        try {
            first = Long.parseLong(ends[0]);
            last = Long.parseLong(ends[ends.length - 1]);
        } catch (NumberFormatException e) {
            System.err.println("landingridge: --seeds: expected A..B, two whole numbers, got " + seeds);
            return 2;
        }
        long began = System.nanoTime();
        int bad = LongStream.rangeClosed(first, last)
                .parallel()
                .mapToInt(seed -> {
                    ExperimentRun.Outcome o = ExperimentRun.once(plan, seed, false);
                    List<String> wrong =
                            new ArrayList<>(o.broken().stream().limit(5).toList());
                    o.served().stream().filter(ServedDemand.Figure::unserved).forEach(f -> wrong.add("unserved: " + f));
                    if (!wrong.isEmpty()) {
                        System.out.println("seed " + seed + ": " + wrong
                                + RandomFaults.draw(plan, seed).stream()
                                        .sorted(Comparator.comparingDouble(Experiment.Fault::atS))
                                        .map(f -> String.format(
                                                "%n  at %.1f s %s for %.1f s (%d, %.2f)",
                                                f.atS(), f.kind(), f.forS(), f.count(), f.share()))
                                        .collect(Collectors.joining()));
                    }
                    return wrong.isEmpty() ? 0 : 1;
                })
                .sum();
        System.out.printf(
                "%d seeds, %d with a rule broken or a class unserved, in %.1f s%n",
                last - first + 1, bad, (System.nanoTime() - began) / 1e9);
        return bad == 0 ? 0 : 1;
    }
}
