package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.landingridge.controller.store.Keys;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.GroundTruth;
import org.landingridge.wire.JobSpec;

/** Plays an experiment once, with one seed, and notes what happened. */
final class ExperimentRun {
    /** One second of a play. */
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
            List<SimulatedCluster.Told> events,
            AdmissionDelays.Result admissions,
            List<ServedDemand.Figure> served,
            Map<String, Long> busyMs,
            int requests,
            int mostWrites,
            long leaderKb,
            double tookS) {}

    private static final int FIRST = 100_000;
    private static final int LAST_POLL_S = 15;
    /** After the last trouble the world has so long to calm down before it is judged whether anybody waits beside free room. */
    private static final int CALM_S = 2;

    private static final int HAND_OVER_EVERY_MS = 4_500;
    private static final int UPGRADE_EVERY_MS = 10_000;
    private final Experiment plan;
    private final SimulatedCluster world;
    private final SplittableRandom random;
    private final List<Sample> samples = new ArrayList<>();
    private final List<RecoveryTimeline> recoveries = new ArrayList<>();
    private final CommandAudit orders;
    private final ServedDemand served = new ServedDemand();
    private final Map<String, Long> busy = new TreeMap<>();
    /** By process: what its thread has spent. */
    private final Map<Object, Map<String, Long>> busyOf = new LinkedHashMap<>();
    /** Of all jobs of the play, in the order of their making. */
    private final List<String> ids = new ArrayList<>();

    private int number;
    private int submitted;
    private int requestsBefore;

    private ExperimentRun(Experiment plan, long seed) {
        this.plan = plan;
        this.random = new SplittableRandom(seed);
        world = new SimulatedCluster(new SimulatedCluster.Setup(
                seed,
                plan.controllers(),
                plan.machines(),
                Math.round(plan.bootS() * 1000),
                Math.round(plan.reportS() * 1000),
                Math.round(plan.leaseS() * 1000),
                Math.round(plan.cancelS() * 1000),
                plan.teams(),
                plan.state()));
        world.sim.measured = true;
        orders = new CommandAudit(
                () -> world.sim.now,
                id -> world.workers.stream().anyMatch(w -> w.box().id.equals(id) && !w.hangs()),
                world.rules.cancelAsked::contains);
        world.rules.orders = orders;
        number = FIRST + plan.ended();
    }

    static Outcome once(Experiment plan, long seed) {
        return once(plan, seed, true);
    }

    /** @param weigh what the leader holds in memory is measured too, which takes a while and wants to be alone */
    static Outcome once(Experiment plan, long seed, boolean weigh) {
        return new ExperimentRun(plan, seed).run(seed, weigh);
    }

    /** The meetings of this seed, as troubles with their times. */
    static List<Experiment.Fault> meetings(Experiment plan, long seed) {
        Experiment.Meetings m = plan.meetings();
        SplittableRandom random = new SplittableRandom(~seed);
        List<Experiment.Fault> drawn = new ArrayList<>();
        for (int i = 0; i < m.count(); i++) {
            double at = m.fromS() + random.nextDouble() * (m.untilS() - m.fromS());
            for (int troubles = 2 + random.nextInt(2); troubles > 0; troubles--) {
                // Within a second of each other, or some; over at once, after a while, or not before cancel_s has
                // passed.
                double offset = random.nextDouble() * (random.nextBoolean() ? 1.5 : 6);
                double forS = switch (random.nextInt(3)) {
                    case 0 -> 0.05 + random.nextDouble();
                    case 1 -> 2 + random.nextDouble() * plan.leaseS();
                    default -> plan.leaseS() + random.nextDouble() * 1.3 * plan.cancelS();
                };
                drawn.add(new Experiment.Fault(
                        at + offset,
                        m.kinds().get(random.nextInt(m.kinds().size())),
                        Math.min(forS, m.untilS() + plan.cancelS() - at - offset),
                        1 + random.nextInt(4),
                        0.1 + 0.4 * random.nextDouble()));
            }
        }
        return drawn;
    }

    /** Users ask for all they have submitted: every job that was accepted must find an answer. */
    private void askForAll() {
        for (int i = 0; i < ids.size(); i++) {
            String id = ids.get(i);
            world.at(world.sim.now + i * 7_000L / ids.size(), () -> world.askOnce(id, "poll"));
        }
    }

    private Outcome run(long seed, boolean weigh) {
        long began = System.nanoTime();
        if (plan.form() == HistoryBenchmark.Form.SEGMENTS) {
            SimulatedCluster.past(world.state, FIRST, plan.ended());
        } else {
            HistoryBenchmark.seed(world.state, plan.form(), plan.ended());
        }
        // Up means up: they were rented long before, although the lists, which lag, do not name them yet.
        world.cloud.bootMs = 0;
        for (int i = 0; i < plan.up(); i++) {
            world.cloud.rent(i % 2 == 0 ? "a" : "b", false);
        }
        world.cloud.bootMs = Math.round(plan.bootS() * 1000);
        world.enforceLimits();
        plan.arrivals().forEach(this::arrive);
        plan.pipelines().forEach(this::arrive);
        plan.faults().forEach(f -> world.at(Math.round(f.atS() * 1000), () -> begin(f)));
        meetings(plan, seed).forEach(f -> world.at(Math.round(f.atS() * 1000), () -> begin(f)));
        world.at((plan.durationS() - LAST_POLL_S) * 1_000L, this::askForAll);
        long end = plan.durationS() * 1000L;
        StarvationCheck waiting = new StarvationCheck(world);
        double calmS = plan.meetings().untilS() + plan.cancelS() + CALM_S;
        for (long t = 100; t <= end; t += 100) {
            world.sim.run(t);
            watchLeader(t);
            if (t % 1_000 == 0) {
                sample((int) (t / 1_000));
                if (plan.meetings().count() > 0 && t >= calmS * 1_000) {
                    waiting.look();
                }
            }
        }
        world.rules.unanswered((plan.durationS() - LAST_POLL_S) * 1_000L, ids);
        long leaderKb = weigh ? leaderKb() : 0;
        return new Outcome(
                seed,
                List.copyOf(world.rules.broken),
                submitted,
                (int) world.over("done"),
                (int) world.over("cancelled"),
                world.rules.repeats,
                world.state.tooMany(),
                samples,
                recoveries.stream().map(RecoveryTimeline::result).toList(),
                orders.counts(),
                List.copyOf(world.events),
                world.admissions.result(),
                served.figures(world.rules, plan.durationS(), 4.0 * plan.machines() * 2),
                busy,
                world.state.requests(),
                world.state.mostWrites(),
                leaderKb,
                (System.nanoTime() - began) / 1e9);
    }

    private void arrive(Experiment.Arrivals a) {
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

    private void arrive(Experiment.Pipelines p) {
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
                JobSpec spec = new JobSpec(
                                SimulatedCluster.id(number++),
                                s.jobClass(),
                                p.team(),
                                false,
                                s.priority(),
                                s.tasksMin() + random.nextInt(s.tasksMax() - s.tasksMin() + 1),
                                s.cpus(),
                                0,
                                s.cpus(),
                                "img-" + random.nextInt(4),
                                0.3,
                                null,
                                null,
                                false,
                                false,
                                true,
                                s.runS() * (0.5 + random.nextDouble()),
                                0,
                                0,
                                null)
                        .awaiting(awaited);
                made.add(spec.id());
                ids.add(spec.id());
                submitted++;
                world.at(atMs, () -> world.submitWhenAwaitedAreAccepted(spec));
            }
            stages.add(made);
            all.addAll(made);
        }
        if (random.nextDouble() < p.cancelled()) {
            String called = all.get(random.nextInt(all.size()));
            world.at(atMs + random.nextInt(60_000), () -> {
                if (world.rules.told.containsKey(called)) {
                    world.cancel(called);
                }
            });
        }
    }

    private void submit(Experiment.Arrivals a, long atMs) {
        JobSpec spec = new JobSpec(
                SimulatedCluster.id(number++),
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
            world.rules.mistaken.add(spec.id());
        }
        if (a.cancelled() > 0 && random.nextDouble() < a.cancelled()) {
            world.at(atMs + 5_000 + random.nextInt(60_000), () -> world.cancel(spec.id()));
        }
        ids.add(spec.id());
        served.asked(spec, atMs / 1_000.0);
        submitted++;
        world.at(atMs, () -> world.submit(spec));
    }

    private void begin(Experiment.Fault f) {
        SimulatedCluster.ControllerNode leader = world.leader();
        long forMs = Math.round(f.forS() * 1000);
        switch (f.kind()) {
            case CRASH_LEADER -> {
                if (leader != null && leader.host.up) {
                    lost();
                    leader.crash(forMs);
                }
            }
            case CRASH_ALL -> {
                lost();
                world.nodes.stream().filter(n -> n.host.up).forEach(n -> n.crash(forMs));
            }
            case STATE_OUTAGE -> {
                world.state.outage(true);
                world.at(world.sim.now + forMs, () -> world.state.outage(false));
            }
            case CUT_LEADER_STATE -> {
                if (leader != null) {
                    cut(List.of(leader.host.name), List.of("state"), forMs);
                }
            }
            case CUT_LEADER_WORKERS -> {
                if (leader != null) {
                    cut(List.of(leader.host.name), names(world.workers), forMs);
                }
            }
            case LOSE_ZONE -> zone().forEach(w -> world.cloud.delete(w.box().id));
            case CUT_ZONE -> cut(hosts(null), names(zone()), forMs);
            case HANG_MACHINES ->
                some(f.count()).forEach(w -> {
                    w.hang(true);
                    world.at(world.sim.now + forMs, () -> w.hang(false));
                });
            case LOSE_MACHINES -> some(f.count()).forEach(w -> world.cloud.delete(w.box().id));
            case FREEZE_LEADER -> {
                if (leader != null) {
                    leader.host.freeze(forMs);
                }
            }
            case FREEZE_ALL -> world.nodes.forEach(n -> n.host.freeze(forMs));
            case REFUSE_LEADER_STATE -> world.refuse(leader, forMs);
            case CUT_LEADER_PEERS -> {
                if (leader != null) {
                    cut(List.of(leader.host.name), hosts(leader), forMs);
                }
            }
            case CUT_LEADER_STATE_PEERS -> {
                if (leader != null) {
                    cut(List.of(leader.host.name), hosts(leader), forMs);
                    cut(List.of(leader.host.name), List.of("state"), forMs);
                }
            }
            case CRASH_OTHER -> other(leader, n -> n.crash(forMs));
            case REFUSE_OTHER_STATE -> other(leader, n -> world.refuse(n, forMs));
            // What is sent straight to them, and its answers, are held up; their reports find another way.
            case HOLD_ORDERS -> {
                if (leader != null) {
                    cut(List.of(leader.host.name), names(some(f.count())), forMs);
                }
            }
            case DEAF_MACHINES -> {
                List<String> deaf = names(some(f.count()));
                world.sim.deaf.addAll(deaf);
                world.at(world.sim.now + forMs, () -> deaf.forEach(world.sim.deaf::remove));
            }
            case LATE_WRITES -> {
                world.state.lateWrites(f.share(), world.sim.random);
                world.at(world.sim.now + forMs, () -> world.state.lateWrites(0, null));
            }
            case LATE_REPORTS -> {
                world.lateReports = f.share();
                world.at(world.sim.now + forMs, () -> world.lateReports = 0);
            }
            case UNANSWERED_WRITES -> {
                world.state.lostAnswers(f.share(), world.sim.random);
                world.at(world.sim.now + forMs, () -> world.state.lostAnswers(0, null));
            }
            case KEPT_REPORTS -> {
                world.keptReports = f.share();
                world.at(world.sim.now + forMs, () -> world.keptReports = 0);
            }
            case MUTE_MACHINES -> {
                List<String> mute = names(some(f.count()));
                world.unheard.addAll(mute);
                world.at(world.sim.now + forMs, () -> mute.forEach(world.unheard::remove));
            }
            case CANCEL_NOW -> world.cancelNow(2 * f.count(), 0);
            case CANCEL_AND_HANG -> world.cancelNow(2 * f.count(), forMs);
            case CANCEL_AT_END -> {
                world.cancelAtEnd = 2 * f.share();
                world.at(world.sim.now + forMs, () -> world.cancelAtEnd = 0);
            }
            case ODD_REQUESTS -> odd(world.sim.now + forMs);
            case CLOSE_LOOKS -> {
                world.closeLooks = true;
                world.at(world.sim.now + forMs, () -> world.closeLooks = false);
            }
            case UPGRADE -> world.upgrade(world.sim.now, UPGRADE_EVERY_MS, forMs, plan.next());
            case LIMITS_FALL -> world.limitsFall(plan.next());
            case HAND_OVERS -> handOver(world.sim.now + forMs);
            case RESTART_MACHINES -> some(f.count()).forEach(w -> world.restart(w, forMs));
            case BOOT_TROUBLE -> {
                world.cloud.neverUp = f.share();
                world.at(world.sim.now + forMs, () -> world.cloud.neverUp = 0);
            }
            case POLL_STORM -> storm(f.count(), world.sim.now + forMs);
            case COPIES -> {
                world.sim.copied.put("", f.share());
                world.at(world.sim.now + forMs, () -> world.sim.copied.remove(""));
            }
            case LOST_ANSWERS -> {
                world.sim.lostAnswers.put("state", f.share());
                world.at(world.sim.now + forMs, () -> world.sim.lostAnswers.remove("state"));
            }
        }
    }

    private void odd(long until) {
        if (world.sim.now < until) {
            world.oddRequest();
            world.at(world.sim.now + 300, () -> odd(until));
        }
    }

    /** Whoever leads is refused alone for some seconds, so that it hands over; then its successor. */
    private void handOver(long until) {
        if (world.sim.now < until) {
            world.refuse(world.leader(), HAND_OVER_EVERY_MS - 1_000);
            world.at(world.sim.now + HAND_OVER_EVERY_MS, () -> handOver(until));
        }
    }

    /** Users ask about jobs so many times a second, a tenth of the time about jobs that nobody submitted. */
    private void storm(int perS, long until) {
        if (world.sim.now >= until || ids.isEmpty()) {
            return;
        }
        for (int i = 0; i < perS / 10.0; i++) {
            world.askOnce(
                    random.nextInt(10) == 0
                            ? SimulatedCluster.id(FIRST / 2 + random.nextInt(FIRST / 4))
                            : ids.get(random.nextInt(ids.size())),
                    "poll");
        }
        world.at(world.sim.now + 100, () -> storm(perS, until));
    }

    private void cut(List<String> hosts, List<String> others, long forMs) {
        hosts.forEach(a -> others.forEach(b -> world.sim.cut(a, b)));
        world.at(world.sim.now + forMs, () -> hosts.forEach(a -> others.forEach(b -> world.sim.heal(a, b))));
    }

    /** The controllers' hosts, one left out. */
    private List<String> hosts(SimulatedCluster.ControllerNode without) {
        return world.nodes.stream()
                .filter(n -> n != without)
                .map(n -> n.host.name)
                .toList();
    }

    private static List<String> names(List<EmulatedWorker> workers) {
        return workers.stream().map(w -> w.box().id).toList();
    }

    /** Something befalls one of the controllers that do not lead. */
    private void other(SimulatedCluster.ControllerNode leader, Consumer<SimulatedCluster.ControllerNode> what) {
        List<SimulatedCluster.ControllerNode> up =
                world.nodes.stream().filter(n -> n != leader && n.host.up).toList();
        if (!up.isEmpty()) {
            what.accept(up.get(random.nextInt(up.size())));
        }
    }

    /** The machines of one zone. */
    private List<EmulatedWorker> zone() {
        return world.workers.stream().filter(w -> w.box().zone.equals("b")).toList();
    }

    private List<EmulatedWorker> some(int count) {
        List<EmulatedWorker> left = new ArrayList<>(world.workers);
        List<EmulatedWorker> chosen = new ArrayList<>();
        while (chosen.size() < count && !left.isEmpty()) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }

    private void lost() {
        recoveries.add(new RecoveryTimeline(world.sim.now / 1000.0, world.rules));
    }

    private void watchLeader(long now) {
        if (recoveries.isEmpty() || recoveries.get(recoveries.size() - 1).over()) {
            return;
        }
        SimulatedCluster.ControllerNode leader = world.leader();
        JsonNode status = leader == null || !leader.host.up ? null : world.status(leader);
        int unknown = status == null || !status.has("machines")
                ? -1
                : status.path("unaccounted").asInt();
        recoveries.get(recoveries.size() - 1).look(now / 1000.0, unknown, world.workers.size(), world.rules);
    }

    private void sample(int second) {
        int requests = world.state.requests();
        samples.add(new Sample(
                second,
                world.workers.size(),
                world.rules.places.size(),
                world.state.keys(Keys.JOBS).size(),
                requests - requestsBefore,
                world.state.lastWrites()));
        requestsBefore = requests;
        SimulatedCluster.ControllerNode leader = world.leader();
        if (leader != null && leader.host.up) {
            busyNow(leader);
        }
    }

    /** What each process that ever led has spent so far; a process that died keeps its last word. */
    private void busyNow(SimulatedCluster.ControllerNode leader) {
        busyOf.put(leader.controller, world.busyMs(leader));
        busy.clear();
        busyOf.values().forEach(parts -> parts.forEach((part, ms) -> busy.merge(part, ms, Long::sum)));
    }

    /** What the leader's process holds in memory: the difference that its end makes to this one's heap. */
    private long leaderKb() {
        SimulatedCluster.ControllerNode leader = world.leader();
        if (leader == null) {
            return 0;
        }
        world.nodes.stream().filter(n -> n != leader).forEach(this::end);
        long with = heap();
        end(leader);
        return Math.max(0, with - heap()) / 1024;
    }

    private void end(SimulatedCluster.ControllerNode node) {
        node.host.kill();
        node.controller = null;
        world.sim.forget(node.host);
        world.state.dropWatches();
        busyOf.clear();
    }

    private static long heap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
