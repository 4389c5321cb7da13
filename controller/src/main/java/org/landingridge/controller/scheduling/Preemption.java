package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.landingridge.wire.Priority;

/**
 * Makes room for a group by stopping other work: work of lower priority, or what another team has borrowed beyond its
 * guarantee. Room that comes free by itself is used first.
 */
final class Preemption {
    /** Of the time within which a task should start, so much may pass while another one saves. */
    private static final double WAIT_FOR_SAVE = 0.4;
    /** More work than this, in seconds of its run, is not thrown away for a task that starts in time. */
    private static final double MOST_LOST_S = 60;
    /** Added to the cost of a node on which the task would start late. */
    private static final double LATE_COST = 1e9;
    /** Stopping a task costs so many milliseconds beside what it has run. */
    private static final long STOP_COST_MS = 1_000;

    /** Least priority first, and least work lost: what started last. */
    private static final Comparator<CandidateNode.Running> FIRST_TO_STOP = Comparator.comparing(
                    (CandidateNode.Running running) -> running.spec.priority())
            .thenComparing(running -> -running.startedAt);

    private final Scheduler.Input input;
    private final SchedulingPlan plan;
    /** Nodes on which room comes free, since something is stopping there. */
    private final Set<CandidateNode> freeing = new LinkedHashSet<>();
    /** Nodes on which anything could be stopped at all. */
    private final List<CandidateNode> stoppable = new ArrayList<>();
    /** The least priority of work that could be stopped, or null: nothing is sought for groups that may not stop it. */
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

    /** What may be stopped for the group's tasks, or null where there is certainly nothing on any node. */
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
     * Finds a node on which room for one task comes free, and stops work where none does by itself.
     *
     * @param onlyInTime true if only nodes count on which the task starts in time
     * @param victims    what may be stopped, or null
     * @return the node, or null where no room can be made
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
     * No team is brought below its own guarantee for another's: it would take the room back at once, and both would lose
     * their work again and again.
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
     * What may be stopped for a group's tasks. They are alike: each node is evaluated once, and again only when its turn
     * comes, since what a team can spare shrinks with every stop.
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

        /** Stops what costs least; the node on which that makes room for one task, or null. */
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
                // Evaluated only now: until the task that it was for has taken its room, nothing more seems needed
                // there.
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

        /** What would have to be stopped on the node for one task, at what cost; null where that makes no room. */
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
                    // The ones before it are all that its team can spare.
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
            // Most nodes have nothing to be stopped: no list is made for them.
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
