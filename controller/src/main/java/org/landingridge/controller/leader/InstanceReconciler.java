package org.landingridge.controller.leader;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.recovery.Action;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.wire.CloudMachine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares the fleet with the cloud's machine lists, and returns unusable machines to the cloud. */
final class InstanceReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceReconciler.class);
    private static final long MIN_LIST_PAUSE_MS = 2_000;
    /** Margin added to twice the configured list lag, in milliseconds. */
    private static final long LIST_LAG_MARGIN_MS = 2_000;

    private final LeaderContext context;
    private final Fleet fleet;
    private final Operations operations;
    private final ListedMachines listedMachines;
    private final Consumer<List<String>> onGone;
    private final Runnable onListed;
    private final long listLagMs;
    private boolean isListRequestPending;
    private long nextListAt;
    private boolean closed;

    /**
     * Creates a reconciler that sends nothing to the cloud until it is called.
     *
     * @param onGone   called with the ids of machines that the cloud has taken back, according to its lists
     * @param onListed called after each list has been processed
     */
    InstanceReconciler(
            LeaderContext context,
            Fleet fleet,
            Operations operations,
            ListedMachines listedMachines,
            Consumer<List<String>> onGone,
            Runnable onListed) {
        this.context = context;
        this.fleet = fleet;
        this.operations = operations;
        this.listedMachines = listedMachines;
        this.onGone = onGone;
        this.onListed = onListed;
        this.listLagMs = Math.round(context.settings().cloudLimits().listLagS() * 1000);
    }

    /** Makes the reconciler ignore lists that arrive after the end of the leader term. */
    void close() {
        closed = true;
    }

    /** Returns machines to the cloud that never came up, fail their tasks, or are considered lost. */
    void returnUnusableMachines(long now) {
        List<String> unusableIds = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            Decision decision = fleet.decide(machine, now);
            if (decision.is(Action.GIVE_BACK)) {
                String reason = decision.reason().text();
                LOG.info("machine returned, machine={} reason={}", machine.id(), reason);
                context.incidents().record(machine.id() + ": " + reason + "; returned to the cloud");
                fleet.recordReturnDecision(machine, decision);
                unusableIds.add(machine.id());
            }
        }
        operations.returnMachines(unusableIds);
    }

    /** Requests the cloud's machine list if no request is pending and the pause since the last list has passed. */
    void requestList() {
        long requestedAt = context.loop().now();
        if (isListRequestPending || requestedAt < nextListAt) {
            return;
        }
        isListRequestPending = true;
        context.cloudClient().listMachines(cloudMachines -> {
            isListRequestPending = false;
            nextListAt = context.loop().now() + Math.max(MIN_LIST_PAUSE_MS, listLagMs / 2);
            if (!closed && cloudMachines != null && context.leadership().mayAct()) {
                reconcile(cloudMachines, requestedAt);
            }
        });
    }

    private void reconcile(List<CloudMachine> cloudMachines, long requestedAt) {
        for (CloudMachine cloudMachine : cloudMachines) {
            reconcileMachine(cloudMachine);
            // The cloud may list a returned machine for a while; a record of it would never be removed.
            if (fleet.machine(cloudMachine.id()) != null) {
                listedMachines.recordListed(cloudMachine.id(), requestedAt);
            }
        }
        removeUnlisted(cloudMachines, requestedAt);
        onListed.run();
    }

    private void reconcileMachine(CloudMachine cloudMachine) {
        Machine machine = fleet.machine(cloudMachine.id());
        if (machine == null && !fleet.wasReturned(cloudMachine.id()) && !cloudMachine.failed()) {
            // No known operation rented this machine: a rent may have succeeded late, or the machine existed before
            // this leader term. The scheduler uses it, or returns it as idle.
            LOG.info("unknown machine listed, machine={}", cloudMachine.id());
            fleet.addListed(
                    cloudMachine.id(),
                    cloudMachine.addr(),
                    cloudMachine.type(),
                    cloudMachine.zone(),
                    cloudMachine.spot());
        } else if (machine != null && cloudMachine.failed()) {
            fleet.markListedFailed(machine);
        }
    }

    /**
     * Removes machines that an earlier list showed and this list doesn't. Lists can lag by up to twice the configured time and
     * a later list can show an older state, so the earlier list must be older by more than that. Only machines whose lease has
     * expired are removed.
     */
    private void removeUnlisted(List<CloudMachine> cloudMachines, long requestedAt) {
        Set<String> listedIds = new HashSet<>();
        cloudMachines.forEach(cloudMachine -> listedIds.add(cloudMachine.id()));
        List<String> goneIds = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.state() == Machine.State.LAPSED
                    && !listedIds.contains(machine.id())
                    && listedMachines.wasListedLongBefore(
                            machine.id(), requestedAt, 2 * listLagMs + LIST_LAG_MARGIN_MS)) {
                goneIds.add(machine.id());
            }
        }
        if (!goneIds.isEmpty()) {
            LOG.info("machines no longer listed, machines={}", goneIds);
            context.incidents().record("taken back by the cloud: " + String.join(", ", goneIds));
            onGone.accept(goneIds);
        }
    }
}
