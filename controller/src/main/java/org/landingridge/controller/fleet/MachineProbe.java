package org.landingridge.controller.fleet;

import org.landingridge.net.Http;
import org.landingridge.wire.Commands;
import org.landingridge.wire.Heartbeat;

/** Probes silent machines: a call without commands shows them the fencing token, and the answer lists their tasks. */
final class MachineProbe {
    /** Pause after an unanswered probe, before the machine is probed again. */
    private static final long RETRY_PAUSE_MS = 400;
    /** Limit of immediate retries for a machine that answers without showing the token. */
    private static final int MAX_RETRIES = 3;
    /** Concurrent probes use at most one in this number of the connections. */
    private static final int CONNECTIONS_PER_PROBE = 16;
    /** Lower bound of the limit of concurrent probes. */
    private static final int MIN_CONCURRENT_PROBES = 12;

    private final FleetContext context;
    private final HeartbeatHandler heartbeatHandler;
    /**
     * Limit of concurrent probes. After a failover every worker sends a heartbeat within one or two intervals, and answering
     * those heartbeats keeps leases from expiring; so only machines that stay silent are probed, and only a few at a time.
     */
    private final int maxConcurrentProbes;

    private int probesInFlight;
    private boolean closed;

    MachineProbe(FleetContext context, HeartbeatHandler heartbeatHandler, int maxConnections) {
        this.context = context;
        this.heartbeatHandler = heartbeatHandler;
        this.maxConcurrentProbes = Math.max(MIN_CONCURRENT_PROBES, maxConnections / CONNECTIONS_PER_PROBE);
    }

    /** Sends no more probes, and ignores answers that are still outstanding. */
    void close() {
        closed = true;
    }

    /** Probes the machine, unless a call to it is in flight, a retry is not due yet, or the limit is reached. */
    void probe(Machine machine) {
        probe(machine, 0);
    }

    private void probe(Machine machine, int retries) {
        if (closed
                || machine.isGone()
                || machine.address() == null
                || !machine.calls().probeDue(context.now())
                || !context.leadership().mayAct()
                || retries > MAX_RETRIES
                || probesInFlight >= maxConcurrentProbes) {
            return;
        }
        machine.calls().begin();
        probesInFlight++;
        long session = machine.incarnation().session();
        long seq = machine.incarnation().seq();
        byte[] body = new Commands().direct(context.leadership().token(), Math.max(1, session));
        context.http().call(machine.address(), "POST", "/commands", body, CommandDispatcher.CALL_TIMEOUT_MS, reply -> {
            machine.calls().end();
            probesInFlight--;
            if (closed) {
                return;
            }
            if (reply.outcome() != Http.Outcome.ANSWERED) {
                machine.calls().recordUnansweredProbe(context.now() + RETRY_PAUSE_MS);
                return;
            }
            Heartbeat heartbeat = heartbeatHandler.parseReply(machine, reply);
            if (heartbeat != null) {
                heartbeatHandler.mergeReply(machine, heartbeat, session, seq);
                machine.recordMessage(context.now());
                // A restarted worker must see the next token, which has not been raised yet: a retry would not help.
                if (!machine.fenced() && !machine.incarnation().restarted()) {
                    probe(machine, retries + 1);
                }
            }
        });
    }
}
