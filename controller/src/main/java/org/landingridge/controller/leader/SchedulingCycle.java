package org.landingridge.controller.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.recovery.ObservationWindow;
import org.landingridge.controller.scheduling.CandidateNode;
import org.landingridge.controller.scheduling.QuotaEnforcement;
import org.landingridge.controller.scheduling.Scheduler;
import org.landingridge.controller.scheduling.SchedulingPlan;
import org.landingridge.controller.scheduling.TaskGroup;
import org.landingridge.controller.scheduling.TeamQuota;
import org.landingridge.controller.scheduling.WindowedMaximum;
import org.landingridge.wire.JobSpec;

/**
 * Runs scheduling cycles: takes a snapshot of machines, jobs and teams, lets the scheduler compute a plan, and executes it.
 * Between cycles it keeps the recent demand and the time of the next step in stopping work that exceeds a lowered quota.
 */
final class SchedulingCycle {
    private final LeaderContext context;
    private final Fleet fleet;
    private final Operations operations;
    private final RuntimeForecast forecast;
    private final PoolCapacity poolCapacity;
    private final ConfiguredTeams configuredTeams;
    private final TaskGroupBuilder taskGroupBuilder;
    private final PlanExecutor planExecutor;
    private final WindowedMaximum recentDemand = new WindowedMaximum();
    private final long termStartedAt;
    private long nextExcessStepAt;

    SchedulingCycle(
            LeaderContext context,
            Fleet fleet,
            Operations operations,
            RuntimeForecast forecast,
            PoolCapacity poolCapacity,
            ObservationWindow observationWindow) {
        this.context = context;
        this.fleet = fleet;
        this.operations = operations;
        this.forecast = forecast;
        this.poolCapacity = poolCapacity;
        this.configuredTeams = new ConfiguredTeams(context);
        this.taskGroupBuilder = new TaskGroupBuilder(context, fleet, forecast, configuredTeams);
        this.planExecutor = new PlanExecutor(context, fleet, operations, observationWindow);
        this.termStartedAt = context.loop().now();
    }

    /** Runs one cycle, unless this controller may not act, knows no machine types, or may have an outdated configuration. */
    void run() {
        if (!context.leadership().mayAct() || context.machineTypes().isEmpty()) {
            return;
        }
        long now = context.loop().now();
        List<TeamQuota> teams = configuredTeams.refresh();
        if (configuredTeams.mayBeOutdated(now)) {
            return;
        }
        SchedulingSnapshot snapshot = takeSnapshot(now, teams);
        planExecutor.apply(computePlan(snapshot));
        stopExcess(snapshot);
    }

    private SchedulingSnapshot takeSnapshot(long now, List<TeamQuota> teams) {
        Map<String, TaskGroup> groupsByJob = taskGroupBuilder.build(now);
        CandidateNodeBuilder nodeBuilder =
                new CandidateNodeBuilder(fleet, forecast, configuredTeams, teams, groupsByJob, now);
        nodeBuilder.addMachines();
        nodeBuilder.addPendingRents(operations, context.machineTypes());
        return new SchedulingSnapshot(now, teams, groupsByJob, nodeBuilder.nodes());
    }

    private SchedulingPlan computePlan(SchedulingSnapshot snapshot) {
        long now = snapshot.now();
        Collection<TaskGroup> groups = snapshot.groupsByJob().values();
        long idleMs = forecast.idleTimeoutMs(context.machineTypes().values());
        return Scheduler.plan(new Scheduler.Input(
                now,
                snapshot.nodes(),
                List.copyOf(groups),
                snapshot.teams(),
                List.copyOf(context.machineTypes().values()),
                closedPoolsUntil(now),
                serviceHeadroom(groups),
                idleMs,
                retainedCpus(snapshot, idleMs)));
    }

    /** Returns the capacity to keep free for services, or null if there are no services. */
    private Scheduler.ServiceReserve serviceHeadroom(Collection<TaskGroup> groups) {
        JobSpec largestReplica = null;
        int replicaCount = 0;
        for (TaskGroup group : groups) {
            if (group.spec.service()) {
                replicaCount += group.spec.tasks();
                if (largestReplica == null || group.spec.cpus() > largestReplica.cpus()) {
                    largestReplica = group.spec;
                }
            }
        }
        if (largestReplica == null) {
            return null;
        }
        int reservedTasks = (int) Math.ceil(replicaCount * context.policy().spareShare());
        return new Scheduler.ServiceReserve(largestReplica, Math.max(2, reservedTasks));
    }

    /** Returns the number of CPUs to keep running even if they are not requested at the moment. */
    private double retainedCpus(SchedulingSnapshot snapshot, long idleMs) {
        // Tasks that an earlier leader may have started cannot be placed while machines are unaccounted for, so they
        // are missing from the demand. Machines returned on that basis were rented again a minute later.
        double peakDemandCpus = recentDemand.record(
                snapshot.now(),
                demandCpus(snapshot.teams(), snapshot.groupsByJob().values()),
                idleMs);
        // A new leader doesn't know the recent demand either. Without this rule, an existing fleet was returned within
        // seconds of the first start of the controllers, and rented again.
        boolean isNewTerm =
                snapshot.now() - termStartedAt < Math.round(context.policy().idleS() * 1000);
        return isNewTerm || fleet.unverified() > 0 ? Double.MAX_VALUE : peakDemandCpus;
    }

    /** Returns the CPUs that the teams use and request: up to the guarantee for a team that has one, all of them otherwise. */
    private static double demandCpus(List<TeamQuota> teams, Collection<TaskGroup> groups) {
        double[] waitingCpus = new double[teams.size()];
        for (TaskGroup group : groups) {
            waitingCpus[group.teamIndex] += group.waitingTasks * group.spec.cpus();
        }
        double totalCpus = 0;
        for (int i = 0; i < waitingCpus.length; i++) {
            totalCpus += teams.get(i).guaranteedDemandCpus(waitingCpus[i]);
        }
        return totalCpus;
    }

    /**
     * Returns the pools in which no machines should be rented, with the time until when. These are pools in which the cloud had
     * no capacity, pools whose machines all boot late, and all pools of zones in which most machines are silent: such a zone
     * is probably cut off from the network, and new machines in it could not be reached either.
     */
    private Map<String, Long> closedPoolsUntil(long now) {
        Map<String, Long> closedUntilByPool = poolCapacity.pausedUntilByPool();
        boolean hasLapsedMachines = false;
        for (Machine machine : fleet.machines()) {
            hasLapsedMachines |= machine.state() == Machine.State.LAPSED;
            // If all machines of a pool boot late, new ones would be late too; other pools are tried first.
            if (fleet.isLateWithPool(machine, now)) {
                closedUntilByPool.put(
                        Scheduler.poolKey(machine.machineType().name(), machine.zone(), machine.spot()), now + 1);
            }
        }
        if (hasLapsedMachines) {
            closeUnreachableZones(closedUntilByPool, now);
        }
        return closedUntilByPool;
    }

    private void closeUnreachableZones(Map<String, Long> closedUntilByPool, long now) {
        Map<String, Integer> silentMinusUpByZone = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            if (machine.state() == Machine.State.LAPSED) {
                silentMinusUpByZone.merge(machine.zone(), 1, Integer::sum);
            } else if (machine.state() == Machine.State.UP) {
                silentMinusUpByZone.merge(machine.zone(), -1, Integer::sum);
            }
        }
        silentMinusUpByZone.forEach((zone, silentMinusUp) -> {
            if (silentMinusUp > 0) {
                for (String type : context.machineTypes().keySet()) {
                    closedUntilByPool.put(Scheduler.poolKey(type, zone, true), now + 1);
                    closedUntilByPool.put(Scheduler.poolKey(type, zone, false), now + 1);
                }
            }
        });
    }

    /** Stops the next portion of the work that exceeds a lowered quota, if the pause between two steps has passed. */
    private void stopExcess(SchedulingSnapshot snapshot) {
        if (!configuredTeams.wasEverChanged() || snapshot.now() < nextExcessStepAt) {
            return;
        }
        List<CandidateNode.RunningTask> excess = QuotaEnforcement.tasksToStop(snapshot.nodes(), snapshot.teams());
        if (!excess.isEmpty()) {
            nextExcessStepAt = snapshot.now() + QuotaEnforcement.STEP_INTERVAL_MS;
            planExecutor.stopExcess(excess);
        }
    }
}
