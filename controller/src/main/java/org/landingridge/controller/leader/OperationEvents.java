package org.landingridge.controller.leader;

import java.util.List;
import org.landingridge.controller.cloud.Operation;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.MachineRegistry;
import org.landingridge.controller.scheduling.Scheduler;
import org.landingridge.wire.RentRequest;

/** Applies the outcomes of cloud operations to the fleet and the machine registry, and requests scheduling cycles. */
final class OperationEvents implements Operations.Events {
    private final LeaderContext context;
    private final Fleet fleet;
    private final MachineRegistry machineRegistry;
    private final PoolCapacity poolCapacity;
    private final ListedMachines listedMachines;
    private final SchedulingTrigger trigger;

    OperationEvents(
            LeaderContext context,
            Fleet fleet,
            MachineRegistry machineRegistry,
            PoolCapacity poolCapacity,
            ListedMachines listedMachines,
            SchedulingTrigger trigger) {
        this.context = context;
        this.fleet = fleet;
        this.machineRegistry = machineRegistry;
        this.poolCapacity = poolCapacity;
        this.listedMachines = listedMachines;
        this.trigger = trigger;
    }

    @Override
    public void machinesRented(RentRequest request, List<String> machineIds) {
        for (String id : machineIds) {
            fleet.addRented(id, request.type(), request.zone(), request.spot());
        }
        if (machineIds.size() < request.count()) {
            rentFailed(request);
        } else {
            poolCapacity.recordGrant(pool(request));
        }
        trigger.requestCycle();
    }

    @Override
    public void rentFailed(RentRequest request) {
        poolCapacity.recordRefusal(pool(request));
        trigger.requestCycle();
    }

    private static String pool(RentRequest request) {
        return Scheduler.poolKey(request.type(), request.zone(), request.spot());
    }

    /** Removes machines that were returned, and machines that the cloud's lists no longer show. */
    @Override
    public void machinesReturned(List<String> machineIds) {
        for (String id : machineIds) {
            fleet.removeGone(id);
            machineRegistry.remove(id);
            listedMachines.forget(id);
        }
        trigger.requestCycle();
    }

    @Override
    public void operationEscalated(Operation operation) {
        context.metrics().escalated.increment();
        context.incidents()
                .record(operation.name() + " (" + operation.kind()
                        + ") has had no clear outcome for a long time: it stays"
                        + " listed as an unsettled operation, and the request is sent again at long intervals");
    }

    @Override
    public boolean mayAct() {
        return context.leadership().mayAct();
    }
}
