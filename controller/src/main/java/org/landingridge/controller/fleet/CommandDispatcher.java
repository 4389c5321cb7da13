package org.landingridge.controller.fleet;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;

/** Sends commands to machines in direct calls, which is faster than to wait for their next heartbeat. */
final class CommandDispatcher {
    /** Timeout of a direct call. */
    static final long CALL_TIMEOUT_MS = 1_500;

    private static final long PAUSE_AFTER_NO_REPLY_MS = 3_000;
    /** Pause after a reply that is malformed, has an unexpected status or is outdated. */
    private static final long PAUSE_AFTER_UNUSABLE_REPLY_MS = 500;
    /** Delay from the reply to a call until the next call, which sends what was decided meanwhile. */
    private static final long FOLLOW_UP_CALL_DELAY_MS = 20;
    /** Direct calls use at most one connection in this many. */
    private static final int CONNECTIONS_PER_CALL = 8;

    /** Lower bound of the limit on concurrent calls, even if there are few connections. */
    private static final int MIN_CALL_LIMIT = 12;

    private final FleetContext context;
    private final HeartbeatHandler heartbeats;
    private final CommandComposer composer;
    /** Machines that wait for a call, in the order of the decisions. */
    private final Set<Machine> waitingMachines = new LinkedHashSet<>();
    /** Limit on concurrent calls; other machines wait for a call to end, in the order of the decisions. */
    private final int maxConcurrentCalls;

    private int callsInFlight;
    private boolean closed;

    CommandDispatcher(FleetContext context, HeartbeatHandler heartbeats, CommandComposer composer, int maxConnections) {
        this.context = context;
        this.heartbeats = heartbeats;
        this.composer = composer;
        this.maxConcurrentCalls = Math.max(MIN_CALL_LIMIT, maxConnections / CONNECTIONS_PER_CALL);
    }

    /** Stops sending; replies that still arrive are ignored. */
    void close() {
        closed = true;
    }

    /** Notes that a decision about the machine is to be sent with the next {@link #flush}. */
    void enqueue(Machine machine) {
        waitingMachines.add(machine);
    }

    /** Sends the decisions since the last flush in direct calls; what cannot be sent now waits for a tick. */
    void flush() {
        Iterator<Machine> waiting = waitingMachines.iterator();
        while (callsInFlight < maxConcurrentCalls && waiting.hasNext()) {
            Machine machine = waiting.next();
            waiting.remove();
            call(machine);
        }
    }

    /** Sends the machine its commands if there are any and it can be called; waits if too many calls are in flight. */
    void call(Machine machine) {
        long now = context.now();
        if (closed || !canCall(machine, now)) {
            return;
        }
        if (callsInFlight >= maxConcurrentCalls) {
            waitingMachines.add(machine);
            return;
        }
        CommandComposer.DirectCall directCall = composer.composeDirectCall(machine);
        if (!directCall.commands().isEmpty()) {
            send(machine, directCall, now);
        }
    }

    private boolean canCall(Machine machine, long now) {
        return !machine.attempts().isEmpty()
                && machine.calls().commandsDue(now)
                && machine.fenced()
                && machine.address() != null
                && machine.isUp()
                && now - machine.contact().lastMessageAt() <= context.leaseMs()
                && context.leadership().mayAct();
    }

    private void send(Machine machine, CommandComposer.DirectCall directCall, long now) {
        long token = context.leadership().token();
        List<Attempt> starts = directCall.starts();
        starts.forEach(attempt -> attempt.start().beginDirectCall(now, token));
        machine.calls().begin();
        callsInFlight++;
        long session = machine.incarnation().session();
        long seq = machine.incarnation().seq();
        byte[] body = directCall.commands().direct(token, session);
        context.http().call(machine.address(), "POST", "/commands", body, CALL_TIMEOUT_MS, reply -> {
            machine.calls().end();
            callsInFlight--;
            starts.forEach(attempt -> attempt.start().endDirectCall());
            if (!closed) {
                context.loop().after(0, this::flush);
                handleReply(machine, reply, session, seq);
                if (reply.outcome() == Http.Outcome.UNKNOWN || reply.outcome() == Http.Outcome.TOO_LARGE) {
                    starts.forEach(attempt -> attempt.start().markUnanswered(token));
                }
            }
        });
    }

    private void handleReply(Machine machine, Http.Reply reply, long session, long seq) {
        switch (reply.outcome()) {
            case ANSWERED -> {
                Heartbeat heartbeat = heartbeats.parseReply(machine, reply);
                if (heartbeat == null || !heartbeats.mergeReply(machine, heartbeat, session, seq)) {
                    machine.calls().pauseCommands(context.now() + PAUSE_AFTER_UNUSABLE_REPLY_MS);
                }
                context.loop().after(FOLLOW_UP_CALL_DELAY_MS, () -> call(machine));
            }
            case NOT_SENT, UNKNOWN, TOO_LARGE ->
                machine.calls().recordUnansweredCommands(context.now() + PAUSE_AFTER_NO_REPLY_MS);
        }
    }
}
