package org.landingridge.controller.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.cloud.Operation;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.Attempt;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.scheduling.CandidateNode;
import org.landingridge.controller.scheduling.TaskGroup;
import org.landingridge.controller.scheduling.TeamQuota;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.RentRequest;

/**
 * Builds the scheduler's candidate nodes for one cycle from the machines of the fleet and the pending rent operations. Also
 * adds the CPU and GPU usage of running tasks to their teams, and counts the tasks of each group by zone.
 */
final class CandidateNodeBuilder {
    private final Fleet fleet;
    private final RuntimeForecast forecast;
    private final ConfiguredTeams configuredTeams;
    private final List<TeamQuota> teams;
    private final Map<String, TaskGroup> groupsByJob;
    private final long now;
    private final List<CandidateNode> nodes = new ArrayList<>();

    CandidateNodeBuilder(
            Fleet fleet,
            RuntimeForecast forecast,
            ConfiguredTeams configuredTeams,
            List<TeamQuota> teams,
            Map<String, TaskGroup> groupsByJob,
            long now) {
        this.fleet = fleet;
        this.forecast = forecast;
        this.configuredTeams = configuredTeams;
        this.teams = teams;
        this.groupsByJob = groupsByJob;
        this.now = now;
    }

    /** Returns the nodes in the order in which they were added. */
    List<CandidateNode> nodes() {
        return nodes;
    }

    /** Adds the machines of the fleet that can take tasks now or are expected to be able to soon. */
    void addMachines() {
        if (fleet.hasUnreadablePages()) {
            addUnverifiedToAllTeams(Double.MAX_VALUE, Double.MAX_VALUE);
        }
        for (Machine machine : fleet.machines()) {
            addMachine(machine);
        }
    }

    private void addMachine(Machine machine) {
        boolean isUsable = fleet.isUsable(machine, now);
        if (fleet.unverified(machine)) {
            // The machine may run unreported tasks of any team, up to its full size, so its size counts against every
            // team's limit.
            addUnverifiedToAllTeams(
                    machine.machineType().cpus(), machine.machineType().gpus());
        }
        CandidateNode node = new CandidateNode(
                machine.machineType(), machine.zone(), machine.spot(), machine, isUsable, machine.images());
        node.draining = fleet.draining(machine, now);
        node.awaitingHeartbeat = fleet.awaitsFirstHeartbeat(machine, now);
        boolean isIdle = addAttempts(machine, node);
        node.idleMs = isIdle ? fleet.idleMs(machine, now) : 0;
        // Machines that can take no tasks, neither now nor soon, are left out.
        if (isUsable || fleet.isComingUp(machine, now)) {
            nodes.add(node);
        }
    }

    /** Adds the live attempts on the machine to the node; returns true if there are none. */
    private boolean addAttempts(Machine machine, CandidateNode node) {
        boolean isIdle = true;
        boolean hasUnknownJob = false;
        for (Attempt attempt : machine.attempts().values()) {
            if (!attempt.isLive()) {
                node.addEndedAttempt(attempt.jobId(), attempt.spec());
                continue;
            }
            isIdle = false;
            addAttempt(attempt, node);
            if (attempt.spec() == null && !hasUnknownJob) {
                // The job is not known, so neither are its team and its resource needs.
                hasUnknownJob = true;
                addUnverifiedToAllTeams(
                        machine.machineType().cpus(), machine.machineType().gpus());
            }
        }
        return isIdle;
    }

    private void addAttempt(Attempt attempt, CandidateNode node) {
        if (attempt.state() == Attempt.State.STARTING || attempt.state() == Attempt.State.FETCHING) {
            node.fetchingTasks++;
        }
        JobSpec spec = attempt.spec();
        int teamIndex = spec == null ? 0 : configuredTeams.indexOf(spec.team(), 0);
        TaskGroup group = groupsByJob.get(attempt.jobId());
        node.add(describeAttempt(attempt, group == null ? spec : group.spec, teamIndex));
        if (spec != null) {
            addUsage(teams.get(teamIndex), spec, attempt.stopRequested());
        }
        if (group != null) {
            group.tasksByZone.merge(node.zone, 1, Integer::sum);
        }
    }

    private CandidateNode.RunningTask describeAttempt(Attempt attempt, JobSpec spec, int teamIndex) {
        CandidateNode.RunningTask running =
                new CandidateNode.RunningTask(spec, teamIndex, attempt, attempt.knownSince(), attempt.stopRequested());
        running.elapsedS = attempt.runningSince() > 0 ? (now - attempt.runningSince()) / 1000.0 : 0;
        running.remainingS = attempt.spec() == null ? 0 : forecast.remainingRunS(attempt.spec(), running.elapsedS);
        return running;
    }

    private static void addUsage(TeamQuota team, JobSpec spec, boolean isStopping) {
        team.usedCpus += spec.cpus();
        team.usedGpus += spec.gpus();
        if (isStopping) {
            team.markStopping(spec);
        }
    }

    private void addUnverifiedToAllTeams(double cpus, double gpus) {
        for (TeamQuota team : teams) {
            team.addUnverified(cpus, gpus);
        }
    }

    /** Adds a node for each machine that an open rent operation may still provide, unless the operation was escalated. */
    void addPendingRents(Operations operations, Map<String, MachineType> typesByName) {
        for (Operation operation : operations.all()) {
            if (operation.isOpen()
                    && operation.state() != Operation.State.ESCALATED
                    && operation.request() instanceof RentRequest rent) {
                MachineType type = typesByName.get(rent.type());
                for (int i = 0; type != null && i < rent.count(); i++) {
                    nodes.add(new CandidateNode(type, rent.zone(), rent.spot(), null, false, Set.of()));
                }
            }
        }
    }
}
