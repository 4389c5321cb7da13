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
import org.landingridge.controller.scheduling.Team;
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
    private final ConfiguredTeams configured;
    private final List<Team> teams;
    private final Map<String, TaskGroup> groups;
    private final long now;
    private final List<CandidateNode> nodes = new ArrayList<>();

    CandidateNodeBuilder(
            Fleet fleet,
            RuntimeForecast forecast,
            ConfiguredTeams configured,
            List<Team> teams,
            Map<String, TaskGroup> groups,
            long now) {
        this.fleet = fleet;
        this.forecast = forecast;
        this.configured = configured;
        this.teams = teams;
        this.groups = groups;
        this.now = now;
    }

    /** Returns the nodes in the order in which they were added. */
    List<CandidateNode> nodes() {
        return nodes;
    }

    /** Adds the machines of the fleet that can take tasks now or are expected to be able to soon. */
    void addMachines() {
        if (fleet.anyUnreadable()) {
            holdForAllTeams(Double.MAX_VALUE, Double.MAX_VALUE);
        }
        for (Machine machine : fleet.machines()) {
            addMachine(machine);
        }
    }

    private void addMachine(Machine machine) {
        boolean usable = fleet.usable(machine, now);
        if (fleet.unaccounted(machine)) {
            // The machine may run unreported tasks of any team, up to its full size, so its size counts against every
            // team's limit.
            holdForAllTeams(machine.kind().cpus(), machine.kind().gpus());
        }
        CandidateNode node =
                new CandidateNode(machine.kind(), machine.zone(), machine.spot(), machine, usable, machine.images());
        node.draining = fleet.draining(machine, now);
        node.awaitingHeartbeat = fleet.unheard(machine, now);
        boolean idle = addAttempts(machine, node);
        node.idleMs = idle ? fleet.idleMs(machine, now) : 0;
        // Machines that can take no tasks, neither now nor soon, are left out.
        if (usable || fleet.coming(machine, now)) {
            nodes.add(node);
        }
    }

    /** Adds the live attempts on the machine to the node; returns true if there are none. */
    private boolean addAttempts(Machine machine, CandidateNode node) {
        boolean idle = true;
        boolean unknown = false;
        for (Attempt attempt : machine.attempts().values()) {
            if (!attempt.live()) {
                continue;
            }
            idle = false;
            addAttempt(attempt, node);
            if (attempt.spec() == null && !unknown) {
                // The job is not known, so neither are its team and its resource needs.
                unknown = true;
                holdForAllTeams(machine.kind().cpus(), machine.kind().gpus());
            }
        }
        return idle;
    }

    private void addAttempt(Attempt attempt, CandidateNode node) {
        if (attempt.state() == Attempt.State.SENT || attempt.state() == Attempt.State.FETCHING) {
            node.fetching++;
        }
        JobSpec spec = attempt.spec();
        int team = spec == null ? 0 : configured.index(spec.team(), 0);
        TaskGroup group = groups.get(attempt.jobId());
        node.add(running(attempt, group == null ? spec : group.spec, team));
        if (spec != null) {
            charge(teams.get(team), spec, attempt.stopWanted());
        }
        if (group != null) {
            group.perZone.merge(node.zone, 1, Integer::sum);
        }
    }

    private CandidateNode.Running running(Attempt attempt, JobSpec spec, int team) {
        CandidateNode.Running running =
                new CandidateNode.Running(spec, team, attempt, attempt.since(), attempt.stopWanted());
        running.ranS = attempt.runningSince() > 0 ? (now - attempt.runningSince()) / 1000.0 : 0;
        running.leftS = attempt.spec() == null ? 0 : forecast.leftS(attempt.spec(), running.ranS);
        return running;
    }

    private static void charge(Team team, JobSpec spec, boolean stopping) {
        team.usedCpus += spec.cpus();
        team.usedGpus += spec.gpus();
        if (stopping) {
            team.stopping(spec);
        }
    }

    private void holdForAllTeams(double cpus, double gpus) {
        for (Team team : teams) {
            team.addUnverified(cpus, gpus);
        }
    }

    /** Adds a node for each machine that an open rent operation may still provide, unless the operation was escalated. */
    void addRents(Operations operations, Map<String, MachineType> types) {
        for (Operation operation : operations.all()) {
            if (operation.open()
                    && operation.state() != Operation.State.ESCALATED
                    && operation.request() instanceof RentRequest rent) {
                MachineType type = types.get(rent.type());
                for (int i = 0; type != null && i < rent.count(); i++) {
                    nodes.add(new CandidateNode(type, rent.zone(), rent.spot(), null, false, Set.of()));
                }
            }
        }
    }
}
