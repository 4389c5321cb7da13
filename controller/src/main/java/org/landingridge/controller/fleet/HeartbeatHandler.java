package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What workers say of themselves, in heartbeats and in answers to commands. */
final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    /** A machine that loses starts takes none for so long, and longer each time. */
    private static final long AVOID_MS = 10_000;

    private static final int MOST_AVOIDED = 6;
    private final FleetContext context;
    private final AttemptTracker attempts;
    private final UnverifiedMachines unverifiedMachines;
    private final BootTimes boots;

    HeartbeatHandler(
            FleetContext context, AttemptTracker attempts, UnverifiedMachines unverifiedMachines, BootTimes boots) {
        this.context = context;
        this.attempts = attempts;
        this.unverifiedMachines = unverifiedMachines;
        this.boots = boots;
    }

    static boolean newer(Machine m, Heartbeat r) {
        return newer(r, m.session, m.seq);
    }

    private static boolean newer(Heartbeat r, long session, long seq) {
        return r.session() > session || r.session() == session && r.seq() > seq;
    }

    /**
     * Takes over what a worker answered to a call, which it wrote after the call was sent.
     *
     * @param session the newest session known when the call was sent
     * @param seq     the newest sequence known then
     * @return false if something newer is known already
     */
    boolean mergeAnswer(Machine m, Heartbeat r, long session, long seq) {
        // Sequences only grow within a life: whoever answers now with an older one has begun anew, and what it held is
        // gone.
        // Without this it would be taken for alive, with its tasks, for good: all its heartbeats look old.
        if (!newer(r, session, seq) && m.life() == Machine.Incarnation.KNOWN) {
            LOG.info("{} has begun anew: it answers with {}/{} after {}/{}", m.id, r.session(), r.seq(), session, seq);
            context.incidents().record(m.id + " was started anew; what it ran before is lost");
            context.eventLog().emit("begun_anew", "machine", m.id, "zone", m.zone, "held", m.live());
            m.to(Machine.Incarnation.ANEW);
            m.lifeAbove = context.lead().token();
            m.fenced = false;
        }
        return merge(m, r, false);
    }

    /** The first word of a machine that has begun anew and can be reached by nothing that was sent before. */
    private void begin(Machine m) {
        m.to(Machine.Incarnation.KNOWN);
        attempts.releaseAll(m, "it was started anew");
        m.images.clear();
        m.session = -1;
        m.seq = -1;
        m.token = 0;
    }

    /** Takes over what a worker says; false if something newer is known already. */
    boolean merge(Machine m, Heartbeat r, boolean hello) {
        // Late heartbeats of an earlier life would take tasks of the present one for gone.
        if (m.lifeAbove > 0 && r.token() <= m.lifeAbove) {
            m.older++;
            return false;
        }
        if (m.life() == Machine.Incarnation.ANEW) {
            begin(m);
        }
        // The highest token that a worker has seen only grows within a life. A report that shows less than is known was
        // sent before,
        // or by an earlier life whose sequence had come further: held up behind a cut, it would end what runs now.
        if (!newer(m, r) || r.token() < m.token) {
            m.older++;
            return false;
        }
        m.older = 0;
        long now = context.loop().now();
        boolean news = !Objects.equals(m.noticeS, r.noticeS());
        if (r.session() > m.session) {
            news = true;
            if (m.session >= 0) {
                LOG.info("{} begins session {}: everything on it was lost", m.id, r.session());
                context.incidents().record(m.id + " came back with a new session; what it ran before is lost");
            }
            lostStarts(m, now);
            // The earlier session's end killed and forgot every task.
            attempts.releaseAll(m, "its session ended");
            m.session = r.session();
            // A session has a lease's time from its beginning, whether anybody answers it or not. Counted from an
            // answer to the one
            // before, what was started straight into this one would be placed again while it still runs.
            m.answered = Math.max(m.answered, now);
        }
        m.seq = r.seq();
        m.token = r.token();
        m.heard(now);
        m.reported = hello ? now : m.reported;
        if (m.contact() == Machine.Contact.MUTED) {
            // Where no row can tell of its silence, as in an outage of the state service, nobody counts by it.
            m.to(m.told ? Machine.Contact.RETURNING : Machine.Contact.HEARD);
            context.events().registry(m);
        }
        m.addr = r.addr();
        m.noticeS = r.noticeS();
        if (m.state() == Machine.State.BOOTING || m.state() == Machine.State.LAPSED) {
            m.to(Machine.State.UP);
            news = true;
            m.idleSince = now;
            m.answered = Math.max(m.answered, now);
            if (!m.written) {
                context.events().registry(m);
            }
            if (m.rented) {
                m.rented = false;
                boots.booted(m, now);
            }
        }
        for (Heartbeat.Entry e : r.tasks()) {
            Attempt a = m.attempts.get(e.attempt());
            if (a == null) {
                a = attempts.adopt(m, e, now);
                news = true;
            }
            a.reportedWith = r.seq();
            // One that has ended proves nothing: its task may have been placed elsewhere since.
            if (a.owner != null && r.token() >= context.token() && e.status() != Heartbeat.TaskStatus.EXITED) {
                a.owner.accounted = true;
            }
            Attempt.State before = a.state();
            if (before == Attempt.State.SENT) {
                m.lostStarts = 0;
            }
            attempts.seen(a, e, now);
            news |= a.state() != before;
        }
        List<Attempt> absent = List.of();
        for (Attempt a : m.attempts.values()) {
            if (a.unansweredUnder != 0 && r.token() > a.unansweredUnder) {
                a.unansweredUnder = 0;
            }
            if (a.reportedWith != r.seq()) {
                absent = absent.isEmpty() ? new ArrayList<>() : absent;
                absent.add(a);
            }
        }
        for (Attempt a : absent) {
            attempts.missing(a, r, hello);
            news |= a.state() == Attempt.State.OVER;
        }
        if (r.token() >= context.token() && !m.fenced) {
            m.fenced = true;
            // From here on starts are sent to it, into a session that may have begun at any time until now.
            m.answered = Math.max(m.answered, now);
            news = true;
            unverifiedMachines.accounted(m);
        }
        if (m.hasLive()) {
            m.idleSince = now;
        }
        // Most heartbeats say nothing new, and hundreds come each second: they may not cost a pass over the fleet.
        if (news) {
            context.events().changed();
        }
        return true;
    }

    /**
     * A session that ended with starts that no report has shown tells of a machine that sends heartbeats and hears nothing: it looks the
     * best of all, being empty, and would be given task after task.
     */
    private static void lostStarts(Machine m, long now) {
        for (Attempt a : m.attempts.values()) {
            if (a.state() == Attempt.State.SENT && a.unansweredUnder != 0) {
                m.lostStarts++;
                m.avoidUntil = now + AVOID_MS * Math.min(MOST_AVOIDED, m.lostStarts);
                return;
            }
        }
    }

    Heartbeat read(Machine m, Http.Reply reply) {
        if (reply.status() != 200 && reply.status() != 409) {
            LOG.info("{} answered a command with {}", m.id, reply.status());
            return null;
        }
        try {
            Heartbeat r = Heartbeat.parse(Json.parse(reply.body()));
            return r.machine().equals(m.id) ? r : null;
        } catch (InvalidMessageException e) {
            LOG.warn("dropping an answer of {}: {}", m.id, e.getMessage());
            return null;
        }
    }
}
