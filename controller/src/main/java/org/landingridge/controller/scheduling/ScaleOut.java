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
    private static final double RUN_TIME_MARGIN = 1.3;
    /** Maximum number of machines per request to the cloud; the next cycle can request more. */
    private static final int MAX_MACHINES_PER_REQUEST = 50;
    /** Factor on the boot time that the cloud states. */
    private static final double BOOT_TIME_MARGIN = 1.3;
    /** Relative cost per machine in a zone: at equal prices the zone with the fewest machines wins, to limit a zone's loss. */
    private static final double COST_PER_ZONE_MACHINE = 1e-3;

    private static final boolean[] SPOT_FIRST = {true, false};
    private static final boolean[] ON_DEMAND_ONLY = {false};

    /** Machines of one type in one zone. */
    private record Pool(MachineType type, String zone, boolean spot) {
        String key() {
            return Scheduler.poolKey(type.name(), zone, spot);
        }
    }

    private final Scheduler.Input input;
    private final SchedulingPlan plan;
    private final Prices prices;
    private final Map<String, Integer> machinesByZone = new HashMap<>();
    /** Machines that are starting, including those that this cycle adds. */
    private final List<CandidateNode> startingNodes = new ArrayList<>();
    /** Machines to rent, by pool key, in the order of first demand. */
    private final Map<String, SchedulingPlan.Rent> rentsByPool = new LinkedHashMap<>();

    private final double bootS;
    /** CPUs of expensive machines that this cycle may still rent. */
    private double expensiveCpuBudget = Double.MAX_VALUE;

    ScaleOut(Scheduler.Input input, SchedulingPlan plan) {
        this.input = input;
        this.plan = plan;
        this.prices = new Prices(input.machineTypes());
        for (CandidateNode node : input.nodes()) {
            machinesByZone.merge(node.zone, 1, Integer::sum);
            if (!node.up) {
                startingNodes.add(node);
            }
        }
        double longestBootS = 0;
        for (MachineType type : input.machineTypes()) {
            longestBootS = Math.max(longestBootS, type.bootS() * BOOT_TIME_MARGIN);
        }
        bootS = longestBootS;
    }

    /** Rents machines for unplaced tasks, given by group: those within their team's guarantee, and those beyond it. */
    void run(Map<TaskGroup, Integer> unplacedWithinGuarantee, Map<TaskGroup, Integer> unplacedBeyondGuarantee) {
        Map<TaskGroup, Integer> urgentTasks = new LinkedHashMap<>();
        Map<TaskGroup, Integer> tasksThatCanWait = new LinkedHashMap<>();
        unplacedWithinGuarantee.forEach((group, count) -> packOnCheapMachines(group, count, urgentTasks));
        unplacedBeyondGuarantee.forEach((group, count) ->
                packOnCheapMachines(group, count, group.mayWaitForBoots ? tasksThatCanWait : urgentTasks));
        urgentTasks.forEach((group, count) -> pack(group, Math.min(count, slotsToRent(group, count)), true));
        if (!tasksThatCanWait.isEmpty()) {
            packWithinDemand(tasksThatCanWait, unplacedWithinGuarantee, unplacedBeyondGuarantee);
        }
        if (input.serviceReserve() != null && input.serviceReserve().taskSpec() != null) {
            packServiceReserve(input.serviceReserve());
        }
        plan.rents.addAll(rentsByPool.values());
    }

    private void packOnCheapMachines(TaskGroup group, int count, Map<TaskGroup, Integer> remaining) {
        int unplacedTasks = pack(group, count, false);
        if (unplacedTasks > 0) {
            remaining.put(group, unplacedTasks);
        }
    }

    private void packWithinDemand(
            Map<TaskGroup, Integer> tasksThatCanWait,
            Map<TaskGroup, Integer> unplacedWithinGuarantee,
            Map<TaskGroup, Integer> unplacedBeyondGuarantee) {
        expensiveCpuBudget = new QueueDemand(input, startingNodes, bootS)
                .additionalCpus(unplacedWithinGuarantee, unplacedBeyondGuarantee);
        tasksThatCanWait.forEach((group, count) -> pack(group, count, true));
        expensiveCpuBudget = Double.MAX_VALUE;
    }

    private void packServiceReserve(Scheduler.ServiceReserve serviceReserve) {
        TaskGroup serviceGroup = new TaskGroup(serviceReserve.taskSpec(), null, Long.MAX_VALUE, 0, 0);
        int missingTasks = serviceReserve.tasks();
        for (CandidateNode node : input.nodes()) {
            if (!node.spot && node.up && node.allows(serviceGroup)) {
                missingTasks -= node.taskCapacity(serviceReserve.taskSpec());
            }
        }
        pack(serviceGroup, missingTasks, true);
    }

    /**
     * Returns the number of slots worth renting for this many waiting tasks. If there is time before the job is due, one
     * slot runs several tasks in turn, and slots of the job's running tasks are reused.
     */
    private int slotsToRent(TaskGroup group, int count) {
        if (group.deadlineMs == Long.MAX_VALUE || group.expectedRunS <= 0) {
            return count;
        }
        double timeLeftS = (group.deadlineMs - input.now()) / 1000.0;
        double secondsPerTask = group.expectedRunS * RUN_TIME_MARGIN + 1;
        int tasksPerSlot = (int) Math.max(1, (timeLeftS - bootS - longestFetchS(group)) / secondsPerTask);
        int runningTasks =
                group.tasksByZone.values().stream().mapToInt(Integer::intValue).sum();
        int tasksForRunningSlots = runningTasks * (int) Math.max(0, (timeLeftS - secondsPerTask / 2) / secondsPerTask);
        return Math.max(0, (count - tasksForRunningSlots + tasksPerSlot - 1) / tasksPerSlot);
    }

    private double longestFetchS(TaskGroup group) {
        double longestS = 0;
        for (MachineType type : input.machineTypes()) {
            if (type.fits(group.spec)) {
                longestS = Math.max(longestS, group.spec.imageGb() / Math.max(0.01, type.fetchGbPerS()));
            }
        }
        return longestS;
    }

    /**
     * Packs tasks of a group onto starting machines, then onto new ones while the cloud has capacity.
     *
     * @param tasks          number of tasks to pack
     * @param allowExpensive whether expensive machines may be rented
     * @return number of tasks that found no room
     */
    private int pack(TaskGroup group, int tasks, boolean allowExpensive) {
        int index = 0;
        for (int remaining = tasks; remaining > 0; remaining--) {
            plan.evaluations++;
            while (index < startingNodes.size() && !hasRoom(startingNodes.get(index), group)) {
                plan.evaluations++;
                index++;
            }
            if (index == startingNodes.size()) {
                Pool pool = cheapestPool(group, allowExpensive);
                if (pool == null) {
                    return remaining;
                }
                rent(pool);
            }
            startingNodes.get(index).takeRoom(group.spec);
        }
        return 0;
    }

    private static boolean hasRoom(CandidateNode node, TaskGroup group) {
        return node.willFit(group.spec) && node.allows(group);
    }

    private void rent(Pool pool) {
        startingNodes.add(new CandidateNode(pool.type, pool.zone, pool.spot, null, false, Set.of()));
        machinesByZone.merge(pool.zone, 1, Integer::sum);
        String key = pool.key();
        rentsByPool.put(key, new SchedulingPlan.Rent(pool.type.name(), pool.zone, pool.spot, rentedCount(key) + 1));
        expensiveCpuBudget -= prices.isExpensive(pool.type, pool.spot) ? pool.type.cpus() : 0;
    }

    private int rentedCount(String key) {
        SchedulingPlan.Rent rent = rentsByPool.get(key);
        return rent == null ? 0 : rent.count();
    }

    /** Returns the cheapest pool for a task of the group, or null if this cycle can rent no suitable machine. */
    private Pool cheapestPool(TaskGroup group, boolean allowExpensive) {
        for (boolean spot : group.spec.spot() ? SPOT_FIRST : ON_DEMAND_ONLY) {
            Pool pool = cheapestPool(group, spot, allowExpensive && expensiveCpuBudget > 0);
            if (pool != null) {
                return pool;
            }
        }
        return null;
    }

    private Pool cheapestPool(TaskGroup group, boolean spot, boolean allowExpensive) {
        Pool best = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineType type : input.machineTypes()) {
            if (!type.fits(group.spec) || (!allowExpensive && prices.isExpensive(type, spot))) {
                continue;
            }
            double machineShare = machineShare(type, group);
            for (String zone : type.zones()) {
                Pool pool = new Pool(type, zone, spot);
                if (!group.allowsZone(zone) || !hasCapacity(pool.key())) {
                    continue;
                }
                double cost = Prices.machinePrice(type, spot)
                        * machineShare
                        * (1 + COST_PER_ZONE_MACHINE * machinesByZone.getOrDefault(zone, 0));
                if (cost < bestCost) {
                    bestCost = cost;
                    best = pool;
                }
            }
        }
        return best;
    }

    /** Returns the share of a machine that one task takes. */
    private static double machineShare(MachineType type, TaskGroup group) {
        double memoryShare = type.memoryGb() > 0 ? group.spec.memoryGb() / type.memoryGb() : 0;
        return Math.max(group.spec.cpus() / type.cpus(), memoryShare);
    }

    private boolean hasCapacity(String pool) {
        return input.noCapacityUntilByPool().getOrDefault(pool, 0L) <= input.now()
                && rentedCount(pool) < MAX_MACHINES_PER_REQUEST;
    }
}
