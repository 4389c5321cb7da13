package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.landingridge.controller.store.Keys;
import org.landingridge.emulator.Truth;
import org.landingridge.emulator.Worker;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/** Plays an experiment once, with one seed, and notes what happened. */
final class Play {
    /** One second of a play. */
    record Sample(int second, int machines, int running, int live, int requests, int changes) {}

    /**
     * What came out.
     *
     * @param busyMs milliseconds of this machine's processor that all leaders' threads spent, by part
     */
    record Outcome(long seed, List<String> broken, int submitted, int done, int cancelled, int repeats, int refused,
            List<Sample> samples, List<Recovery.Result> recoveries, Map<Truth.Order, OrderBook.Count> orders,
            List<World.Told> events, Admissions.Result admissions, List<Served.Figure> served, Map<String, Long> busyMs,
            int requests, int mostWrites, long leaderKb, double tookS) {}

    private static final int FIRST = 100_000;
    private final Experiment plan;
    private final World world;
    private final SplittableRandom random;
    private final List<Sample> samples = new ArrayList<>();
    private final List<Recovery> recoveries = new ArrayList<>();
    private final OrderBook orders;
    private final Served served = new Served();
    private final Map<String, Long> busy = new TreeMap<>();
    /** By process: what its thread has spent. */
    private final Map<Object, Map<String, Long>> busyOf = new LinkedHashMap<>();
    /** Of all jobs of the play, in the order of their making. */
    private final List<String> ids = new ArrayList<>();
    private int number;
    private int submitted;
    private int requestsBefore;

    private Play(Experiment plan, long seed) {
        this.plan = plan;
        this.random = new SplittableRandom(seed);
        world = new World(new World.Setup(seed, plan.controllers(), plan.machines(), Math.round(plan.bootS() * 1000),
                Math.round(plan.reportS() * 1000), Math.round(plan.leaseS() * 1000), plan.teams(), plan.state()));
        world.sim.measured = true;
        orders = new OrderBook(() -> world.sim.now, id -> world.workers.stream().anyMatch(w -> w.box().id.equals(id)
                && !w.hangs()), world.rules.cancelAsked::contains);
        world.rules.orders = orders;
        number = FIRST + plan.ended();
    }

    static Outcome once(Experiment plan, long seed) {
        return new Play(plan, seed).run(seed);
    }

    private Outcome run(long seed) {
        long began = System.nanoTime();
        if (plan.form() == HistoryProbe.Form.SEGMENTS) {
            World.past(world.state, FIRST, plan.ended());
        } else {
            HistoryProbe.seed(world.state, plan.form(), plan.ended());
        }
        // Up means up: they were rented long before, although the lists, which lag, do not name them yet.
        world.cloud.bootMs = 0;
        for (int i = 0; i < plan.up(); i++) {
            world.cloud.rent(i % 2 == 0 ? "a" : "b", false);
        }
        world.cloud.bootMs = Math.round(plan.bootS() * 1000);
        world.enforceLimits();
        plan.arrivals().forEach(this::arrive);
        plan.faults().forEach(f -> world.at(Math.round(f.atS() * 1000), () -> begin(f)));
        long end = plan.durationS() * 1000L;
        for (long t = 100; t <= end; t += 100) {
            world.sim.run(t);
            watchLeader(t);
            if (t % 1_000 == 0) {
                sample((int) (t / 1_000));
            }
        }
        long leaderKb = leaderKb();
        return new Outcome(seed, List.copyOf(world.rules.broken), submitted, (int) world.over("done"),
                (int) world.over("cancelled"), world.rules.repeats, world.state.tooMany, samples, recoveries.stream().map(Recovery::result).toList(), orders.counts(),
                List.copyOf(world.events), world.admissions.result(), served.figures(world.rules, plan.durationS(),
                        4.0 * plan.machines() * 2), busy,
                world.state.requests(), world.state.mostWrites, leaderKb, (System.nanoTime() - began) / 1e9);
    }

    private void arrive(Experiment.Arrivals a) {
        for (int i = 0; i < a.initial(); i++) {
            submit(a, Math.round(a.fromS() * 1_000) + random.nextInt(1_000));
        }
        if (a.perMinute() > 0) {
            double meanMs = 60_000 / a.perMinute();
            for (double t = a.fromS() * 1_000; t < Math.min(a.untilS(), plan.durationS()) * 1000;) {
                t += -Math.log(1 - random.nextDouble()) * meanMs;
                submit(a, Math.round(t));
            }
        }
    }

    private void submit(Experiment.Arrivals a, long atMs) {
        JobSpec spec = new JobSpec(World.id(number++), a.jobClass(), a.team(), a.service(), a.priority(),
                a.tasksMin() + random.nextInt(a.tasksMax() - a.tasksMin() + 1), a.cpus(), 0, a.cpus(),
                "img-" + random.nextInt(4), 0.3, null, null, false, false, !a.service(),
                a.service() ? 0 : a.runS() * (0.5 + random.nextDouble()), a.checkpointS(), 0, null);
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
        World.Node leader = world.leader();
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
                    world.sim.cut(leader.host.name, "state");
                    world.at(world.sim.now + forMs, world.sim::heal);
                }
            }
            case CUT_LEADER_WORKERS -> {
                if (leader != null) {
                    world.workers.forEach(w -> world.sim.cut(leader.host.name, w.box().id));
                    world.at(world.sim.now + forMs, world.sim::heal);
                }
            }
            case LOSE_ZONE -> zone().forEach(w -> world.cloud.delete(w.box().id));
            case CUT_ZONE -> {
                zone().forEach(w -> world.nodes.forEach(n -> world.sim.cut(n.host.name, w.box().id)));
                world.at(world.sim.now + forMs, world.sim::heal);
            }
            case HANG_MACHINES -> some(f.count()).forEach(w -> {
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
            case REFUSE_LEADER_STATE -> {
                if (leader != null) {
                    world.state.refuse(leader.host.name, true);
                    world.at(world.sim.now + forMs, () -> world.state.refuse(leader.host.name, false));
                }
            }
            case CUT_LEADER_PEERS -> {
                if (leader != null) {
                    world.nodes.stream().filter(n -> n != leader).forEach(n -> world.sim.cut(leader.host.name, n.host.name));
                    world.at(world.sim.now + forMs, world.sim::heal);
                }
            }
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

    /** Users ask about jobs so many times a second, a tenth of the time about jobs that nobody submitted. */
    private void storm(int perS, long until) {
        if (world.sim.now >= until || ids.isEmpty()) {
            return;
        }
        for (int i = 0; i < perS / 10.0; i++) {
            world.askOnce(random.nextInt(10) == 0 ? World.id(FIRST / 2 + random.nextInt(FIRST / 4))
                    : ids.get(random.nextInt(ids.size())), "poll");
        }
        world.at(world.sim.now + 100, () -> storm(perS, until));
    }

    /** The machines of one zone. */
    private List<Worker> zone() {
        return world.workers.stream().filter(w -> w.box().zone.equals("b")).toList();
    }

    private List<Worker> some(int count) {
        List<Worker> left = new ArrayList<>(world.workers);
        List<Worker> chosen = new ArrayList<>();
        while (chosen.size() < count && !left.isEmpty()) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }

    private void lost() {
        recoveries.add(new Recovery(world.sim.now / 1000.0, world.rules));
    }

    private void watchLeader(long now) {
        if (recoveries.isEmpty() || recoveries.get(recoveries.size() - 1).over()) {
            return;
        }
        World.Node leader = world.leader();
        JsonNode status = leader == null || !leader.host.up ? null : world.status(leader);
        int unknown = status == null || !status.has("machines") ? -1 : status.path("unaccounted").asInt();
        recoveries.get(recoveries.size() - 1).look(now / 1000.0, unknown, world.workers.size(), world.rules);
    }

    private void sample(int second) {
        int requests = world.state.requests();
        samples.add(new Sample(second, world.workers.size(), world.rules.places.size(),
                world.state.keys(Keys.JOBS).size(), requests - requestsBefore,
                world.state.lastWrites()));
        requestsBefore = requests;
        World.Node leader = world.leader();
        if (leader != null && leader.host.up) {
            busyNow(leader);
        }
    }

    /** What each process that ever led has spent so far; a process that died keeps its last word. */
    private void busyNow(World.Node leader) {
        busyOf.put(leader.controller, world.busyMs(leader));
        busy.clear();
        busyOf.values().forEach(parts -> parts.forEach((part, ms) -> busy.merge(part, ms, Long::sum)));
    }

    /** What the leader's process holds in memory: the difference that its end makes to this one's heap. */
    private long leaderKb() {
        World.Node leader = world.leader();
        if (leader == null) {
            return 0;
        }
        world.nodes.stream().filter(n -> n != leader).forEach(this::end);
        long with = heap();
        end(leader);
        return Math.max(0, with - heap()) / 1024;
    }

    private void end(World.Node node) {
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
