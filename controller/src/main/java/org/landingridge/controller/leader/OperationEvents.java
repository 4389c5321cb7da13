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
    private final MachineRegistry registry;
    private final PoolCapacity capacity;
    private final ListedMachines listedMachines;
    private final SchedulingTrigger trigger;

    OperationEvents(
            LeaderContext context,
            Fleet fleet,
            MachineRegistry registry,
            PoolCapacity capacity,
            ListedMachines listedMachines,
            SchedulingTrigger trigger) {
        this.context = context;
        this.fleet = fleet;
        this.registry = registry;
        this.capacity = capacity;
        this.listedMachines = listedMachines;
        this.trigger = trigger;
    }

    @Override
    public void rented(RentRequest request, List<String> machines) {
        for (String id : machines) {
            fleet.rented(id, request.type(), request.zone(), request.spot());
        }
        if (machines.size() < request.count()) {
            noCapacity(request);
        } else {
            capacity.granted(pool(request));
        }
        trigger.changed();
    }

    @Override
    public void noCapacity(RentRequest request) {
        capacity.refused(pool(request));
        trigger.changed();
    }

    private static String pool(RentRequest request) {
        return Scheduler.pool(request.type(), request.zone(), request.spot());
    }

    /** Removes machines that were returned, and machines that the cloud's lists no longer show. */
    @Override
    public void returned(List<String> machines) {
        for (String id : machines) {
            fleet.gone(id);
            registry.remove(id);
            listedMachines.forget(id);
        }
        trigger.changed();
    }

    @Override
    public void escalated(Operation operation) {
        context.metrics().escalated.increment();
        context.incidents()
                .record(operation.name() + " (" + operation.kind() + ") has had no clear outcome for long: it counts as"
                        + " unsettled room and is asked about now and then");
    }

    @Override
    public boolean mayAct() {
        return context.lead().mayAct();
    }
}
