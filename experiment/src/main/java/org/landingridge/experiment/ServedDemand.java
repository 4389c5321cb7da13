package org.landingridge.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.landingridge.emulator.InvariantChecker;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/**
 * What each class and each team asked for and what it was given, in jobs: an array by the share of its tasks that completed,
 * a service by the share of its replicas that run at the end. Jobs that came too late, were cancelled or carry a mistake do
 * not count. Beside it stands what a plain model could have given: all processors, the whole time, by priority.
 */
final class ServedDemand {
    /** @param ideal the share that the plain model serves, at most 1 */
    record Figure(String name, int asked, double served, double ideal) {
        /** Less than half is served where the plain model serves more. */
        boolean unserved() {
            return served < 0.5 && ideal >= 0.5;
        }
    }

    /** Jobs that came within so much of the end, beside the time that their tasks run, are not judged. */
    private static final double LATE_S = 60;

    private static final class Sum {
        private int asked;
        private double served;
        /** Processor seconds that its jobs ask for. */
        private double work;

        private Priority priority = Priority.LOW;
        private double ideal = 1;
    }

    private record Asked(JobSpec spec, double atS) {}

    /** A job that is judged, with the share of it that was served. */
    private record Judged(Asked asked, double served) {}

    /** One in so many arrays of a class are its largest ones, and the largest of all in any case. */
    private static final int LARGEST = 10;
    /** Within so much the largest ones have to begin. */
    private static final double BEGIN_S = 240;

    private final List<Asked> jobs = new ArrayList<>();

    void asked(JobSpec spec, double atS) {
        jobs.add(new Asked(spec, atS));
    }

    /** @param processors what the cloud has of them at most */
    List<Figure> figures(InvariantChecker rules, double endS, double processors) {
        Map<String, Sum> classes = new TreeMap<>();
        Map<String, Sum> teams = new TreeMap<>();
        Map<String, List<Judged>> arrays = new TreeMap<>();
        for (Asked a : jobs) {
            JobSpec s = a.spec;
            double runs = s.service() ? endS - a.atS : s.estimateS();
            if (rules.cancelAsked.contains(s.id())
                    || rules.mistaken.contains(s.id())
                    || a.atS > endS - LATE_S - (s.service() ? 0 : 2 * s.estimateS())) {
                continue;
            }
            int there = 0;
            for (int t = 0; t < s.tasks(); t++) {
                String task = s.id() + "/" + t;
                there +=
                        (s.service() ? rules.locationByTask.containsKey(task) : rules.completed.contains(task)) ? 1 : 0;
            }
            if (!s.service()) {
                arrays.computeIfAbsent(s.jobClass(), c -> new ArrayList<>())
                        .add(new Judged(a, (double) there / s.tasks()));
            }
            for (Sum sum : List.of(
                    classes.computeIfAbsent(s.jobClass(), c -> new Sum()),
                    teams.computeIfAbsent("team " + s.team(), c -> new Sum()))) {
                sum.asked++;
                sum.served += (double) there / s.tasks();
                sum.work += s.tasks() * s.cpus() * runs;
                sum.priority = s.priority().compareTo(sum.priority) > 0 ? s.priority() : sum.priority;
            }
        }
        double left = processors * endS;
        for (Sum sum : classes.values().stream()
                .sorted(Comparator.comparing((Sum c) -> c.priority).reversed())
                .toList()) {
            sum.ideal = sum.work <= 0 ? 1 : Math.min(1, Math.max(0, left) / sum.work);
            left -= sum.work;
        }
        List<Figure> figures = new ArrayList<>();
        classes.forEach((name, c) -> figures.add(new Figure(name, c.asked, c.served / c.asked, c.ideal)));
        arrays.forEach((name, jobs) -> figures.addAll(largest(name, jobs, rules, classes.get(name).ideal)));
        // A team's ideal is at least that of the work which its classes could be given.
        teams.forEach((name, t) -> figures.add(new Figure(
                name,
                t.asked,
                t.served / t.asked,
                figures.stream()
                        .filter(f -> classes.containsKey(f.name))
                        .mapToDouble(Figure::ideal)
                        .min()
                        .orElse(1))));
        return figures;
    }

    /** How a class's largest jobs were served, and how many of them began in time: streams of small ones may not starve them. */
    private static List<Figure> largest(String jobClass, List<Judged> jobs, InvariantChecker rules, double ideal) {
        List<Judged> largest = jobs.stream()
                .sorted(Comparator.comparingInt((Judged j) -> j.asked.spec.tasks())
                        .reversed())
                .limit(Math.max(1, jobs.size() / LARGEST))
                .toList();
        double served = largest.stream().mapToDouble(Judged::served).average().orElse(1);
        double begun = largest.stream()
                .mapToDouble(j -> rules.firstStart(j.asked.spec.id()) <= (j.asked.atS + BEGIN_S) * 1_000 ? 1 : 0)
                .average()
                .orElse(1);
        return List.of(
                new Figure("largest " + jobClass, largest.size(), served, ideal),
                new Figure(
                        "largest " + jobClass + " begun in " + Math.round(BEGIN_S) + " s",
                        largest.size(),
                        begun,
                        ideal));
    }
}
