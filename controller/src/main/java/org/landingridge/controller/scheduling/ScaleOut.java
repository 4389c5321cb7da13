package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.wire.MachineType;

/**
 * Scales out in one scheduling cycle. Waiting tasks are packed onto machines that are starting, then onto new cheap
 * machines while the cloud has capacity. Expensive machines are rented for work within a guarantee and for work that cannot
 * wait for boots; for work that can wait, no more are rented than {@link QueueDemand} computes.
 */
final class ScaleOut {
    /** Factor on expected run times, whose estimates can be off by half: two consecutive runs may take as long as three. */
    private static final double ROUND_MARGIN = 1.3;
    /** Maximum number of machines per request to the cloud; the next cycle can request more. */
    private static final int MAX_RENT = 50;
    /** Factor on the boot time that the cloud states. */
    private static final double BOOT_MARGIN = 1.3;
    /** Relative cost per machine in a zone: at equal prices the zone with the fewest machines wins, to limit a zone's loss. */
    private static final double ZONE_COST = 1e-3;

    private static final boolean[] SPOT_FIRST = {true, false};
    private static final boolean[] ORDINARY_ONLY = {false};

    /** Machines of one type in one zone. */
    private record Pool(MachineType type, String zone, boolean spot) {
        String key() {
            return Scheduler.pool(type.name(), zone, spot);
        }
    }

    private final Scheduler.Input input;
    private final SchedulingPlan plan;
    private final Prices prices;
    private final Map<String, Integer> machinesByZone = new HashMap<>();
    /** Machines that are starting, including those that this cycle adds. */
    private final List<CandidateNode> coming = new ArrayList<>();
    /** Machines to rent, by pool key, in the order of first demand. */
    private final Map<String, SchedulingPlan.Rent> rents = new LinkedHashMap<>();

    private final double bootS;
    /** CPUs of expensive machines that this cycle may still rent. */
    private double expensiveBudget = Double.MAX_VALUE;

    ScaleOut(Scheduler.Input input, SchedulingPlan plan) {
        this.input = input;
        this.plan = plan;
        this.prices = new Prices(input.types());
        for (CandidateNode node : input.nodes()) {
            machinesByZone.merge(node.zone, 1, Integer::sum);
            if (!node.up) {
                coming.add(node);
            }
        }
        double longestBootS = 0;
        for (MachineType type : input.types()) {
            longestBootS = Math.max(longestBootS, type.bootS() * BOOT_MARGIN);
        }
        bootS = longestBootS;
    }

    /** Rents machines for unplaced tasks, given by group: those within their team's guarantee, and those beyond it. */
    void run(Map<TaskGroup, Integer> within, Map<TaskGroup, Integer> beyond) {
        Map<TaskGroup, Integer> left = new LinkedHashMap<>();
        Map<TaskGroup, Integer> mayWait = new LinkedHashMap<>();
        within.forEach((group, count) -> packCheaply(group, count, left));
        beyond.forEach((group, count) -> packCheaply(group, count, group.mayWaitForBoots ? mayWait : left));
        left.forEach((group, count) -> pack(group, Math.min(count, slots(group, count)), true));
        if (!mayWait.isEmpty()) {
            packWithinDemand(mayWait, within, beyond);
        }
        if (input.spare() != null && input.spare().like() != null) {
            packSpare(input.spare());
        }
        plan.rents.addAll(rents.values());
    }

    private void packCheaply(TaskGroup group, int count, Map<TaskGroup, Integer> left) {
        int rest = pack(group, count, false);
        if (rest > 0) {
            left.put(group, rest);
        }
    }

    private void packWithinDemand(
            Map<TaskGroup, Integer> mayWait, Map<TaskGroup, Integer> within, Map<TaskGroup, Integer> beyond) {
        expensiveBudget = new QueueDemand(input, coming, bootS).processors(within, beyond);
        mayWait.forEach((group, count) -> pack(group, count, true));
        expensiveBudget = Double.MAX_VALUE;
    }

    private void packSpare(Scheduler.Spare spare) {
        TaskGroup replicas = new TaskGroup(spare.like(), null, Long.MAX_VALUE, 0, 0);
        int missing = spare.tasks();
        for (CandidateNode node : input.nodes()) {
            if (!node.spot && node.up && node.allows(replicas)) {
                missing -= node.roomFor(spare.like());
            }
        }
        pack(replicas, missing, true);
    }

    /**
     * Returns the number of slots worth renting for this many waiting tasks. If there is time before the job is due, one
     * slot runs several tasks in turn, and slots of the job's running tasks are reused.
     */
    private int slots(TaskGroup group, int count) {
        if (group.due == Long.MAX_VALUE || group.runS <= 0) {
            return count;
        }
        double leftS = (group.due - input.now()) / 1000.0;
        double eachS = group.runS * ROUND_MARGIN + 1;
        int turns = (int) Math.max(1, (leftS - bootS - longestFetchS(group)) / eachS);
        int running =
                group.perZone.values().stream().mapToInt(Integer::intValue).sum();
        int served = running * (int) Math.max(0, (leftS - eachS / 2) / eachS);
        return Math.max(0, (count - served + turns - 1) / turns);
    }

    private double longestFetchS(TaskGroup group) {
        double longest = 0;
        for (MachineType type : input.types()) {
            if (type.fits(group.spec)) {
                longest = Math.max(longest, group.spec.imageGb() / Math.max(0.01, type.fetchGbPerS()));
            }
        }
        return longest;
    }

    /**
     * Packs tasks of a group onto starting machines, then onto new ones while the cloud has capacity.
     *
     * @param tasks     number of tasks to pack
     * @param expensive whether expensive machines may be rented
     * @return number of tasks that found no room
     */
    private int pack(TaskGroup group, int tasks, boolean expensive) {
        int next = 0;
        for (int left = tasks; left > 0; left--) {
            plan.steps++;
            while (next < coming.size() && !hasRoom(coming.get(next), group)) {
                plan.steps++;
                next++;
            }
            if (next == coming.size()) {
                Pool pool = cheapest(group, expensive);
                if (pool == null) {
                    return left;
                }
                rent(pool);
            }
            coming.get(next).take(group.spec);
        }
        return 0;
    }

    private static boolean hasRoom(CandidateNode node, TaskGroup group) {
        return node.fits(group.spec) && node.allows(group);
    }

    private void rent(Pool pool) {
        coming.add(new CandidateNode(pool.type, pool.zone, pool.spot, null, false, Set.of()));
        machinesByZone.merge(pool.zone, 1, Integer::sum);
        String key = pool.key();
        rents.put(key, new SchedulingPlan.Rent(pool.type.name(), pool.zone, pool.spot, rented(key) + 1));
        expensiveBudget -= prices.expensive(pool.type, pool.spot) ? pool.type.cpus() : 0;
    }

    private int rented(String key) {
        SchedulingPlan.Rent rent = rents.get(key);
        return rent == null ? 0 : rent.count();
    }

    /** Returns the cheapest pool for a task of the group, or null if this cycle can rent no suitable machine. */
    private Pool cheapest(TaskGroup group, boolean expensive) {
        for (boolean spot : group.spec.spot() ? SPOT_FIRST : ORDINARY_ONLY) {
            Pool pool = cheapest(group, spot, expensive && expensiveBudget > 0);
            if (pool != null) {
                return pool;
            }
        }
        return null;
    }

    private Pool cheapest(TaskGroup group, boolean spot, boolean expensive) {
        Pool best = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineType type : input.types()) {
            if (!type.fits(group.spec) || (!expensive && prices.expensive(type, spot))) {
                continue;
            }
            double share = shareOf(type, group);
            for (String zone : type.zones()) {
                Pool pool = new Pool(type, zone, spot);
                if (!group.zoneAllowed(zone) || !available(pool.key())) {
                    continue;
                }
                double cost = Prices.of(type, spot) * share * (1 + ZONE_COST * machinesByZone.getOrDefault(zone, 0));
                if (cost < bestCost) {
                    bestCost = cost;
                    best = pool;
                }
            }
        }
        return best;
    }

    /** Returns the share of a machine that one task takes. */
    private static double shareOf(MachineType type, TaskGroup group) {
        double ofMemory = type.memoryGb() > 0 ? group.spec.memoryGb() / type.memoryGb() : 0;
        return Math.max(group.spec.cpus() / type.cpus(), ofMemory);
    }

    private boolean available(String pool) {
        return input.noCapacityUntil().getOrDefault(pool, 0L) <= input.now() && rented(pool) < MAX_RENT;
    }
}
