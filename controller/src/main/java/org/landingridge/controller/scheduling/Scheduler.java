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
     * @param now                   current time, in milliseconds of the event loop's clock
     * @param teams                 the teams' quotas; team indexes of groups and tasks refer to this list
     * @param machineTypes          the cloud's machine types
     * @param noCapacityUntilByPool time until which the cloud is not asked for machines of a pool, by {@link #poolKey} key
     * @param serviceReserve        room to keep free for services, or null if there are none
     * @param idleTimeoutMs         how long an idle machine is kept, in milliseconds
     * @param cpusToKeep            CPUs to keep up, from recent demand within the guarantees; Double.MAX_VALUE keeps all
     */
    public record Input(
            long now,
            List<CandidateNode> nodes,
            List<TaskGroup> groups,
            List<TeamQuota> teams,
            List<MachineType> machineTypes,
            Map<String, Long> noCapacityUntilByPool,
            ServiceReserve serviceReserve,
            long idleTimeoutMs,
            double cpusToKeep) {}

    /** Room kept free for services, as a number of additional tasks of the given size. */
    public record ServiceReserve(JobSpec taskSpec, int tasks) {}

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
    public static String poolKey(String type, String zone, boolean spot) {
        return type + '/' + zone + (spot ? "/spot" : "/ordinary");
    }

    private SchedulingPlan run() {
        List<TaskGroup> sortedGroups = GroupOrder.sortedGroups(input);
        Map<TaskGroup, Integer> unplacedWithinGuarantee = new LinkedHashMap<>();
        Map<TaskGroup, Integer> unplacedBeyondGuarantee = new LinkedHashMap<>();
        for (TaskGroup group : placeWithinGuarantees(sortedGroups, unplacedWithinGuarantee)) {
            new GroupPlacement(group, false, unplacedBeyondGuarantee).placeTasks();
        }
        new ScaleOut(input, plan).run(unplacedWithinGuarantee, unplacedBeyondGuarantee);
        new ScaleIn(input, plan).run();
        return plan;
    }

    /** Places tasks within the teams' guarantees; returns the groups with tasks beyond the guarantee, in the same order. */
    private List<TaskGroup> placeWithinGuarantees(List<TaskGroup> sortedGroups, Map<TaskGroup, Integer> unplaced) {
        List<TaskGroup> groupsBeyondGuarantee = new ArrayList<>();
        Priority lowestPriority = sortedGroups.isEmpty()
                ? null
                : sortedGroups.get(sortedGroups.size() - 1).spec.priority();
        for (TaskGroup group : sortedGroups) {
            if (group.blockedTasks > 0 && group.spec.priority().compareTo(lowestPriority) > 0) {
                packing.reserveRoom(group);
            }
            if (group.waitingTasks > 0 && new GroupPlacement(group, true, unplaced).placeTasks()) {
                groupsBeyondGuarantee.add(group);
            }
        }
        return groupsBeyondGuarantee;
    }

    /** Places the waiting tasks of one group, one after the other. */
    private final class GroupPlacement {
        private final TaskGroup group;
        private final boolean withinGuarantee;
        private final Map<TaskGroup, Integer> unplaced;
        private final TeamQuota team;
        private final Preemption.Victims victims;
        /** Null until the quota permits a first task. */
        private PriorityQueue<Candidate> candidates;

        /** @param unplaced receives the number of tasks without room, by group */
        GroupPlacement(TaskGroup group, boolean withinGuarantee, Map<TaskGroup, Integer> unplaced) {
            this.group = group;
            this.withinGuarantee = withinGuarantee;
            this.unplaced = unplaced;
            team = input.teams.get(group.teamIndex);
            victims = preemption.victims(group, withinGuarantee);
        }

        /** Places tasks; returns true if others wait that are beyond the team's guarantee but within its limit. */
        boolean placeTasks() {
            while (group.waitingTasks > 0) {
                int allowedTasks = team.additionalTasks(group.spec, withinGuarantee, group.waitingTasks);
                if (allowedTasks == 0) {
                    return withinGuarantee && team.additionalTasks(group.spec, false, 1) > 0;
                }
                if (candidates == null) {
                    candidates = packing.findCandidates(group);
                }
                CandidateNode node = placeTask();
                if (node == null) {
                    recordUnplaced(allowedTasks);
                } else {
                    group.tasksByZone.merge(node.zone, 1, Integer::sum);
                    team.add(group.spec, 1);
                    group.waitingTasks--;
                }
            }
            return false;
        }

        /** Places a task or makes room for it; returns the node, or null if there is no room. */
        private CandidateNode placeTask() {
            Candidate best = BinPacking.pollAllowed(group, candidates);
            boolean startsLate = best != null && !BinPacking.startsInTime(group, best.node());
            // If the best free node would start the task late because it must fetch the image, make room on a node that
            // has the image.
            if ((best == null || startsLate) && !group.probing) {
                CandidateNode freed = preemption.makeRoom(group, startsLate, victims);
                if (freed != null) {
                    freed.takeRoomAfterStops(group.spec);
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
            BinPacking.takeRoom(group, best, candidates);
            return best.node();
        }

        /**
         * Records tasks without room as unplaced. The tasks of a group are identical, so if one finds no room, the others
         * find none either. {@link ScaleOut} later finds machines for all of them at once.
         */
        private void recordUnplaced(int tasks) {
            if (!group.probing) {
                unplaced.merge(group, tasks, Integer::sum);
                plan.unplacedTasks += tasks;
            }
            team.add(group.spec, tasks);
            group.waitingTasks -= tasks;
        }
    }
}
