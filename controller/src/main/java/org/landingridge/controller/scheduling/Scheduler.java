package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.Priority;

/**
 * One scheduling cycle. {@link GroupOrder} sorts the task groups; {@link BinPacking} places their tasks, first within the
 * teams' guarantees and then beyond, and {@link Preemption} makes room. {@link ScaleOut} rents machines for unplaced tasks,
 * and {@link ScaleIn} returns unneeded ones. The plan is a pure function of the input: the same input gives the same plan.
 */
public final class Scheduler {
    /**
     * The input of one cycle. The cycle modifies the nodes, groups and teams, so they cannot be reused.
     *
     * @param now             current time, in milliseconds of the event loop's clock
     * @param teams           the teams' quotas; team indexes of groups and tasks refer to this list
     * @param types           the cloud's machine types
     * @param noCapacityUntil time until which the cloud is not asked for machines of a pool, by {@link #pool} key
     * @param spare           room to keep free for services, or null if there are none
     * @param idleMs          how long an idle machine is kept, in milliseconds
     * @param standing        CPUs to keep up, from the recent demand within the teams' guarantees; Double.MAX_VALUE keeps all
     */
    public record Input(
            long now,
            List<CandidateNode> nodes,
            List<TaskGroup> groups,
            List<Team> teams,
            List<MachineType> types,
            Map<String, Long> noCapacityUntil,
            Spare spare,
            long idleMs,
            double standing) {}

    /** Room kept free for services, as a number of additional tasks of the given size. */
    public record Spare(JobSpec like, int tasks) {}

    private final Input input;
    private final SchedulingPlan plan = new SchedulingPlan();
    private final BinPacking packing;
    private final Preemption preemption;

    private Scheduler(Input input) {
        this.input = input;
        this.packing = new BinPacking(input.nodes, plan);
        this.preemption = new Preemption(input, plan);
    }

    /** Computes the plan of one cycle. */
    public static SchedulingPlan plan(Input input) {
        return new Scheduler(input).run();
    }

    /** Returns the key of a machine pool, under which a lack of capacity is recorded. */
    public static String pool(String type, String zone, boolean spot) {
        return type + '/' + zone + (spot ? "/spot" : "/ordinary");
    }

    private SchedulingPlan run() {
        List<TaskGroup> order = GroupOrder.of(input);
        Map<TaskGroup, Integer> within = new LinkedHashMap<>();
        Map<TaskGroup, Integer> beyond = new LinkedHashMap<>();
        for (TaskGroup group : placeGuaranteed(order, within)) {
            new Placing(group, false, beyond).run();
        }
        new ScaleOut(input, plan).run(within, beyond);
        new ScaleIn(input, plan).run();
        return plan;
    }

    /** Places tasks within the teams' guarantees; returns the groups with tasks beyond the guarantee, in the same order. */
    private List<TaskGroup> placeGuaranteed(List<TaskGroup> order, Map<TaskGroup, Integer> unplaced) {
        List<TaskGroup> borrowing = new ArrayList<>();
        Priority least =
                order.isEmpty() ? null : order.get(order.size() - 1).spec.priority();
        for (TaskGroup group : order) {
            if (group.blocked > 0 && group.spec.priority().compareTo(least) > 0) {
                packing.reserve(group);
            }
            if (group.waiting > 0 && new Placing(group, true, unplaced).run()) {
                borrowing.add(group);
            }
        }
        return borrowing;
    }

    /** Places the waiting tasks of one group, one after the other. */
    private final class Placing {
        private final TaskGroup group;
        private final boolean guaranteed;
        private final Map<TaskGroup, Integer> unplaced;
        private final Team team;
        private final Preemption.Victims victims;
        /** Null until the quota permits a first task. */
        private PriorityQueue<Candidate> candidates;

        /** @param unplaced receives the number of tasks without room, by group */
        Placing(TaskGroup group, boolean guaranteed, Map<TaskGroup, Integer> unplaced) {
            this.group = group;
            this.guaranteed = guaranteed;
            this.unplaced = unplaced;
            team = input.teams.get(group.team);
            victims = preemption.victims(group, guaranteed);
        }

        /** Places tasks; returns true if others wait that are beyond the team's guarantee but within its limit. */
        boolean run() {
            while (group.waiting > 0) {
                int within = team.more(group.spec, guaranteed, group.waiting);
                if (within == 0) {
                    return guaranteed && team.more(group.spec, false, 1) > 0;
                }
                if (candidates == null) {
                    candidates = packing.candidates(group);
                }
                CandidateNode node = placeOne();
                if (node == null) {
                    giveUp(within);
                } else {
                    group.perZone.merge(node.zone, 1, Integer::sum);
                    team.add(group.spec, 1);
                    group.waiting--;
                }
            }
            return false;
        }

        /** Places a task or makes room for it; returns the node, or null if there is no room. */
        private CandidateNode placeOne() {
            Candidate best = BinPacking.next(group, candidates);
            boolean late = best != null && !BinPacking.startsInTime(group, best.node());
            // If every node with free room must fetch the image for too long, make room on a node that has the image.
            if ((best == null || late) && !group.probing) {
                CandidateNode freed = preemption.makeRoom(group, late, victims);
                if (freed != null) {
                    freed.takeSoon(group.spec);
                    if (best != null) {
                        candidates.add(best);
                    }
                    return freed;
                }
            }
            if (best == null) {
                return null;
            }
            plan.placements.add(new SchedulingPlan.Placement(group, best.node()));
            BinPacking.take(group, best, candidates);
            return best.node();
        }

        /**
         * Records tasks without room as unplaced. The tasks of a group are identical, so if one finds no room, the others
         * find none either. {@link ScaleOut} later finds machines for all of them at once.
         */
        private void giveUp(int tasks) {
            if (!group.probing) {
                unplaced.merge(group, tasks, Integer::sum);
                plan.unplaced += tasks;
            }
            team.add(group.spec, tasks);
            group.waiting -= tasks;
        }
    }
}
