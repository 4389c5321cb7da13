package org.landingridge.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.landingridge.emulator.EmulatedWorker;

/** Has the faults of an experiment befall its simulated cluster. */
final class FaultInjector {
    private static final int HAND_OVER_EVERY_MS = 4_500;
    private static final int UPGRADE_EVERY_MS = 10_000;

    private final Experiment plan;
    private final SimulatedCluster cluster;
    private final RunMeasurements measurements;
    private final SplittableRandom random;
    private final List<String> submittedIds;

    /**
     * @param random shared with the workload: the order of its draws makes a run repeatable
     * @param submittedIds of all jobs of the run so far
     */
    FaultInjector(
            Experiment plan,
            SimulatedCluster cluster,
            RunMeasurements measurements,
            SplittableRandom random,
            List<String> submittedIds) {
        this.plan = plan;
        this.cluster = cluster;
        this.measurements = measurements;
        this.random = random;
        this.submittedIds = submittedIds;
    }

    /** Has all faults of the plan begin at their times, and those that are drawn for this seed. */
    void schedule(long seed) {
        plan.faults().forEach(this::schedule);
        RandomFaults.draw(plan, seed).forEach(this::schedule);
    }

    private void schedule(Experiment.Fault fault) {
        cluster.at(Math.round(fault.atS() * 1000), () -> begin(fault));
    }

    /** Has a fault begin now; it ends by itself after its time. */
    void begin(Experiment.Fault fault) {
        begin(fault, cluster.leader(), Math.round(fault.forS() * 1000));
    }

    private void begin(Experiment.Fault fault, ControllerNode leader, long forMs) {
        switch (fault.kind()) {
            case CRASH_LEADER -> crashLeader(leader, forMs);
            case CRASH_ALL -> crashAll(forMs);
            case CRASH_OTHER -> other(leader, node -> node.crash(forMs));
            case FREEZE_LEADER -> freeze(leader, forMs);
            case FREEZE_ALL -> cluster.nodes.forEach(node -> node.host.freeze(forMs));
            case UPGRADE -> cluster.upgrade(cluster.sim.now, UPGRADE_EVERY_MS, forMs, plan.next());
            case HAND_OVERS -> handOver(cluster.sim.now + forMs);
            case STATE_OUTAGE -> during(forMs, cluster.state::outage);
            case REFUSE_LEADER_STATE -> cluster.refuse(leader, forMs);
            case REFUSE_OTHER_STATE -> other(leader, node -> cluster.refuse(node, forMs));
            case LIMITS_FALL -> cluster.limitsFall(plan.next());
            case LATE_WRITES -> lateWrites(fault.share(), forMs);
            case UNANSWERED_WRITES -> unansweredWrites(fault.share(), forMs);
            case LOST_ANSWERS -> lostAnswers(fault.share(), forMs);
            case CUT_LEADER_STATE -> cutLeader(leader, List.of("state"), forMs);
            case CUT_LEADER_WORKERS -> cutLeader(leader, names(cluster.workers), forMs);
            case CUT_LEADER_PEERS -> cutLeader(leader, hosts(leader), forMs);
            case CUT_LEADER_STATE_PEERS -> cutLeaderFromStateAndPeers(leader, forMs);
            case CUT_ZONE -> cut(hosts(null), names(zone()), forMs);
            case HOLD_ORDERS -> holdDirectCalls(leader, fault.count(), forMs);
            case COPIES -> copies(fault.share(), forMs);
            case LOSE_ZONE -> zone().forEach(worker -> cluster.cloud.delete(worker.box().id));
            case LOSE_MACHINES -> some(fault.count()).forEach(worker -> cluster.cloud.delete(worker.box().id));
            case HANG_MACHINES -> some(fault.count()).forEach(worker -> during(forMs, worker::hang));
            case DEAF_MACHINES -> deafMachines(fault.count(), forMs);
            case MUTE_MACHINES -> muteMachines(fault.count(), forMs);
            case RESTART_MACHINES -> some(fault.count()).forEach(worker -> cluster.restart(worker, forMs));
            case BOOT_TROUBLE -> bootTrouble(fault.share(), forMs);
            case LATE_REPORTS -> lateHeartbeats(fault.share(), forMs);
            case KEPT_REPORTS -> replayedHeartbeats(fault.share(), forMs);
            case CANCEL_NOW -> cluster.users.cancelNow(2 * fault.count(), 0);
            case CANCEL_AND_HANG -> cluster.users.cancelNow(2 * fault.count(), forMs);
            case CANCEL_AT_END -> cancelAtEnd(2 * fault.share(), forMs);
            case ODD_REQUESTS -> invalidRequests(cluster.sim.now + forMs);
            case CLOSE_LOOKS -> during(forMs, on -> cluster.users.askEverywhereAtOnce = on);
            case POLL_STORM -> pollStorm(fault.count(), cluster.sim.now + forMs);
        }
    }

    /** Switches something on now, and off after so long. */
    private void during(long forMs, Consumer<Boolean> fault) {
        fault.accept(true);
        later(forMs, () -> fault.accept(false));
    }

    private void later(long ms, Runnable what) {
        cluster.at(cluster.sim.now + ms, what);
    }

    private void crashLeader(ControllerNode leader, long backAfterMs) {
        if (leader != null && leader.host.up) {
            measurements.leaderLost();
            leader.crash(backAfterMs);
        }
    }

    private void crashAll(long backAfterMs) {
        measurements.leaderLost();
        cluster.nodes.stream().filter(node -> node.host.up).forEach(node -> node.crash(backAfterMs));
    }

    private static void freeze(ControllerNode leader, long forMs) {
        if (leader != null) {
            leader.host.freeze(forMs);
        }
    }

    private void cutLeader(ControllerNode leader, List<String> from, long forMs) {
        if (leader != null) {
            cut(List.of(leader.host.name), from, forMs);
        }
    }

    private void cutLeaderFromStateAndPeers(ControllerNode leader, long forMs) {
        cutLeader(leader, leader == null ? List.of() : hosts(leader), forMs);
        cutLeader(leader, List.of("state"), forMs);
    }

    /** What the leader sends straight to some machines, and their answers, are held up; heartbeats take another path. */
    private void holdDirectCalls(ControllerNode leader, int count, long forMs) {
        if (leader != null) {
            cut(List.of(leader.host.name), names(some(count)), forMs);
        }
    }

    private void lateWrites(double share, long forMs) {
        cluster.state.lateWrites(share, cluster.sim.random);
        later(forMs, () -> cluster.state.lateWrites(0, null));
    }

    private void unansweredWrites(double share, long forMs) {
        cluster.state.lostAnswers(share, cluster.sim.random);
        later(forMs, () -> cluster.state.lostAnswers(0, null));
    }

    private void lostAnswers(double share, long forMs) {
        cluster.sim.lostAnswerShareByHost.put("state", share);
        later(forMs, () -> cluster.sim.lostAnswerShareByHost.remove("state"));
    }

    private void copies(double share, long forMs) {
        cluster.sim.copyShareByHost.put("", share);
        later(forMs, () -> cluster.sim.copyShareByHost.remove(""));
    }

    private void deafMachines(int count, long forMs) {
        List<String> deaf = names(some(count));
        cluster.sim.receivingNothing.addAll(deaf);
        later(forMs, () -> deaf.forEach(cluster.sim.receivingNothing::remove));
    }

    private void muteMachines(int count, long forMs) {
        List<String> mute = names(some(count));
        cluster.heartbeatFaults.droppedMachines.addAll(mute);
        later(forMs, () -> mute.forEach(cluster.heartbeatFaults.droppedMachines::remove));
    }

    private void bootTrouble(double share, long forMs) {
        cluster.cloud.neverUp = share;
        later(forMs, () -> cluster.cloud.neverUp = 0);
    }

    private void lateHeartbeats(double share, long forMs) {
        cluster.heartbeatFaults.lateShare = share;
        later(forMs, () -> cluster.heartbeatFaults.lateShare = 0);
    }

    private void replayedHeartbeats(double share, long forMs) {
        cluster.heartbeatFaults.replayShare = share;
        later(forMs, () -> cluster.heartbeatFaults.replayShare = 0);
    }

    private void cancelAtEnd(double share, long forMs) {
        cluster.users.cancelAtEndShare = share;
        later(forMs, () -> cluster.users.cancelAtEndShare = 0);
    }

    private void invalidRequests(long until) {
        if (cluster.sim.now < until) {
            cluster.users.oddRequest();
            cluster.at(cluster.sim.now + 300, () -> invalidRequests(until));
        }
    }

    /** Whoever leads is refused alone for some seconds, so that it hands over; then its successor. */
    private void handOver(long until) {
        if (cluster.sim.now < until) {
            cluster.refuse(cluster.leader(), HAND_OVER_EVERY_MS - 1_000);
            cluster.at(cluster.sim.now + HAND_OVER_EVERY_MS, () -> handOver(until));
        }
    }

    /** Users ask about jobs so many times a second, a tenth of the time about jobs that nobody submitted. */
    private void pollStorm(int perS, long until) {
        if (cluster.sim.now >= until || submittedIds.isEmpty()) {
            return;
        }
        for (int i = 0; i < perS / 10.0; i++) {
            cluster.users.askOnce(
                    random.nextInt(10) == 0
                            ? SampleJobs.id(ExperimentRun.FIRST_JOB / 2 + random.nextInt(ExperimentRun.FIRST_JOB / 4))
                            : submittedIds.get(random.nextInt(submittedIds.size())),
                    "poll");
        }
        cluster.at(cluster.sim.now + 100, () -> pollStorm(perS, until));
    }

    private void cut(List<String> hosts, List<String> others, long forMs) {
        hosts.forEach(a -> others.forEach(b -> cluster.sim.cut(a, b)));
        cluster.at(cluster.sim.now + forMs, () -> hosts.forEach(a -> others.forEach(b -> cluster.sim.heal(a, b))));
    }

    /** The controllers' hosts, one left out. */
    private List<String> hosts(ControllerNode without) {
        return cluster.nodes.stream()
                .filter(n -> n != without)
                .map(n -> n.host.name)
                .toList();
    }

    private static List<String> names(List<EmulatedWorker> workers) {
        return workers.stream().map(w -> w.box().id).toList();
    }

    /** Something befalls one of the controllers that do not lead. */
    private void other(ControllerNode leader, Consumer<ControllerNode> what) {
        List<ControllerNode> up =
                cluster.nodes.stream().filter(n -> n != leader && n.host.up).toList();
        if (!up.isEmpty()) {
            what.accept(up.get(random.nextInt(up.size())));
        }
    }

    /** The machines of one zone. */
    private List<EmulatedWorker> zone() {
        return cluster.workers.stream().filter(w -> w.box().zone.equals("b")).toList();
    }

    private List<EmulatedWorker> some(int count) {
        List<EmulatedWorker> left = new ArrayList<>(cluster.workers);
        List<EmulatedWorker> chosen = new ArrayList<>();
        while (chosen.size() < count && !left.isEmpty()) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }
}
