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
    private static final long UNNEEDED_IDLE_MS = 3_000;
    /** Spare room as a share of the CPUs in use, because tasks end and start continually. */
    private static final double HEADROOM_SHARE = 0.05;
    /** Minimum run time before a task is moved, in seconds: each move costs a save and a start. */
    private static final double MIN_RUN_BEFORE_MOVE_S = 30;
    /** Time that the commands of a move take, in seconds, in addition to the save and the image fetch. */
    private static final double MOVE_COMMANDS_S = 2;
    /** A machine is drained only if it becomes free at least this many seconds sooner, after the cost of the moves. */
    private static final double MIN_GAIN_S = 10;

    private final Scheduler.Input input;
    private final SchedulingPlan plan;
    private final Prices prices;
    /** Machines that are up, least needed first: expensive before cheap, then by CPUs in use, fewest first. */
    private final List<CandidateNode> upNodes = new ArrayList<>();

    private final double usedCpus;
    private final double neededCpus;
    /** CPUs of the machines that are kept. */
    private double keptCpus;

    ScaleIn(Scheduler.Input input, SchedulingPlan plan) {
        this.input = input;
        this.plan = plan;
        prices = new Prices(input.machineTypes());
        double used = 0;
        for (CandidateNode node : input.nodes()) {
            if (node.up) {
                upNodes.add(node);
                keptCpus += node.type.cpus();
                used += node.usedCpus();
            }
        }
        usedCpus = used;
        neededCpus = Math.max(input.cpusToKeep(), usedCpus * (1 + HEADROOM_SHARE));
        upNodes.sort(Comparator.comparing((CandidateNode node) -> !isExpensive(node))
                .thenComparingDouble(CandidateNode::usedCpus));
    }

    private boolean isExpensive(CandidateNode node) {
        return prices.isExpensive(node.type, node.spot);
    }

    void run() {
        if (plan.unplacedTasks > 0) {
            return;
        }
        returnIdleNodes();
        if (plan.tasksToStop.isEmpty()) {
            drainNodes();
        }
    }

    private void returnIdleNodes() {
        JobSpec serviceSpec =
                input.serviceReserve() == null ? null : input.serviceReserve().taskSpec();
        int serviceCapacity = 0;
        for (CandidateNode node : upNodes) {
            serviceCapacity += serviceSpec != null && !node.spot ? node.taskCapacity(serviceSpec) : 0;
        }
        for (CandidateNode node : upNodes) {
            if (!isReturnable(node)) {
                continue;
            }
            if (serviceSpec != null && !node.spot) {
                int nodeCapacity = node.taskCapacity(serviceSpec);
                if (serviceCapacity - nodeCapacity < input.serviceReserve().tasks()) {
                    continue;
                }
                serviceCapacity -= nodeCapacity;
            }
            keptCpus -= node.type.cpus();
            plan.nodesToReturn.add(node);
        }
    }

    /** Returns true for a machine without tasks whose idle time is over; the idle time of an unneeded machine is shorter. */
    private boolean isReturnable(CandidateNode node) {
        if (!node.isUnused()) {
            return false;
        }
        boolean unneeded =
                (isExpensive(node) || node.draining) && node.idleMs >= UNNEEDED_IDLE_MS && isDispensable(node);
        return unneeded || node.idleMs >= input.idleTimeoutMs();
    }

    private boolean isDispensable(CandidateNode node) {
        return keptCpus - node.type.cpus() >= neededCpus;
    }

    /**
     * Drains machines, expensive and then emptiest first: stops tasks that can save their state if that empties the machine
     * soon and other machines have room.
     */
    private void drainNodes() {
        double freeCpus = -usedCpus * HEADROOM_SHARE;
        for (CandidateNode node : upNodes) {
            freeCpus += node.freeCpusAfterStops();
        }
        for (int index = 0; index < upNodes.size() && isDispensable(upNodes.get(index)); index++) {
            CandidateNode node = upNodes.get(index);
            freeCpus -= node.freeCpusAfterStops();
            List<CandidateNode.RunningTask> tasksToMove = tasksWorthMoving(node);
            if (tasksToMove.isEmpty() || node.draining) {
                continue;
            }
            double movedCpus =
                    tasksToMove.stream().mapToDouble(task -> task.spec.cpus()).sum();
            if (movedCpus > freeCpus || !moveTasks(tasksToMove, upNodes.subList(index + 1, upNodes.size()))) {
                return;
            }
            freeCpus -= movedCpus;
            keptCpus -= node.type.cpus();
            plan.nodesToDrain.add(node);
        }
    }

    /** Reserves room for the tasks on the fullest machines that fit them and stops them; returns false if there is no room. */
    private boolean moveTasks(List<CandidateNode.RunningTask> tasks, List<CandidateNode> targets) {
        for (CandidateNode.RunningTask task : tasks) {
            CandidateNode target = fullestNode(task.spec, targets);
            if (target == null) {
                return false;
            }
            target.takeRoomAfterStops(task.spec);
        }
        for (CandidateNode.RunningTask task : tasks) {
            task.stopping = true;
            plan.tasksToStop.add(task);
        }
        return true;
    }

    private CandidateNode fullestNode(JobSpec spec, List<CandidateNode> nodes) {
        CandidateNode fullest = null;
        for (CandidateNode node : nodes) {
            plan.evaluations++;
            if (!node.draining
                    && node.fitsAfterStops(spec)
                    && (fullest == null || node.freeCpusAfterStops() < fullest.freeCpusAfterStops())) {
                fullest = node;
            }
        }
        return fullest;
    }

    /** Returns the tasks whose move frees the machine sooner; empty if other tasks occupy it for about as long. */
    private static List<CandidateNode.RunningTask> tasksWorthMoving(CandidateNode node) {
        double occupiedS = 0;
        for (CandidateNode.RunningTask task : node.runningTasks) {
            if (!isMovable(task)) {
                occupiedS = Math.max(
                        occupiedS, task.spec == null || task.spec.service() ? Double.MAX_VALUE : task.remainingS);
            }
        }
        List<CandidateNode.RunningTask> tasksToMove = new ArrayList<>();
        double gainS = 0;
        for (CandidateNode.RunningTask task : node.runningTasks) {
            if (!isMovable(task)) {
                continue;
            }
            double costS = moveCostS(task, node);
            if (task.remainingS > Math.max(occupiedS, costS)) {
                tasksToMove.add(task);
                gainS = Math.max(gainS, task.remainingS - costS);
            }
        }
        return gainS > occupiedS + MIN_GAIN_S ? tasksToMove : List.of();
    }

    private static double moveCostS(CandidateNode.RunningTask task, CandidateNode node) {
        return task.spec.saveS() + MOVE_COMMANDS_S + task.spec.imageGb() / Math.max(0.01, node.type.fetchGbPerS());
    }

    private static boolean isMovable(CandidateNode.RunningTask task) {
        return !task.stopping
                && task.spec != null
                && task.spec.checkpointS() > 0
                && task.spec.spot()
                && task.spec.zone() == null
                && !task.spec.oneZone()
                && !task.spec.spread()
                && task.elapsedS >= MIN_RUN_BEFORE_MOVE_S;
    }
}
