package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.landingridge.wire.Priority;

/**
 * Makes room for a group by stopping other tasks: those of lower priority, or those that another team runs beyond its
 * guarantee. Room of tasks that are already stopping is used first.
 */
final class Preemption {
    /** Largest share of a task's start time target that may pass while a preempted task saves. */
    private static final double MAX_SAVE_SHARE = 0.4;
    /** A preempted task that would lose at least this much work, in seconds of run time, may always save first. */
    private static final double MAX_LOST_WORK_S = 60;
    /** Cost added to a node on which the task would start later than its target. */
    private static final double LATE_START_COST = 1e9;
    /** Fixed cost of stopping a task, in milliseconds, added to the time since its start. */
    private static final long STOP_COST_MS = 1_000;

    /** Lowest priority first, then the most recently started task, which loses the least work. */
    private static final Comparator<CandidateNode.RunningTask> STOP_ORDER = Comparator.comparing(
                    (CandidateNode.RunningTask task) -> task.spec.priority())
            .thenComparing(task -> -task.startedAtMs);

    private final Scheduler.Input input;
    private final SchedulingPlan plan;
    /** Nodes on which room becomes free without preemption. */
    private final Set<CandidateNode> nodesBeingFreed = new LinkedHashSet<>();
    /** Nodes with at least one task that could be stopped. */
    private final List<CandidateNode> nodesWithStoppableTasks = new ArrayList<>();
    /** Lowest priority among the tasks on the nodes, or null if there are none; used to skip a search that cannot succeed. */
    private Priority lowestPriority;

    Preemption(Scheduler.Input input, SchedulingPlan plan) {
        this.input = input;
        this.plan = plan;
        for (CandidateNode node : input.nodes()) {
            if (node.up) {
                indexNode(node);
            }
        }
    }

    private void indexNode(CandidateNode node) {
        boolean isBeingFreed = node.heartbeatBecomesFree();
        boolean hasStoppableTask = false;
        for (CandidateNode.RunningTask task : node.runningTasks) {
            if (task.spec != null
                    && (lowestPriority == null || task.spec.priority().compareTo(lowestPriority) < 0)) {
                lowestPriority = task.spec.priority();
            }
            isBeingFreed |= task.stopping;
            hasStoppableTask |= !task.stopping && task.spec != null;
        }
        if (isBeingFreed) {
            nodesBeingFreed.add(node);
        }
        if (hasStoppableTask) {
            nodesWithStoppableTasks.add(node);
        }
    }

    /** Returns the tasks that may be stopped for the group, or null if no node can have any. */
    Victims victims(TaskGroup group, boolean withinGuarantee) {
        return mayStopAnyTask(group, withinGuarantee) ? new Victims(group, withinGuarantee) : null;
    }

    private boolean mayStopAnyTask(TaskGroup group, boolean withinGuarantee) {
        if (lowestPriority == null) {
            return false;
        }
        int priorityOrder = lowestPriority.compareTo(group.spec.priority());
        if (priorityOrder != 0 || !withinGuarantee) {
            return priorityOrder < 0;
        }
        for (int teamIndex = 0; teamIndex < input.teams().size(); teamIndex++) {
            if (teamIndex != group.teamIndex && input.teams().get(teamIndex).isBorrowing()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Finds a node on which room for one task becomes free, and stops other tasks if there is no such node.
     *
     * @param onlyInTime true to consider only nodes on which the task starts within its target
     * @param victims    tasks that may be stopped, or null for none
     * @return the node, or null if no room can be made
     */
    CandidateNode makeRoom(TaskGroup group, boolean onlyInTime, Victims victims) {
        CandidateNode node = findNodeBeingFreed(group, onlyInTime);
        return node != null || victims == null ? node : victims.preemptCheapest(onlyInTime);
    }

    private CandidateNode findNodeBeingFreed(TaskGroup group, boolean onlyInTime) {
        plan.evaluations += nodesBeingFreed.size();
        for (CandidateNode node : nodesBeingFreed) {
            if (node.fitsAfterStops(group.spec)
                    && !node.fits(group.spec)
                    && node.allows(group)
                    && (!onlyInTime || BinPacking.startsInTime(group, node))) {
                return node;
            }
        }
        return null;
    }

    /**
     * Returns true if the task may be stopped for the group. No team is brought below its guarantee for another team's:
     * it would preempt in return at once, and both teams would lose work repeatedly.
     */
    private boolean mayStop(TaskGroup group, boolean withinGuarantee, CandidateNode.RunningTask task) {
        int priorityOrder = task.spec.priority().compareTo(group.spec.priority());
        if (priorityOrder < 0 && task.teamIndex == group.teamIndex) {
            return true;
        }
        boolean teamCanSpare = input.teams().get(task.teamIndex).canSpare(task.spec);
        if (priorityOrder < 0) {
            return withinGuarantee || teamCanSpare;
        }
        return priorityOrder == 0
                && withinGuarantee
                && teamCanSpare
                && task.teamIndex != group.teamIndex
                && !task.spec.service();
    }

    /**
     * The tasks that may be stopped for one group. The group's tasks are identical, so each node is evaluated once, and
     * again only when it becomes the cheapest, because every stop reduces what a team can spare.
     */
    final class Victims {
        private final TaskGroup group;
        private final boolean withinGuarantee;
        /** Null until the first search. */
        private PriorityQueue<Candidate> candidates;

        private Candidate lastPreempted;

        private Victims(TaskGroup group, boolean withinGuarantee) {
            this.group = group;
            this.withinGuarantee = withinGuarantee;
        }

        /** Stops the cheapest set of tasks that makes room for one task, and returns its node, or null if there is none. */
        private CandidateNode preemptCheapest(boolean onlyInTime) {
            updateCandidates();
            while (!candidates.isEmpty()) {
                if (onlyInTime && candidates.peek().score() >= LATE_START_COST) {
                    return null;
                }
                Candidate queued = candidates.poll();
                plan.evaluations++;
                Candidate current = evaluate(queued.index(), queued.node());
                if (current == null) {
                    continue;
                }
                if (current.score() > queued.score()) {
                    candidates.add(current);
                    continue;
                }
                preempt(current);
                lastPreempted = current;
                return current.node();
            }
            return null;
        }

        private void updateCandidates() {
            if (lastPreempted != null) {
                // This node is evaluated again only now: before the previous task took its room, the node seemed
                // to need no further stops.
                addCandidate(lastPreempted.index(), lastPreempted.node());
                lastPreempted = null;
            }
            if (candidates == null) {
                candidates = new PriorityQueue<>();
                plan.evaluations += nodesWithStoppableTasks.size();
                for (int index = 0; index < nodesWithStoppableTasks.size(); index++) {
                    addCandidate(index, nodesWithStoppableTasks.get(index));
                }
            }
        }

        private void addCandidate(int index, CandidateNode node) {
            Candidate candidate = evaluate(index, node);
            if (candidate != null) {
                candidates.add(candidate);
            }
        }

        /** Returns the tasks to stop on the node for one task and their cost, or null if stopping cannot make room. */
        private Candidate evaluate(int index, CandidateNode node) {
            if (!node.allows(group)) {
                return null;
            }
            List<CandidateNode.RunningTask> stoppableTasks = stoppableTasks(node);
            if (stoppableTasks.isEmpty()) {
                return null;
            }
            stoppableTasks.sort(STOP_ORDER);
            List<CandidateNode.RunningTask> tasksToStop = new ArrayList<>();
            Room room = node.roomAfterStops();
            double cost = 0;
            for (CandidateNode.RunningTask task : stoppableTasks) {
                if (room.fits(group.spec)) {
                    break;
                }
                if (!mayStop(group, withinGuarantee, task)) {
                    // Its team can spare no more than the tasks chosen before.
                    continue;
                }
                tasksToStop.add(task);
                input.teams().get(task.teamIndex).markStopping(task.spec);
                room.release(task.spec);
                cost += task.spec.cpus() * (input.now() - task.startedAtMs + STOP_COST_MS);
            }
            tasksToStop.forEach(task -> input.teams().get(task.teamIndex).unmarkStopping(task.spec));
            return room.fits(group.spec) && !tasksToStop.isEmpty()
                    ? new Candidate(
                            cost + (BinPacking.startsInTime(group, node) ? 0 : LATE_START_COST),
                            index,
                            node,
                            tasksToStop)
                    : null;
        }

        private List<CandidateNode.RunningTask> stoppableTasks(CandidateNode node) {
            // Most nodes have no stoppable task, so the list is created only when needed.
            List<CandidateNode.RunningTask> tasks = List.of();
            for (CandidateNode.RunningTask task : node.runningTasks) {
                if (!task.stopping && task.spec != null && mayStop(group, withinGuarantee, task)) {
                    if (tasks.isEmpty()) {
                        tasks = new ArrayList<>();
                    }
                    tasks.add(task);
                }
            }
            return tasks;
        }

        private void preempt(Candidate candidate) {
            for (CandidateNode.RunningTask task : candidate.preemptions()) {
                task.stopping = true;
                task.skipSave = group.startTargetS > 0
                        && task.spec.saveS() > group.startTargetS * MAX_SAVE_SHARE
                        && Math.min(task.elapsedS, task.spec.checkpointS()) < MAX_LOST_WORK_S;
                input.teams().get(task.teamIndex).markStopping(task.spec);
                candidate.node().addRoomAfterStops(task.spec);
                plan.tasksToStop.add(task);
            }
            nodesBeingFreed.add(candidate.node());
        }
    }
}
