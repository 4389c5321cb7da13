package org.landingridge.controller.fleet;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Twice a second: judges every machine, asks the silent ones, ends leases, sends what is due and raises the token. */
final class FleetCycle {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final long TICK_MS = 500;
    /** A tick that comes so much later than it is due was held up by the whole process. */
    private static final long STOOD_STILL_MS = 1_000;

    private final FleetContext context;
    private final Parts parts;
    private final TokenRaiser tokens;
    private long tickedAt;
    private boolean closed;

    /** What a cycle drives. */
    record Parts(
            MachineTable machines,
            UnverifiedMachines unverifiedMachines,
            PlaceableTasks tasks,
            HealthMonitor healthMonitor,
            LeaseExpiry leaseExpiry,
            HeartbeatEndpoint endpoint,
            MachineProbe probe,
            CommandDispatcher dispatcher) {}

    FleetCycle(FleetContext context, Parts parts) {
        this.context = context;
        this.parts = parts;
        this.tokens = new TokenRaiser(context);
    }

    /** Begins the cycles. */
    void start() {
        long now = context.now();
        parts.healthMonitor.listenFrom(now);
        tickedAt = now;
        tokens.start(now);
        tick();
    }

    /** No cycle begins any more. */
    void close() {
        closed = true;
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = context.now();
        checkStandstill(now);
        tickedAt = now;
        if (parts.unverifiedMachines.unreadableExpired(now)) {
            context.events().unreadableOver();
        }
        parts.healthMonitor.survey(parts.machines.all(), parts.tasks.anyBlocked(), now);
        tokens.reset();
        for (Machine machine : parts.machines.snapshot()) {
            visit(machine, now);
        }
        parts.machines.forgetReturned(now);
        tokens.raiseIfDue(now);
        context.loop().after(TICK_MS, this::tick);
    }

    /** A process that stood still while its clocks ran on has heard nobody: that says nothing of the machines. */
    private void checkStandstill(long now) {
        long late = now - tickedAt - TICK_MS;
        if (late > STOOD_STILL_MS) {
            LOG.info("stood still for {} ms", late);
            context.incidents().record("this controller stood still for " + late + " ms");
            parts.healthMonitor.listenFrom(now);
        }
    }

    private void visit(Machine machine, long now) {
        switch (parts.healthMonitor.judge(machine, now).action()) {
            case PLACE -> parts.leaseExpiry.expire(machine);
            case ASK -> {
                parts.probe.ask(machine);
                if (machine.calls().unanswered() > 0) {
                    parts.endpoint.suspend(machine);
                }
            }
            default -> {}
        }
        tokens.observe(machine, now);
        // One whose lease ran out unheard is not asked: it may well be gone for good, and says when it is back.
        Incarnation incarnation = machine.incarnation();
        if (incarnation.restarted() && (machine.state() != Machine.State.LAPSED || incarnation.outdated() > 0)) {
            tokens.observeRestarted(machine);
            parts.probe.ask(machine);
        }
        parts.dispatcher.call(machine);
    }
}
