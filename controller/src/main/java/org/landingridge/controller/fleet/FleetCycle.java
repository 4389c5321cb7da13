package org.landingridge.controller.fleet;

import org.landingridge.net.PeriodicTask;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The periodic pass over all machines, twice a second: probes silent machines, expires leases, sends commands that are due and
 * raises the fencing token if needed.
 */
final class FleetCycle {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final long TICK_MS = 500;
    /** Delay of a tick above which the whole process counts as paused. */
    private static final long PROCESS_PAUSE_MS = 1_000;

    private final FleetContext context;
    private final Parts parts;
    private final TokenRaiser tokenRaiser;
    private final PeriodicTask timer;
    private long lastTickAt;

    /** The parts of the fleet that the cycle drives. */
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
        this.tokenRaiser = new TokenRaiser(context);
        this.timer = new PeriodicTask(context.loop(), "fleet cycle", TICK_MS, this::tick, context.leadership()::resign);
    }

    /** Starts the cycle with a first tick. */
    void start() {
        long now = context.now();
        parts.healthMonitor.listenFrom(now);
        lastTickAt = now;
        tokenRaiser.start(now);
        timer.start();
    }

    /** Stops the cycle: no further tick runs. */
    void close() {
        timer.stop();
    }

    private void tick() {
        long now = context.now();
        checkProcessPause(now);
        lastTickAt = now;
        if (parts.unverifiedMachines.expireUnreadablePages(now)) {
            context.events().unreadablePagesExpired();
        }
        parts.healthMonitor.survey(parts.machines.all(), parts.tasks.anyBlocked(), now);
        tokenRaiser.reset();
        for (Machine machine : parts.machines.snapshot()) {
            checkMachine(machine, now);
        }
        parts.machines.expireReturned(now);
        tokenRaiser.raiseIfDue(now);
    }

    /** After a pause of the process, heartbeats are missing for that reason, which is no evidence that machines are silent. */
    private void checkProcessPause(long now) {
        long lateMs = now - lastTickAt - TICK_MS;
        if (lateMs > PROCESS_PAUSE_MS) {
            LOG.info("process paused, pauseMs={}", lateMs);
            context.incidents().record("this controller was paused for " + lateMs + " ms");
            parts.healthMonitor.listenFrom(now);
        }
    }

    private void checkMachine(Machine machine, long now) {
        switch (parts.healthMonitor.decide(machine, now).action()) {
            case PLACE -> parts.leaseExpiry.expire(machine);
            case ASK -> {
                parts.probe.probe(machine);
                if (machine.calls().unanswered() > 0) {
                    parts.endpoint.suspend(machine);
                }
            }
            default -> {}
        }
        tokenRaiser.observe(machine, now);
        // A machine whose lease expired is not probed until a heartbeat arrives: it may be gone for good.
        Incarnation incarnation = machine.incarnation();
        if (incarnation.restarted()
                && (machine.state() != Machine.State.LAPSED || incarnation.consecutiveOutdated() > 0)) {
            tokenRaiser.observeRestarted(machine);
            parts.probe.probe(machine);
        }
        parts.dispatcher.call(machine);
    }
}
