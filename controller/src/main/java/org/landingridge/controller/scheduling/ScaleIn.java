package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.landingridge.wire.JobSpec;

/**
 * Selects idle machines to return. If no task is waiting, it also drains machines, expensive ones first: otherwise, at the
 * end of a peak, a single long task could occupy each of them for minutes although cheaper or fuller machines have room.
 */
final class ScaleIn {
    /** Idle time before an unneeded machine is returned, in milliseconds: the next task may be one heartbeat away. */
    private static final long NEEDLESS_MS = 3_000;
    /** Spare room as a share of the CPUs in use, because tasks end and start continually. */
    private static final double HEADROOM = 0.05;
    /** Minimum run time before a task is moved, in seconds: each move costs a save and a start. */
    private static final double MOVABLE_AFTER_S = 30;
    /** Time that the commands of a move take, in seconds, in addition to the save and the image fetch. */
    private static final double COMMANDS_S = 2;
    /** A machine is drained only if it becomes free at least this many seconds sooner, after the cost of the moves. */
    private static final double GAIN_S = 10;

    private final Scheduler.Input input;
    private final SchedulingPlan plan;
    private final Prices prices;
    /** Machines that are up, least needed first: expensive before cheap, then by CPUs in use, fewest first. */
    private final List<CandidateNode> up = new ArrayList<>();

    private final double usedCpus;
    private final double neededCpus;
    /** CPUs of the machines that are kept. */
    private double keptCpus;

    ScaleIn(Scheduler.Input input, SchedulingPlan plan) {
        this.input = input;
        this.plan = plan;
        prices = new Prices(input.types());
        double used = 0;
        for (CandidateNode node : input.nodes()) {
            if (node.up) {
                up.add(node);
                keptCpus += node.type.cpus();
                used += node.usedCpus();
            }
        }
        usedCpus = used;
        neededCpus = Math.max(input.standing(), usedCpus * (1 + HEADROOM));
        up.sort(Comparator.comparing((CandidateNode node) -> !expensive(node))
                .thenComparingDouble(CandidateNode::usedCpus));
    }

    private boolean expensive(CandidateNode node) {
        return prices.expensive(node.type, node.spot);
    }

    void run() {
        if (plan.unplaced > 0) {
            return;
        }
        returnIdle();
        if (plan.stops.isEmpty()) {
            vacate();
        }
    }

    private void returnIdle() {
        JobSpec service = input.spare() == null ? null : input.spare().like();
        int spareRoom = 0;
        for (CandidateNode node : up) {
            spareRoom += service != null && !node.spot ? node.roomFor(service) : 0;
        }
        for (CandidateNode node : up) {
            if (!returnable(node)) {
                continue;
            }
            if (service != null && !node.spot) {
                int roomHere = node.roomFor(service);
                if (spareRoom - roomHere < input.spare().tasks()) {
                    continue;
                }
                spareRoom -= roomHere;
            }
            keptCpus -= node.type.cpus();
            plan.idle.add(node);
        }
    }

    /** Returns true for a machine without tasks whose idle time is over; the idle time of an unneeded machine is shorter. */
    private boolean returnable(CandidateNode node) {
        if (!node.unused()) {
            return false;
        }
        boolean needless = (expensive(node) || node.draining) && node.idleMs >= NEEDLESS_MS && dispensable(node);
        return needless || node.idleMs >= input.idleMs();
    }

    private boolean dispensable(CandidateNode node) {
        return keptCpus - node.type.cpus() >= neededCpus;
    }

    /**
     * Drains machines, expensive and then emptiest first: stops tasks that can save their state if that empties the machine
     * soon and other machines have room.
     */
    private void vacate() {
        double freeCpus = -usedCpus * HEADROOM;
        for (CandidateNode node : up) {
            freeCpus += node.soonCpus();
        }
        for (int i = 0; i < up.size() && dispensable(up.get(i)); i++) {
            CandidateNode node = up.get(i);
            freeCpus -= node.soonCpus();
            List<CandidateNode.Running> moves = worthMoving(node);
            if (moves.isEmpty() || node.draining) {
                continue;
            }
            double cpus = moves.stream().mapToDouble(task -> task.spec.cpus()).sum();
            if (cpus > freeCpus || !move(moves, up.subList(i + 1, up.size()))) {
                return;
            }
            freeCpus -= cpus;
            keptCpus -= node.type.cpus();
            plan.vacated.add(node);
        }
    }

    /** Reserves room for the tasks on the fullest machines that fit them and stops them; returns false if there is no room. */
    private boolean move(List<CandidateNode.Running> tasks, List<CandidateNode> targets) {
        for (CandidateNode.Running task : tasks) {
            CandidateNode target = fullest(task.spec, targets);
            if (target == null) {
                return false;
            }
            target.takeSoon(task.spec);
        }
        for (CandidateNode.Running task : tasks) {
            task.stopping = true;
            plan.stops.add(task);
        }
        return true;
    }

    private CandidateNode fullest(JobSpec spec, List<CandidateNode> nodes) {
        CandidateNode fullest = null;
        for (CandidateNode node : nodes) {
            plan.steps++;
            if (!node.draining && node.fitsSoon(spec) && (fullest == null || node.soonCpus() < fullest.soonCpus())) {
                fullest = node;
            }
        }
        return fullest;
    }

    /** Returns the tasks whose move frees the machine sooner; empty if other tasks would occupy it about as long anyway. */
    private static List<CandidateNode.Running> worthMoving(CandidateNode node) {
        double occupiedS = 0;
        for (CandidateNode.Running task : node.running) {
            if (!movable(task)) {
                occupiedS =
                        Math.max(occupiedS, task.spec == null || task.spec.service() ? Double.MAX_VALUE : task.leftS);
            }
        }
        List<CandidateNode.Running> moves = new ArrayList<>();
        double gainS = 0;
        for (CandidateNode.Running task : node.running) {
            if (!movable(task)) {
                continue;
            }
            double costS = moveCostS(task, node);
            if (task.leftS > Math.max(occupiedS, costS)) {
                moves.add(task);
                gainS = Math.max(gainS, task.leftS - costS);
            }
        }
        return gainS > occupiedS + GAIN_S ? moves : List.of();
    }

    private static double moveCostS(CandidateNode.Running task, CandidateNode node) {
        return task.spec.saveS() + COMMANDS_S + task.spec.imageGb() / Math.max(0.01, node.type.fetchGbPerS());
    }

    private static boolean movable(CandidateNode.Running task) {
        return !task.stopping
                && task.spec != null
                && task.spec.checkpointS() > 0
                && task.spec.spot()
                && task.spec.zone() == null
                && !task.spec.oneZone()
                && !task.spec.spread()
                && task.ranS >= MOVABLE_AFTER_S;
    }
}
