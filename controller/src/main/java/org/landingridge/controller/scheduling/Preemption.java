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
    private static final double WAIT_FOR_SAVE = 0.4;
    /** A preempted task that would lose at least this much work, in seconds of run time, may always save first. */
    private static final double MOST_LOST_S = 60;
    /** Cost added to a node on which the task would start later than its target. */
    private static final double LATE_COST = 1e9;
    /** Fixed cost of stopping a task, in milliseconds, added to the time since its start. */
    private static final long STOP_COST_MS = 1_000;

    /** Lowest priority first, then the most recently started task, which loses the least work. */
    private static final Comparator<CandidateNode.Running> FIRST_TO_STOP = Comparator.comparing(
                    (CandidateNode.Running running) -> running.spec.priority())
            .thenComparing(running -> -running.startedAt);

    private final Scheduler.Input input;
    private final SchedulingPlan plan;
    /** Nodes on which tasks are stopping, so that room becomes free. */
    private final Set<CandidateNode> freeing = new LinkedHashSet<>();
    /** Nodes with at least one task that could be stopped. */
    private final List<CandidateNode> stoppable = new ArrayList<>();
    /** Lowest priority among the tasks on the nodes, or null if there are none; used to skip a search that cannot succeed. */
    private Priority least;

    Preemption(Scheduler.Input input, SchedulingPlan plan) {
        this.input = input;
        this.plan = plan;
        for (CandidateNode node : input.nodes()) {
            if (node.up) {
                index(node);
            }
        }
    }

    private void index(CandidateNode node) {
        boolean anyStoppable = false;
        for (CandidateNode.Running running : node.running) {
            if (running.spec != null
                    && (least == null || running.spec.priority().compareTo(least) < 0)) {
                least = running.spec.priority();
            }
            if (running.stopping) {
                freeing.add(node);
            }
            anyStoppable |= !running.stopping && running.spec != null;
        }
        if (anyStoppable) {
            stoppable.add(node);
        }
    }

    /** Returns the tasks that may be stopped for the group, or null if no node can have any. */
    Victims victims(TaskGroup group, boolean guaranteed) {
        return mayStopAny(group, guaranteed) ? new Victims(group, guaranteed) : null;
    }

    private boolean mayStopAny(TaskGroup group, boolean guaranteed) {
        if (least == null) {
            return false;
        }
        int order = least.compareTo(group.spec.priority());
        if (order != 0 || !guaranteed) {
            return order < 0;
        }
        for (int team = 0; team < input.teams().size(); team++) {
            if (team != group.team && input.teams().get(team).borrows()) {
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
        CandidateNode node = comingFree(group, onlyInTime);
        return node != null || victims == null ? node : victims.stop(onlyInTime);
    }

    private CandidateNode comingFree(TaskGroup group, boolean onlyInTime) {
        plan.steps += freeing.size();
        for (CandidateNode node : freeing) {
            if (node.fitsSoon(group.spec)
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
    private boolean mayStop(TaskGroup group, boolean guaranteed, CandidateNode.Running running) {
        int order = running.spec.priority().compareTo(group.spec.priority());
        if (order < 0 && running.team == group.team) {
            return true;
        }
        boolean spare = input.teams().get(running.team).canSpare(running.spec);
        if (order < 0) {
            return guaranteed || spare;
        }
        return order == 0 && guaranteed && spare && running.team != group.team && !running.spec.service();
    }

    /**
     * The tasks that may be stopped for one group. The group's tasks are identical, so each node is evaluated once, and
     * again only when it becomes the cheapest, because every stop reduces what a team can spare.
     */
    final class Victims {
        private final TaskGroup group;
        private final boolean guaranteed;
        /** Null until the first search. */
        private PriorityQueue<Candidate> choices;

        private Candidate stoppedLast;

        private Victims(TaskGroup group, boolean guaranteed) {
            this.group = group;
            this.guaranteed = guaranteed;
        }

        /** Stops the cheapest set of tasks that makes room for one task, and returns its node, or null if there is none. */
        private CandidateNode stop(boolean onlyInTime) {
            search();
            while (!choices.isEmpty()) {
                if (onlyInTime && choices.peek().score() >= LATE_COST) {
                    return null;
                }
                Candidate known = choices.poll();
                plan.steps++;
                Candidate current = evaluate(known.index(), known.node());
                if (current == null) {
                    continue;
                }
                if (current.score() > known.score()) {
                    choices.add(current);
                    continue;
                }
                carryOut(current);
                stoppedLast = current;
                return current.node();
            }
            return null;
        }

        private void search() {
            if (stoppedLast != null) {
                // This node is evaluated again only now: before the previous task took its room, the node seemed to
                // need
                // no further stops.
                add(stoppedLast.index(), stoppedLast.node());
                stoppedLast = null;
            }
            if (choices == null) {
                choices = new PriorityQueue<>();
                plan.steps += stoppable.size();
                for (int i = 0; i < stoppable.size(); i++) {
                    add(i, stoppable.get(i));
                }
            }
        }

        private void add(int index, CandidateNode node) {
            Candidate choice = evaluate(index, node);
            if (choice != null) {
                choices.add(choice);
            }
        }

        /** Returns the tasks to stop on the node for one task and their cost, or null if stopping cannot make room. */
        private Candidate evaluate(int index, CandidateNode node) {
            if (!node.allows(group)) {
                return null;
            }
            List<CandidateNode.Running> stoppableHere = stoppableOn(node);
            if (stoppableHere.isEmpty()) {
                return null;
            }
            stoppableHere.sort(FIRST_TO_STOP);
            List<CandidateNode.Running> stops = new ArrayList<>();
            double cpus = node.soonCpus();
            double gpus = node.soonGpus();
            double memory = node.soonMemory();
            double cost = 0;
            for (CandidateNode.Running running : stoppableHere) {
                if (CandidateNode.fits(group.spec, cpus, gpus, memory)) {
                    break;
                }
                if (!mayStop(group, guaranteed, running)) {
                    // Its team can spare no more than the tasks chosen before.
                    continue;
                }
                stops.add(running);
                input.teams().get(running.team).stopping(running.spec);
                cpus += running.spec.cpus();
                gpus += running.spec.gpus();
                memory += running.spec.memoryGb();
                cost += running.spec.cpus() * (input.now() - running.startedAt + STOP_COST_MS);
            }
            stops.forEach(running -> input.teams().get(running.team).notStopping(running.spec));
            return CandidateNode.fits(group.spec, cpus, gpus, memory) && !stops.isEmpty()
                    ? new Candidate(cost + (BinPacking.startsInTime(group, node) ? 0 : LATE_COST), index, node, stops)
                    : null;
        }

        private List<CandidateNode.Running> stoppableOn(CandidateNode node) {
            // Most nodes have no stoppable task, so the list is created only when needed.
            List<CandidateNode.Running> found = List.of();
            for (CandidateNode.Running running : node.running) {
                if (!running.stopping && running.spec != null && mayStop(group, guaranteed, running)) {
                    if (found.isEmpty()) {
                        found = new ArrayList<>();
                    }
                    found.add(running);
                }
            }
            return found;
        }

        private void carryOut(Candidate choice) {
            for (CandidateNode.Running running : choice.preemptions()) {
                running.stopping = true;
                running.withoutSave = group.startWithinS > 0
                        && running.spec.saveS() > group.startWithinS * WAIT_FOR_SAVE
                        && Math.min(running.ranS, running.spec.checkpointS()) < MOST_LOST_S;
                input.teams().get(running.team).stopping(running.spec);
                choice.node().freeSoon(running.spec);
                plan.stops.add(running);
            }
            freeing.add(choice.node());
        }
    }
}
