package org.landingridge.controller.leader;

import java.util.ArrayList;
import java.util.List;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.ActiveJob;
import org.landingridge.controller.fleet.Attempt;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.recovery.ObservationWindow;
import org.landingridge.controller.scheduling.CandidateNode;
import org.landingridge.controller.scheduling.SchedulingPlan;
import org.landingridge.wire.RentRequest;

/** Carries out the scheduler's plans. The plan's opaque handles are the fleet's jobs, machines and attempts. */
final class PlanExecutor {
    private final LeaderContext context;
    private final Fleet fleet;
    private final Operations operations;
    private final ObservationWindow observationWindow;

    PlanExecutor(LeaderContext context, Fleet fleet, Operations operations, ObservationWindow observationWindow) {
        this.context = context;
        this.fleet = fleet;
        this.operations = operations;
        this.observationWindow = observationWindow;
    }

    void apply(SchedulingPlan plan) {
        place(plan.placements);
        plan.tasksToStop.forEach(this::stop);
        plan.nodesToDrain.forEach(node -> fleet.drain((Machine) node.machine));
        fleet.flush();
        scaleOut(plan.rents);
        scaleIn(plan.nodesToReturn);
    }

    /** Stops attempts that exceed a lowered quota. */
    void stopExcess(List<CandidateNode.RunningTask> excess) {
        excess.forEach(this::stop);
        fleet.flush();
    }

    private void place(List<SchedulingPlan.Placement> placements) {
        for (SchedulingPlan.Placement placement : placements) {
            Task task = fleet.nextPlaceable((ActiveJob) placement.group().job);
            if (task != null) {
                fleet.place(task, (Machine) placement.node().machine);
            }
        }
    }

    private void stop(CandidateNode.RunningTask running) {
        Attempt attempt = (Attempt) running.attempt;
        boolean canSave = attempt.spec().checkpointS() > 0 && !running.skipSave;
        fleet.stop(attempt, canSave ? attempt.spec().saveS() : 0);
    }

    private void scaleOut(List<SchedulingPlan.Rent> rents) {
        boolean isFleetObserved = observationWindow.state(context.loop().now()) == ObservationWindow.State.COMPLETE;
        for (SchedulingPlan.Rent rent : rents) {
            if (isFleetObserved && !operations.isRentPending(rent.type(), rent.zone(), rent.spot())) {
                operations.rent(new RentRequest(rent.type(), rent.zone(), rent.spot(), rent.count()));
            }
        }
    }

    private void scaleIn(List<CandidateNode> idleNodes) {
        List<String> machineIds = new ArrayList<>();
        for (CandidateNode node : idleNodes) {
            Machine machine = (Machine) node.machine;
            fleet.markLeaving(machine);
            machineIds.add(machine.id());
        }
        operations.returnMachines(machineIds);
    }
}
