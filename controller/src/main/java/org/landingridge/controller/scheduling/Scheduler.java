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
 * One scheduling cycle: groups in the order of {@link GroupOrder}, first within the teams' guarantees and then beyond, are
 * placed by {@link BinPacking}, with room made by {@link Preemption}; {@link ScaleOut} rents for what found none, and
 * {@link ScaleIn} returns what is not needed. A pure function of its input: the same input gives the same plan.
 */
public final class Scheduler {
    /**
     * Everything that one cycle is decided from. Nodes, groups and teams are consumed: the cycle counts down in them.
     *
     * @param now             milliseconds of the event loop's clock
     * @param teams           in the order to which the groups' and the tasks' team indexes refer
     * @param types           the cloud's machine types
     * @param noCapacityUntil by {@link #pool}: until when the cloud is not asked there
     * @param spare           standing room for services, or null where there are none
     * @param idleMs          how long an idle machine is kept
     * @param standing        processors that were asked for lately within the teams' guarantees: so many are kept up
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

    /** Standing room for services: so many more tasks of this size are to find room at once. */
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

    /** Decides one cycle. */
    public static SchedulingPlan plan(Input input) {
        return new Scheduler(input).run();
    }

    /** The key under which a lack of capacity is remembered. */
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

    /** Places what lies within the teams' guarantees; the groups of which tasks beyond them wait, in the same order. */
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

    /** Placing the waiting tasks of one group, one after the other. */
    private final class Placing {
        private final TaskGroup group;
        private final boolean guaranteed;
        private final Map<TaskGroup, Integer> unplaced;
        private final Team team;
        private final Preemption.Victims victims;
        /** Null until a task may be placed at all. */
        private PriorityQueue<Candidate> candidates;

        /** @param unplaced is given the tasks for which there is no room now */
        Placing(TaskGroup group, boolean guaranteed, Map<TaskGroup, Integer> unplaced) {
            this.group = group;
            this.guaranteed = guaranteed;
            this.unplaced = unplaced;
            team = input.teams.get(group.team);
            victims = preemption.victims(group, guaranteed);
        }

        /** Places what it can; true if tasks wait that lie beyond the team's guarantee but within its limit. */
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

        /** Places a task, or makes room for it; the node, or null. */
        private CandidateNode placeOne() {
            Candidate best = BinPacking.next(group, candidates);
            boolean late = best != null && !BinPacking.startsInTime(group, best.node());
            // A free machine that must fetch the image first is too slow where a start is expected sooner: then room
            // is made on one that has it.
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
         * The tasks of a group are alike: where one finds no room, the others find none either. Room on machines that are
         * still to come is sought by {@link ScaleOut}, for all at once.
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
