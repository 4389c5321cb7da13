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
import org.landingridge.controller.scheduling.ExcessWork;
import org.landingridge.controller.scheduling.Scheduler;
import org.landingridge.controller.scheduling.SchedulingPlan;
import org.landingridge.controller.scheduling.TaskGroup;
import org.landingridge.controller.scheduling.Team;
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
    private final PoolCapacity capacity;
    private final ConfiguredTeams configuredTeams;
    private final TaskGroupBuilder groupBuilder;
    private final PlanExecutor executor;
    private final WindowedMaximum demand = new WindowedMaximum();
    private final long beganAt;
    private long nextExcessStep;

    SchedulingCycle(
            LeaderContext context,
            Fleet fleet,
            Operations operations,
            RuntimeForecast forecast,
            PoolCapacity capacity,
            ObservationWindow observationWindow) {
        this.context = context;
        this.fleet = fleet;
        this.operations = operations;
        this.forecast = forecast;
        this.capacity = capacity;
        this.configuredTeams = new ConfiguredTeams(context);
        this.groupBuilder = new TaskGroupBuilder(context, fleet, forecast, configuredTeams);
        this.executor = new PlanExecutor(context, fleet, operations, observationWindow);
        this.beganAt = context.loop().now();
    }

    /** Runs one cycle, unless this controller may not act, knows no machine types, or may have an outdated configuration. */
    void run() {
        if (!context.lead().mayAct() || context.types().isEmpty()) {
            return;
        }
        long now = context.loop().now();
        List<Team> teams = configuredTeams.refresh();
        if (configuredTeams.mayBeOutdated(now)) {
            return;
        }
        SchedulingSnapshot snapshot = snapshot(now, teams);
        executor.apply(decide(snapshot));
        stopExcess(snapshot);
    }

    private SchedulingSnapshot snapshot(long now, List<Team> teams) {
        Map<String, TaskGroup> groups = groupBuilder.build(now);
        CandidateNodeBuilder nodes = new CandidateNodeBuilder(fleet, forecast, configuredTeams, teams, groups, now);
        nodes.addMachines();
        nodes.addRents(operations, context.types());
        return new SchedulingSnapshot(now, teams, groups, nodes.nodes());
    }

    private SchedulingPlan decide(SchedulingSnapshot snapshot) {
        long now = snapshot.now();
        Collection<TaskGroup> groups = snapshot.groups().values();
        long idleMs = forecast.idleMs(context.types().values());
        return Scheduler.plan(new Scheduler.Input(
                now,
                snapshot.nodes(),
                List.copyOf(groups),
                snapshot.teams(),
                List.copyOf(context.types().values()),
                closedPools(now),
                spare(groups),
                idleMs,
                standing(snapshot, idleMs)));
    }

    /** Returns the capacity to keep free for services, or null if there are no services. */
    private Scheduler.Spare spare(Collection<TaskGroup> groups) {
        JobSpec largest = null;
        int replicas = 0;
        for (TaskGroup group : groups) {
            if (group.spec.service()) {
                replicas += group.spec.tasks();
                if (largest == null || group.spec.cpus() > largest.cpus()) {
                    largest = group.spec;
                }
            }
        }
        if (largest == null) {
            return null;
        }
        int kept = (int) Math.ceil(replicas * context.policy().spareShare());
        return new Scheduler.Spare(largest, Math.max(2, kept));
    }

    /** Returns the number of CPUs to keep running even if they are not requested at the moment. */
    private double standing(SchedulingSnapshot snapshot, long idleMs) {
        // Tasks that an earlier leader may have started cannot be placed while machines are unaccounted for, so they
        // are missing from the demand. Machines returned on that basis were rented again a minute later.
        double most = demand.record(
                snapshot.now(), demand(snapshot.teams(), snapshot.groups().values()), idleMs);
        // A new leader doesn't know the recent demand either. Without this rule, an existing fleet was returned within
        // seconds of the first start of the controllers, and rented again.
        boolean fresh = snapshot.now() - beganAt < Math.round(context.policy().idleS() * 1000);
        return fresh || fleet.unaccounted() > 0 ? Double.MAX_VALUE : most;
    }

    /** Returns the CPUs that the teams use and request: up to the guarantee for a team that has one, all of them otherwise. */
    private static double demand(List<Team> teams, Collection<TaskGroup> groups) {
        double[] asked = new double[teams.size()];
        for (TaskGroup group : groups) {
            asked[group.team] += group.waiting * group.spec.cpus();
        }
        double sum = 0;
        for (int i = 0; i < asked.length; i++) {
            sum += teams.get(i).guaranteed(asked[i]);
        }
        return sum;
    }

    /**
     * Returns the pools in which no machines should be rented, with the time until when. These are pools in which the cloud had
     * no capacity, pools whose machines all boot late, and all pools of zones in which most machines are silent: such a zone
     * is probably cut off from the network, and new machines in it could not be reached either.
     */
    private Map<String, Long> closedPools(long now) {
        Map<String, Long> closed = capacity.pausedUntil();
        boolean lapsed = false;
        for (Machine machine : fleet.machines()) {
            lapsed |= machine.state() == Machine.State.LAPSED;
            // If all machines of a pool boot late, new ones would be late too; other pools are tried first.
            if (fleet.lateWithAll(machine, now)) {
                closed.put(Scheduler.pool(machine.kind().name(), machine.zone(), machine.spot()), now + 1);
            }
        }
        if (lapsed) {
            closeCutZones(closed, now);
        }
        return closed;
    }

    private void closeCutZones(Map<String, Long> closed, long now) {
        Map<String, Integer> excessOfSilent = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            if (machine.state() == Machine.State.LAPSED) {
                excessOfSilent.merge(machine.zone(), 1, Integer::sum);
            } else if (machine.state() == Machine.State.UP) {
                excessOfSilent.merge(machine.zone(), -1, Integer::sum);
            }
        }
        excessOfSilent.forEach((zone, excess) -> {
            if (excess > 0) {
                for (String type : context.types().keySet()) {
                    closed.put(Scheduler.pool(type, zone, true), now + 1);
                    closed.put(Scheduler.pool(type, zone, false), now + 1);
                }
            }
        });
    }

    /** Stops the next portion of the work that exceeds a lowered quota, if the pause between two steps has passed. */
    private void stopExcess(SchedulingSnapshot snapshot) {
        if (!configuredTeams.everChanged() || snapshot.now() < nextExcessStep) {
            return;
        }
        List<CandidateNode.Running> excess = ExcessWork.step(snapshot.nodes(), snapshot.teams());
        if (!excess.isEmpty()) {
            nextExcessStep = snapshot.now() + ExcessWork.STEP_MS;
            executor.stopExcess(excess);
        }
    }
}
