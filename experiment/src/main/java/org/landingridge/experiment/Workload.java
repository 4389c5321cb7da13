package org.landingridge.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.landingridge.wire.JobSpec;

/** Submits the jobs of an experiment at their times, and has some of them cancelled. */
final class Workload {
    private final Experiment plan;
    private final SimulatedCluster cluster;
    private final SplittableRandom random;
    private final ServedDemand demand;
    /** Of all jobs of the run, in the order of their making. */
    private final List<String> ids;

    private int number;

    /**
     * @param random shared with the fault injector: the order of its draws makes a run repeatable
     * @param ids takes the ids of all jobs that are made
     * @param firstNumber of the first job's id
     */
    Workload(
            Experiment plan,
            SimulatedCluster cluster,
            SplittableRandom random,
            ServedDemand demand,
            List<String> ids,
            int firstNumber) {
        this.plan = plan;
        this.cluster = cluster;
        this.random = random;
        this.demand = demand;
        this.ids = ids;
        this.number = firstNumber;
    }

    /** Schedules all arrivals and pipelines of the plan. */
    void schedule() {
        plan.arrivals().forEach(this::schedule);
        plan.pipelines().forEach(this::schedule);
    }

    private void schedule(Experiment.Arrivals a) {
        for (int i = 0; i < a.initial(); i++) {
            submit(a, Math.round(a.fromS() * 1_000) + random.nextInt(1_000));
        }
        if (a.perMinute() > 0) {
            double meanMs = 60_000 / a.perMinute();
            for (double t = a.fromS() * 1_000; t < Math.min(a.untilS(), plan.durationS()) * 1000; ) {
                t += -Math.log(1 - random.nextDouble()) * meanMs;
                submit(a, Math.round(t));
            }
        }
    }

    private void schedule(Experiment.Pipelines p) {
        double until = Math.min(p.untilS(), plan.durationS()) * 1_000;
        for (double t = p.fromS() * 1_000; t < until; ) {
            pipeline(p, Math.round(t));
            t += -Math.log(1 - random.nextDouble()) * 60_000 / p.perMinute();
        }
    }

    /** One pipeline; each job is submitted as soon as those that it awaits are accepted. */
    private void pipeline(Experiment.Pipelines p, long atMs) {
        List<List<String>> stages = new ArrayList<>();
        List<String> all = new ArrayList<>();
        for (Experiment.Stage s : p.stages()) {
            List<String> awaited =
                    s.needs().stream().flatMap(n -> stages.get(n).stream()).toList();
            List<String> made = new ArrayList<>();
            int jobs = s.jobsMin() + random.nextInt(s.jobsMax() - s.jobsMin() + 1);
            for (int i = 0; i < jobs; i++) {
                JobSpec spec = stageJob(p.team(), s).awaiting(awaited);
                made.add(spec.id());
                ids.add(spec.id());
                cluster.at(atMs, () -> cluster.users.submitWhenAwaitedAreAccepted(spec));
            }
            stages.add(made);
            all.addAll(made);
        }
        if (random.nextDouble() < p.cancelled()) {
            String called = all.get(random.nextInt(all.size()));
            cluster.at(atMs + random.nextInt(60_000), () -> {
                if (cluster.checker.lastStatusByJob.containsKey(called)) {
                    cluster.users.cancel(called);
                }
            });
        }
    }

    private void submit(Experiment.Arrivals a, long atMs) {
        JobSpec spec = new JobSpec(
                SampleJobs.id(number++),
                a.jobClass(),
                a.team(),
                a.service(),
                a.priority(),
                a.tasksMin() + random.nextInt(a.tasksMax() - a.tasksMin() + 1),
                a.cpus(),
                0,
                a.cpus(),
                "img-" + random.nextInt(4),
                0.3,
                null,
                a.placing() == Experiment.Placing.ZONE_A ? "a" : null,
                a.placing() == Experiment.Placing.ONE_ZONE,
                a.placing() == Experiment.Placing.SCATTER,
                !a.service(),
                a.service() ? 0 : a.runS() * (0.5 + random.nextDouble()),
                a.checkpointS(),
                0,
                null);
        if (a.mistaken() > 0 && random.nextDouble() < a.mistaken()) {
            cluster.checker.mistaken.add(spec.id());
        }
        if (a.cancelled() > 0 && random.nextDouble() < a.cancelled()) {
            cluster.at(atMs + 5_000 + random.nextInt(60_000), () -> cluster.users.cancel(spec.id()));
        }
        ids.add(spec.id());
        demand.asked(spec, atMs / 1_000.0);
        cluster.at(atMs, () -> cluster.users.submit(spec));
    }

    /** One job of a stage, which awaits none yet. */
    private JobSpec stageJob(String team, Experiment.Stage stage) {
        return new JobSpec(
                SampleJobs.id(number++),
                stage.jobClass(),
                team,
                false,
                stage.priority(),
                stage.tasksMin() + random.nextInt(stage.tasksMax() - stage.tasksMin() + 1),
                stage.cpus(),
                0,
                stage.cpus(),
                "img-" + random.nextInt(4),
                0.3,
                null,
                null,
                false,
                false,
                true,
                stage.runS() * (0.5 + random.nextDouble()),
                0,
                0,
                null);
    }
}
