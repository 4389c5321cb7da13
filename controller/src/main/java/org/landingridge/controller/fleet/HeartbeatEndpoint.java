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

/** Answers or refuses heartbeats: a 200 renews the worker's lease, so only the leader may send one. */
final class HeartbeatEndpoint {
    /**
     * An outdated heartbeat this long after the last message may be the first one of a restarted worker; a sooner one was sent
     * before the reply to a call that arrived first.
     */
    private static final long RESTART_SUSPECTED_AFTER_MS = 1_000;

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

    /** Answers a heartbeat; the caller has checked that this process is the leader. */
    void receive(Heartbeat heartbeat, Http.Exchange exchange) {
        Machine knownMachine = machines.get(heartbeat.machine());
        Decision decision = Reconciliation.heartbeat(new HeartbeatEvidence(
                machines.wasReturned(heartbeat.machine()),
                knownMachine == null || knownMachine.incarnation().isOlderThan(heartbeat),
                Token.compare(heartbeat.token(), context.leadership().token())));
        if (decision.is(Action.ASK)) {
            // The worker has seen a higher token and would drop this controller's 200: its lease would not be renewed.
            context.leadership().verifyLeadership();
        }
        if (decision.is(Action.ASK) || decision.reason() == Decision.Reason.GIVEN_BACK) {
            refuse(exchange, decision.reason().text());
            return;
        }
        Machine machine = machines.addIfAbsent(
                heartbeat.machine(), heartbeat.addr(), heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        if (knownMachine == null && machine != null) {
            context.events().unknownMachineReported();
        }
        if (machine == null) {
            refuse(exchange, "unknown machine type " + heartbeat.type());
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
        boolean mayBeRestarted = machine.incarnation().consecutiveOutdated() > 1
                || context.now() - machine.contact().lastMessageAt() > RESTART_SUSPECTED_AFTER_MS;
        if (!merged && mayBeRestarted) {
            // The reply distinguishes a late heartbeat from a restarted worker.
            probe.probe(machine);
        }
        return merged;
    }

    /**
     * Counts the lease of an unverified machine from the earlier leader's answers, since its heartbeat does not show this
     * leader's token. A worker has one heartbeat in flight and drops late answers, so no answer of this leader has reached it.
     * Otherwise the lease of a worker that sends heartbeats but receives nothing would never expire, and its tasks would count
     * as running all that time.
     */
    private void revertLease(Machine machine, long session) {
        machine.lease().revertToEarlierLeader();
        if (context.now() > healthMonitor.leaseExpiresAt(machine)) {
            leaseExpiry.expire(machine);
            // Disregards the worker until it shows this leader's token.
            machine.incarnation().ignoreBelowToken(context.token(), session);
        }
    }

    private void answerMerged(Machine machine, Heartbeat heartbeat, boolean merged, Http.Exchange exchange) {
        if (machine.contact().state() != Contact.State.ANSWERED) {
            // A later leader would count the lease from the silence in the machine's row: the row is rewritten first.
            Http.Exchange superseded = machine.contact().park(exchange);
            if (superseded != null) {
                refuse(superseded, "a newer heartbeat has arrived");
            }
            return;
        }
        if (requiresLeaseExpiry(machine, context.now())) {
            // A delayed start of a cancelled job may still arrive: only the end of the session can stop it now.
            refuse(exchange, "a start of a cancelled job may still arrive at this machine");
            return;
        }
        answer(machine, merged ? composer.composeAnswer(machine, heartbeat.seq()) : new Commands(), exchange);
    }

    /**
     * Returns whether a start of a cancelled job may still arrive at the machine after its deadline. The lease then has to
     * expire, since the machine did not see a higher token in time.
     */
    private static boolean requiresLeaseExpiry(Machine machine, long now) {
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.requiresLeaseExpiry(now)) {
                return true;
            }
        }
        return false;
    }

    private void answer(Machine machine, Commands commands, Http.Exchange exchange) {
        // Leadership is checked last: a 200 renews the lease, so only the leader may send it.
        if (!context.leadership().mayAct()) {
            refuse(exchange, "this controller may not act as leader at present");
            return;
        }
        machine.lease().renew(context.now());
        exchange.answer(200, commands.answer(context.leadership().token()));
    }

    /** Stops answering a silent machine and has the silence stored in its registry row, where a later leader reads it. */
    void suspend(Machine machine) {
        if (machine.contact().state() != Contact.State.SUSPENDED
                && machine.registered()
                && (machine.isUp() || machine.unverified())
                && context.leadership().state() == Leadership.State.LEADING) {
            machine.contact().suspend();
            context.events().registryRowChanged(machine);
        }
    }

    /** Answers the machine again, once its registry row is stored without a silence. */
    void resume(Machine machine) {
        machine.contact().markAnswered();
        Http.Exchange parked = machine.contact().unpark();
        if (parked != null) {
            answer(machine, new Commands(), parked);
        }
    }

    private static void refuse(Http.Exchange exchange, String reason) {
        exchange.answer(503, Refusal.body(reason));
    }
}
