package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.net.Http;
import org.landingridge.wire.Commands;
import org.landingridge.wire.Heartbeat;

/** What workers are told: in answers to their heartbeats, and straight where that is quicker. */
final class CommandDispatcher {
    private static final long CALL_MS = 1_500;
    /** A call that was not answered by now may be lost. */
    private static final long CROSSING_MS = 300;
    /** Pause after a call without an answer, before the machine is asked once more. */
    private static final long ASK_PAUSE_MS = 400;
    /** Questions at a time take this part of the connections at most, and never fewer than so many. */
    private static final int ASK_SHARE = 16;

    private static final int LEAST_ASKS = 12;
    private static final int CALL_SHARE = 8;
    private final FleetContext context;
    private final Map<String, ActiveJob> jobs;
    private final HeartbeatHandler heartbeats;
    private final Set<Machine> touched = new LinkedHashSet<>();
    /**
     * At a takeover every worker sends a heartbeat by itself within a period or two, and those answers save leases: only who stays
     * silent is asked, and so many at a time.
     */
    private final int mostAsks;
    /** Questions that are out. */
    private int asking;
    /** Commands sent straight to machines at a time; more wait for one that is over, the first decided first. */
    private final int mostCalls;

    private int calls;
    private boolean closed;

    CommandDispatcher(
            FleetContext context, Map<String, ActiveJob> jobs, HeartbeatHandler heartbeats, int maxConnections) {
        this.mostAsks = Math.max(LEAST_ASKS, maxConnections / ASK_SHARE);
        this.mostCalls = Math.max(LEAST_ASKS, maxConnections / CALL_SHARE);
        this.context = context;
        this.jobs = jobs;
        this.heartbeats = heartbeats;
    }

    void close() {
        closed = true;
    }

    /** Something was decided about the machine: it is told with the next {@link #flush}. */
    void touch(Machine m) {
        touched.add(m);
    }

    /** Sends what has been decided, straight to the machines that need it; what can't be sent now waits for a tick. */
    void flush() {
        Iterator<Machine> next = touched.iterator();
        while (calls < mostCalls && next.hasNext()) {
            Machine m = next.next();
            next.remove();
            callDirect(m);
        }
    }

    /** What the machine should do now; {@code report} is the report answered, or -1 for a direct call. */
    Commands commands(Machine m, long report) {
        Commands c = new Commands();
        long now = context.loop().now();
        boolean direct = report < 0;
        if (!m.fenced || !m.written) {
            // What is over has to end whether or not this leader may start anything here: between a takeover and the
            // report
            // that shows the token half a lease can pass, and in an outage no row is written.
            for (Attempt a : m.attempts.values()) {
                if (!direct && a.live() && a.owner == null && a.stopWanted && a.state() != Attempt.State.SENT) {
                    c.stop(a.job, a.task, a.number, 0);
                }
            }
            return c;
        }
        for (Attempt a : m.attempts.values()) {
            if (a.state() == Attempt.State.EXITED) {
                boolean kept = a.owner != null && a.owner.state() == Task.State.FINISHED && jobs.containsKey(a.job);
                // A start that may still arrive would run once more if the machine forgot the attempt.
                if (!direct && !kept && a.unansweredUnder == 0 && !a.copyCouldRun()) {
                    c.forget(a.job, a.task, a.number);
                }
            } else if (a.stopWanted && a.state() != Attempt.State.SENT && (!direct || now - a.stopSentAt > 1_000)) {
                a.stopSentAt = now;
                c.stop(a.job, a.task, a.number, a.graceS);
            }
        }
        if (m.state() == Machine.State.UP) {
            for (Attempt a : m.attempts.values()) {
                // A start that is on its way straight to the machine is not repeated in the answer that crosses it.
                if (a.state() == Attempt.State.SENT
                        && !a.stopWanted
                        && (direct ? a.sentWithReport < 0 && a.unansweredUnder == 0 : now - a.directAt > CROSSING_MS)) {
                    c.start(a.job, a.task, a.number);
                    if (!direct) {
                        a.sentWithReport = report;
                    }
                }
            }
        }
        return c;
    }

    void callDirect(Machine m) {
        long now = context.loop().now();
        if (closed
                || m.attempts.isEmpty()
                || m.calling
                || !m.fenced
                || m.addr == null
                || now < m.callNotBefore
                || m.state() != Machine.State.UP
                || now - m.heard > context.leaseMs()
                || !context.lead().mayAct()) {
            return;
        }
        if (calls >= mostCalls) {
            touched.add(m);
            return;
        }
        Commands c = commands(m, -1);
        if (c.isEmpty()) {
            return;
        }
        long token = context.lead().token();
        List<Attempt> starts = new ArrayList<>();
        for (Attempt a : m.attempts.values()) {
            if (a.state() == Attempt.State.SENT && !a.stopWanted && a.sentWithReport < 0 && a.unansweredUnder == 0) {
                starts.add(a);
                a.directAt = now;
                a.directUnder = token;
            }
        }
        m.calling = true;
        calls++;
        long session = m.session;
        long seq = m.seq;
        context.http().call(m.addr, "POST", "/commands", c.direct(token, session), CALL_MS, reply -> {
            m.calling = false;
            calls--;
            starts.forEach(a -> a.directAt = Long.MIN_VALUE / 2);
            if (closed) {
                return;
            }
            context.loop().after(0, this::flush);
            switch (reply.outcome()) {
                case ANSWERED -> {
                    Heartbeat r = heartbeats.read(m, reply);
                    if (r == null || !heartbeats.mergeAnswer(m, r, session, seq)) {
                        m.callNotBefore = context.loop().now() + 500;
                    }
                    context.loop().after(20, () -> callDirect(m));
                }
                case NOT_SENT -> {
                    m.unanswered++;
                    m.callNotBefore = context.loop().now() + 3_000;
                }
                case UNKNOWN -> {
                    m.unanswered++;
                    m.callNotBefore = context.loop().now() + 3_000;
                    for (Attempt a : starts) {
                        a.unansweredUnder = token;
                    }
                }
            }
        });
    }

    /** Shows a silent machine the token, and learns whether it is there and what is on it. */
    void ask(Machine m) {
        ask(m, 0);
    }

    private void ask(Machine m, int tries) {
        long now = context.loop().now();
        if (closed
                || m.addr == null
                || m.calling
                || now < m.askNotBefore
                || !context.lead().mayAct()
                || tries > 3
                || asking >= mostAsks) {
            return;
        }
        m.calling = true;
        asking++;
        long session = m.session;
        long seq = m.seq;
        byte[] body = new Commands().direct(context.lead().token(), Math.max(1, session));
        context.http().call(m.addr, "POST", "/commands", body, CALL_MS, reply -> {
            m.calling = false;
            asking--;
            if (closed) {
                return;
            }
            if (reply.outcome() != Http.Outcome.ANSWERED) {
                m.unanswered++;
                m.askNotBefore = context.loop().now() + ASK_PAUSE_MS;
                return;
            }
            Heartbeat r = heartbeats.read(m, reply);
            if (r != null) {
                heartbeats.mergeAnswer(m, r, session, seq);
                m.heard(context.loop().now());
                // One that has begun anew is shown the next token, which is not there yet.
                if (!m.fenced && m.life() == Machine.Incarnation.KNOWN) {
                    ask(m, tries + 1);
                }
            }
        });
    }

    /** Attempts that have ended and stay on the machine until it has seen a higher token than ours is now. */
    int kept(Machine m) {
        int kept = 0;
        for (Attempt a : m.attempts.values()) {
            kept += a.state() == Attempt.State.EXITED
                            && a.copyCouldRun()
                            && a.directUnder == context.lead().token()
                    ? 1
                    : 0;
        }
        return kept;
    }

    /**
     * True if a start of a cancelled job may still arrive at the machine, and its lease has to run out for that not to be too
     * late: no higher token could be shown to it in time.
     */
    boolean mustLapse(Machine m, long now) {
        for (Attempt a : m.attempts.values()) {
            if (a.state() == Attempt.State.SENT && a.unansweredUnder != 0 && now >= a.offBy) {
                return true;
            }
        }
        return false;
    }

    /**
     * True if something that should be off the machine may still arrive there: a start that was sent straight, got no
     * answer, and is not wanted any more. It may come minutes late, for instance long after its job's cancellation;
     * only a higher token stops it.
     */
    boolean withdrawn(Machine m, long now) {
        for (Attempt a : m.attempts.values()) {
            boolean unwanted = a.stopWanted || a.state() == Attempt.State.EXITED;
            if (a.unansweredUnder != 0
                    && unwanted
                    && a.unansweredUnder == context.lead().token()
                    && now - a.since > 3_000) {
                return true;
            }
        }
        return false;
    }
}
