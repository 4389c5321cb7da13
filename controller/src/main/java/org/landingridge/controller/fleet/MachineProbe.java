package org.landingridge.controller.fleet;

import org.landingridge.net.Http;
import org.landingridge.wire.Commands;
import org.landingridge.wire.Heartbeat;

/** Shows silent machines the token by a call without commands, and learns whether they are there and what is on them. */
final class MachineProbe {
    /** Pause after a probe without an answer, before the machine is asked once more. */
    private static final long PAUSE_MS = 400;
    /** So often a machine that answers without showing the token is asked again at once. */
    private static final int MOST_RETRIES = 3;
    /** Probes at a time take this part of the connections at most, and never fewer than so many. */
    private static final int PROBE_SHARE = 16;

    private static final int LEAST_PROBES = 12;

    private final FleetContext context;
    private final HeartbeatHandler heartbeats;
    /**
     * At a failover every worker sends a heartbeat by itself within a period or two, and those answers save leases: only who
     * stays silent is asked, and so many at a time.
     */
    private final int mostProbes;

    private int probes;
    private boolean closed;

    MachineProbe(FleetContext context, HeartbeatHandler heartbeats, int maxConnections) {
        this.context = context;
        this.heartbeats = heartbeats;
        this.mostProbes = Math.max(LEAST_PROBES, maxConnections / PROBE_SHARE);
    }

    /** Nobody is asked any more. */
    void close() {
        closed = true;
    }

    /** Asks the machine, unless a call to it is out or too many are asked. */
    void ask(Machine machine) {
        ask(machine, 0);
    }

    private void ask(Machine machine, int retries) {
        if (closed
                || machine.address() == null
                || !machine.calls().probeDue(context.now())
                || !context.leadership().mayAct()
                || retries > MOST_RETRIES
                || probes >= mostProbes) {
            return;
        }
        machine.calls().begin();
        probes++;
        long session = machine.incarnation().session();
        long seq = machine.incarnation().seq();
        byte[] body = new Commands().direct(context.leadership().token(), Math.max(1, session));
        context.http().call(machine.address(), "POST", "/commands", body, CommandDispatcher.CALL_MS, reply -> {
            machine.calls().end();
            probes--;
            if (closed) {
                return;
            }
            if (reply.outcome() != Http.Outcome.ANSWERED) {
                machine.calls().probeUnanswered(context.now() + PAUSE_MS);
                return;
            }
            Heartbeat heartbeat = heartbeats.read(machine, reply);
            if (heartbeat != null) {
                heartbeats.mergeAnswer(machine, heartbeat, session, seq);
                machine.heard(context.now());
                // One that was restarted is shown the next token, which is not there yet.
                if (!machine.fenced() && !machine.incarnation().restarted()) {
                    ask(machine, retries + 1);
                }
            }
        });
    }
}
