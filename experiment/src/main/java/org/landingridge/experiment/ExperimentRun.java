package org.landingridge.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.landingridge.emulator.GroundTruth;

/** Plays an experiment once, with one seed, and notes what happened. */
final class ExperimentRun {
    /** One second of a run. */
    record Sample(int second, int machines, int running, int live, int requests, int changes) {}

    /**
     * What came out.
     *
     * @param busyMs milliseconds of this machine's processor that all leaders' threads spent, by part
     */
    record Outcome(
            long seed,
            List<String> broken,
            int submitted,
            int done,
            int cancelled,
            int repeats,
            int refused,
            List<Sample> samples,
            List<RecoveryTimeline.Result> recoveries,
            Map<GroundTruth.Order, CommandAudit.Count> orders,
            List<SimulatedCluster.EmittedEvent> events,
            AdmissionDelays.Result admissions,
            List<ServedDemand.Figure> served,
            Map<String, Long> busyMs,
            int requests,
            int mostWrites,
            long leaderKb,
            double tookS) {}

    /** The number of the first job. */
    static final int FIRST_JOB = 100_000;

    private static final int LAST_POLL_S = 15;
    private static final long STEP_MS = 100;
    /** After the last trouble the cluster has so long to calm down before it is judged whether anybody waits beside free room. */
    private static final int CALM_S = 2;

    private final Experiment plan;
    private final SimulatedCluster cluster;
    private final CommandAudit orders;
    private final ServedDemand demand = new ServedDemand();
    private final RunMeasurements measurements;
    private final Workload workload;
    private final FaultInjector faults;
    /** Of all jobs of the run, in the order of their making. */
    private final List<String> ids = new ArrayList<>();

    private ExperimentRun(Experiment plan, long seed) {
        this.plan = plan;
        cluster = new SimulatedCluster(new ClusterSetup(
                seed,
                plan.controllers(),
                plan.machines(),
                Math.round(plan.bootS() * 1000),
                Math.round(plan.reportS() * 1000),
                Math.round(plan.leaseS() * 1000),
                Math.round(plan.cancelS() * 1000),
                plan.teams(),
                plan.state()));
        cluster.sim.measured = true;
        orders = new CommandAudit(
                () -> cluster.sim.now,
                id -> cluster.workers.stream().anyMatch(w -> w.box().id.equals(id) && !w.hangs()),
                cluster.checker.cancelAsked::contains);
        cluster.checker.orders = orders;
        measurements = new RunMeasurements(cluster);
        SplittableRandom random = new SplittableRandom(seed);
        workload = new Workload(plan, cluster, random, demand, ids, FIRST_JOB + plan.ended());
        faults = new FaultInjector(plan, cluster, measurements, random, ids);
    }

    static Outcome once(Experiment plan, long seed) {
        return once(plan, seed, true);
    }

    /** @param weigh what the leader holds in memory is measured too, which takes a while and wants to be alone */
    static Outcome once(Experiment plan, long seed, boolean weigh) {
        return new ExperimentRun(plan, seed).run(seed, weigh);
    }

    /** Users ask for all they have submitted: every job that was accepted must find an answer. */
    private void askForAll() {
        for (int i = 0; i < ids.size(); i++) {
            String id = ids.get(i);
            cluster.at(cluster.sim.now + i * 7_000L / ids.size(), () -> cluster.users.askOnce(id, "poll"));
        }
    }

    private Outcome run(long seed, boolean weigh) {
        long began = System.nanoTime();
        seedHistory();
        startMachines();
        cluster.enforceLimits();
        workload.schedule();
        faults.schedule(seed);
        long lastPollMs = (plan.durationS() - LAST_POLL_S) * 1_000L;
        cluster.at(lastPollMs, this::askForAll);
        advance();
        cluster.checker.unanswered(lastPollMs, ids);
        long leaderKb = weigh ? new LeaderMemory(cluster, measurements).leaderKb() : 0;
        return outcome(seed, leaderKb, began);
    }

    private void seedHistory() {
        if (plan.form() == HistoryBenchmark.Form.SEGMENTS) {
            HistorySeeds.segments(cluster.state, FIRST_JOB, plan.ended());
        } else {
            HistoryBenchmark.seed(cluster.state, plan.form(), plan.ended());
        }
    }

    /** Machines that are up at the start were rented long before, although the lists, which lag, do not name them yet. */
    private void startMachines() {
        cluster.cloud.bootMs = 0;
        for (int i = 0; i < plan.up(); i++) {
            cluster.cloud.rent(i % 2 == 0 ? "a" : "b", false);
        }
        cluster.cloud.bootMs = Math.round(plan.bootS() * 1000);
    }

    /** Lets simulated time pass to the end of the run. */
    private void advance() {
        long end = plan.durationS() * 1000L;
        StarvationCheck starvation = new StarvationCheck(cluster);
        double calmS = plan.meetings().untilS() + plan.cancelS() + CALM_S;
        for (long t = STEP_MS; t <= end; t += STEP_MS) {
            cluster.sim.run(t);
            measurements.watchLeader(t);
            if (t % 1_000 == 0) {
                measurements.sample((int) (t / 1_000));
                if (plan.meetings().count() > 0 && t >= calmS * 1_000) {
                    starvation.look();
                }
            }
        }
    }

    private Outcome outcome(long seed, long leaderKb, long beganNanos) {
        return new Outcome(
                seed,
                List.copyOf(cluster.checker.violations),
                ids.size(),
                (int) cluster.jobCountWithStatus("done"),
                (int) cluster.jobCountWithStatus("cancelled"),
                cluster.checker.repeats,
                cluster.state.tooMany(),
                measurements.samples,
                measurements.recoveries.stream().map(RecoveryTimeline::result).toList(),
                orders.counts(),
                List.copyOf(cluster.events),
                cluster.users.admissions.result(),
                demand.figures(cluster.checker, plan.durationS(), 4.0 * plan.machines() * 2),
                measurements.activity,
                cluster.state.requests(),
                cluster.state.mostWrites(),
                leaderKb,
                (System.nanoTime() - beganNanos) / 1e9);
    }
}
