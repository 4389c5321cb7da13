package org.landingridge.controller.fleet;

import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.recovery.Action;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.controller.recovery.HeartbeatEvidence;
import org.landingridge.controller.recovery.HeartbeatEvidence.Token;
import org.landingridge.controller.recovery.Reconciliation;
import org.landingridge.net.Http;
import org.landingridge.wire.Commands;
import org.landingridge.wire.Heartbeat;

/** Answers heartbeats, or not: a 200 renews the worker's lease, and only its leader may do that. */
final class HeartbeatEndpoint {
    /** An outdated heartbeat so long after the last one may be the first of a restarted worker; sooner, it has crossed an answer. */
    private static final long DOUBT_MS = 1_000;

    private final FleetContext context;
    private final MachineTable machines;
    private final HeartbeatHandler heartbeats;
    private final CommandComposer composer;
    private final MachineProbe probe;
    private final LeaseExpiry leaseExpiry;
    private final HealthMonitor healthMonitor;

    HeartbeatEndpoint(
            FleetContext context,
            MachineTable machines,
            HeartbeatHandler heartbeats,
            CommandComposer composer,
            MachineProbe probe,
            LeaseExpiry leaseExpiry,
            HealthMonitor healthMonitor) {
        this.context = context;
        this.machines = machines;
        this.heartbeats = heartbeats;
        this.composer = composer;
        this.probe = probe;
        this.leaseExpiry = leaseExpiry;
        this.healthMonitor = healthMonitor;
    }

    /** Answers a heartbeat; the caller has checked that this process leads. */
    void receive(Heartbeat heartbeat, Http.Exchange exchange) {
        Machine known = machines.get(heartbeat.machine());
        Decision decision = Reconciliation.heartbeat(new HeartbeatEvidence(
                machines.wasReturned(heartbeat.machine()),
                known == null || known.incarnation().precedes(heartbeat),
                Token.of(heartbeat.token(), context.leadership().token())));
        if (decision.is(Action.ASK)) {
            // The worker would drop our 200, and its lease would run out while it stays with us.
            context.leadership().suspect();
        }
        if (decision.is(Action.ASK) || decision.reason() == Decision.Reason.GIVEN_BACK) {
            refuse(exchange, decision.reason().text());
            return;
        }
        Machine machine = machines.addIfAbsent(
                heartbeat.machine(), heartbeat.addr(), heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        if (known == null && machine != null) {
            context.events().newcomer();
        }
        if (machine == null) {
            refuse(exchange, "unknown machine type");
            return;
        }
        boolean merged = merge(machine, heartbeat);
        answerMerged(machine, heartbeat, merged, exchange);
    }

    private boolean merge(Machine machine, Heartbeat heartbeat) {
        boolean merged = heartbeats.merge(machine, heartbeat, true);
        if (merged && machine.unverified() && !machine.fenced()) {
            revertLease(machine, heartbeat.session());
        }
        boolean doubtful = machine.incarnation().outdated() > 1
                || context.now() - machine.contact().heardAt() > DOUBT_MS;
        if (!merged && doubtful) {
            // Its answer distinguishes a late heartbeat from a worker that was restarted.
            probe.ask(machine);
        }
        return merged;
    }

    /**
     * A machine of the registry sends heartbeats and shows no token of ours. A worker has one heartbeat in flight and drops
     * late answers, so whatever we answered before has not reached it: its lease is that of the earlier leader. Otherwise one
     * that hears nothing, and whose heartbeats all come, would count as alive with what it runs for as long as it is so.
     */
    private void revertLease(Machine machine, long session) {
        machine.lease().revertToEarlierLeader();
        if (context.now() > healthMonitor.leaseEnds(machine)) {
            leaseExpiry.expire(machine);
            // Nothing that it said so far counts any more; what it says once it has heard us does.
            machine.incarnation().disregardUntil(context.token(), session);
        }
    }

    private void answerMerged(Machine machine, Heartbeat heartbeat, boolean merged, Http.Exchange exchange) {
        if (machine.contact().state() != Contact.State.ANSWERED) {
            // A later leader may count its lease from before: it must read first that this one is answered again.
            Http.Exchange earlier = machine.contact().park(exchange);
            if (earlier != null) {
                refuse(earlier, "a newer report has come");
            }
            return;
        }
        if (mustLapse(machine, context.now())) {
            // A start that is held up on the way, of a job that is cancelled: only the end of the session stops it now.
            refuse(exchange, "a start of a cancelled job may still arrive here");
            return;
        }
        answer(machine, merged ? composer.answer(machine, heartbeat.seq()) : new Commands(), exchange);
    }

    /**
     * True if a start of a cancelled job may still arrive at the machine, and its lease has to run out for that not to be too
     * late: no higher token could be shown to it in time.
     */
    private static boolean mustLapse(Machine machine, long now) {
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.mustLapse(now)) {
                return true;
            }
        }
        return false;
    }

    private void answer(Machine machine, Commands commands, Http.Exchange exchange) {
        // The right is checked last: a 200 renews the lease, so it may only be given by the leader.
        if (!context.leadership().mayAct()) {
            refuse(exchange, "not entitled to act");
            return;
        }
        machine.lease().renew(context.now());
        exchange.answer(200, commands.answer(context.leadership().token()));
    }

    /** A silent machine's row is to say for how long it has been so, before a later leader needs to know. */
    void suspend(Machine machine) {
        if (machine.contact().state() != Contact.State.SUSPENDED
                && machine.registered()
                && (machine.up() || machine.unverified())
                && context.leadership().state() == Leadership.State.LEADING) {
            machine.contact().suspend();
            context.events().registry(machine);
        }
    }

    /** The row is stored without a silence: the machine is answered again. */
    void resume(Machine machine) {
        machine.contact().restore();
        Http.Exchange parked = machine.contact().unpark();
        if (parked != null) {
            answer(machine, new Commands(), parked);
        }
    }

    private static void refuse(Http.Exchange exchange, String reason) {
        exchange.answer(503, Refusal.body(reason));
    }
}
