package org.landingridge.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.Priority;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Plays the real core at several sizes along one axis at a time, in simulated time, fits a straight line through what each cost, and
 * holds it against a size that was left out of the fit.
 */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measure what each size costs the leader and the state service, along one axis at a time.")
public final class CapacityCommand implements Callable<Integer> {
    private static final int DURATION_S = 90;
    private static final int TASKS_A_JOB = 20;
    private static final double CPUS_A_WORKER = 4;

    @Option(names = "--seed", defaultValue = "1", description = "of all plays")
    private long seed;

    @Option(
            names = "--scale",
            defaultValue = "1",
            description = "all numbers of workers, starts and ended jobs are divided by it")
    private int scale;

    /** A size to be played. */
    record Size(int workers, int tasksAWorker, int startsAS, int ended, int teams, int controllers) {
        double runS() {
            return (double) workers * tasksAWorker / startsAS;
        }
    }

    /** What grows alone; the last value is held out of the fit. */
    enum Axis {
        WORKERS(400, 800, 1_600, 2_400, 3_300) {
            @Override
            Size at(int value) {
                return new Size(value, 2, 40, 0, 10, 3);
            }
        },
        TASKS_A_WORKER(1, 2, 4, 8, 16) {
            @Override
            Size at(int value) {
                return new Size(400, value, 40, 0, 10, 3);
            }
        },
        STARTS_A_SECOND(20, 40, 80, 160, 240) {
            @Override
            Size at(int value) {
                return new Size(800, 4, value, 0, 10, 3);
            }
        },
        ENDED_JOBS(0, 20_000, 40_000, 80_000, 120_000) {
            @Override
            Size at(int value) {
                return new Size(400, 2, 40, value, 10, 3);
            }
        },
        TEAMS(2, 20, 60, 100, 140) {
            @Override
            Size at(int value) {
                return new Size(400, 2, 40, 0, value, 3);
            }
        },
        CONTROLLERS(3, 4, 5, 7, 9) {
            @Override
            Size at(int value) {
                return new Size(400, 2, 40, 0, 10, value);
            }
        };

        private final int[] values;

        Axis(int... values) {
            this.values = values;
        }

        abstract Size at(int value);
    }

    /** What a play cost. */
    enum Figure {
        LEADER_MS(
                "leader's processor, ms a second",
                o -> o.busyMs().values().stream().mapToLong(Long::longValue).sum() / (double) DURATION_S),
        LEADER_MB("leader's heap, MB", o -> o.leaderKb() / 1024.0),
        REQUESTS("state service, requests a second", o -> o.requests() / (double) DURATION_S),
        MOST_CHANGES("state service, changes in the busiest second", ExperimentRun.Outcome::mostWrites);

        private final String title;
        private final ToDoubleFunction<ExperimentRun.Outcome> of;

        Figure(String title, ToDoubleFunction<ExperimentRun.Outcome> of) {
            this.title = title;
            this.of = of;
        }
    }

    @Override
    public Integer call() {
        int broken = 0;
        for (Axis axis : Axis.values()) {
            ExperimentRun.Outcome[] outcomes = new ExperimentRun.Outcome[axis.values.length];
            for (int i = 0; i < outcomes.length; i++) {
                outcomes[i] = ExperimentRun.once(plan(axis, axis.values[i]), seed);
                broken += outcomes[i].broken().size();
            }
            print(System.out, axis, outcomes);
        }
        System.out.println(broken + " rules broken");
        return broken == 0 ? 0 : 1;
    }

    /** What is played at one size. */
    Experiment plan(Axis axis, int value) {
        Size size = axis.at(value);
        int workers = Math.max(10, size.workers / scale);
        int starts = Math.max(1, size.startsAS / scale);
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        List<Experiment.Arrivals> arrivals = new ArrayList<>();
        double jobsAMinute = 60.0 * starts / TASKS_A_JOB / size.teams;
        for (int i = 0; i < size.teams; i++) {
            String team = "team-" + i;
            teams.put(team, new Settings.Team(team, workers * CPUS_A_WORKER / size.teams, 0, 0, 0));
            arrivals.add(new Experiment.Arrivals(
                    "batch",
                    team,
                    false,
                    TASKS_A_JOB,
                    TASKS_A_JOB,
                    CPUS_A_WORKER / size.tasksAWorker,
                    size.runS(),
                    jobsAMinute,
                    0,
                    2,
                    DURATION_S,
                    Priority.NORMAL,
                    0,
                    0,
                    0,
                    Experiment.Placing.ANYWHERE));
        }
        Settings.State state = new Settings.State(500, 40, 4, 8);
        return new Experiment(
                axis + " " + value,
                List.of(seed),
                DURATION_S,
                size.controllers,
                workers,
                workers,
                25,
                5,
                26.5,
                45,
                state,
                state,
                size.ended / scale,
                HistoryBenchmark.Form.SEGMENTS,
                teams,
                arrivals,
                List.of(),
                List.of(),
                new Experiment.Meetings(0, 0, 0, List.of()));
    }

    private void print(PrintStream out, Axis axis, ExperimentRun.Outcome[] outcomes) {
        out.println("\n### " + axis.name().toLowerCase(Locale.ROOT).replace('_', ' ') + "\n");
        out.print("| figure |");
        for (int value : axis.values) {
            out.print(" " + value + " |");
        }
        out.println(" intercept | slope | largest residual | predicted for the last |");
        out.println("| --- |" + " --- |".repeat(axis.values.length + 4));
        for (Figure figure : Figure.values()) {
            double[] measured = IntStream.range(0, outcomes.length)
                    .mapToDouble(i -> figure.of.applyAsDouble(outcomes[i]))
                    .toArray();
            row(out, figure.title, axis.values, measured);
        }
        TreeSet<String> parts = new TreeSet<>();
        for (ExperimentRun.Outcome o : outcomes) {
            parts.addAll(o.busyMs().keySet());
        }
        for (String part : parts) {
            double[] measured = new double[outcomes.length];
            for (int i = 0; i < measured.length; i++) {
                measured[i] = outcomes[i].busyMs().getOrDefault(part, 0L) / (double) DURATION_S;
            }
            row(out, "of these ms: " + part, axis.values, measured);
        }
    }

    private static void row(PrintStream out, String title, int[] values, double[] measured) {
        Line line = Line.through(values, measured, values.length - 1);
        out.print("| " + title + " |");
        for (double m : measured) {
            out.printf(Locale.ROOT, " %.2f |", m);
        }
        int last = values.length - 1;
        double predicted = line.at(values[last]);
        String error = measured[last] == 0
                ? "-"
                : String.format(Locale.ROOT, "%+.0f%%", 100 * (predicted / measured[last] - 1));
        out.printf(
                Locale.ROOT,
                " %.2f | %.3g | %.2f | %.2f (%s) |%n",
                line.intercept,
                line.slope,
                line.largestResidual(values, measured, last),
                predicted,
                error);
    }

    /** A straight line by least squares. */
    record Line(double intercept, double slope) {
        /** @param count so many of the first points count */
        static Line through(int[] x, double[] y, int count) {
            double meanX =
                    IntStream.range(0, count).mapToDouble(i -> x[i]).average().orElse(0);
            double meanY =
                    IntStream.range(0, count).mapToDouble(i -> y[i]).average().orElse(0);
            double covariance = 0;
            double variance = 0;
            for (int i = 0; i < count; i++) {
                covariance += (x[i] - meanX) * (y[i] - meanY);
                variance += (x[i] - meanX) * (x[i] - meanX);
            }
            double slope = variance == 0 ? 0 : covariance / variance;
            return new Line(meanY - slope * meanX, slope);
        }

        double at(double x) {
            return intercept + slope * x;
        }

        double largestResidual(int[] x, double[] y, int count) {
            return IntStream.range(0, count)
                    .mapToDouble(i -> Math.abs(y[i] - at(x[i])))
                    .max()
                    .orElse(0);
        }
    }
}
