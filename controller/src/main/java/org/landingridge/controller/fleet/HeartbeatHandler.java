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

/** Takes over what workers say of themselves, in heartbeats and in answers to commands. */
final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

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

    /** The state that a worker answered a call with; null if the answer has none. */
    Heartbeat read(Machine machine, Http.Reply reply) {
        if (reply.status() != 200 && reply.status() != 409) {
            LOG.info("{} answered a command with {}", machine.id(), reply.status());
            return null;
        }
        try {
            Heartbeat heartbeat = Heartbeat.parse(Json.parse(reply.body()));
            return heartbeat.machine().equals(machine.id()) ? heartbeat : null;
        } catch (InvalidMessageException e) {
            LOG.warn("dropping an answer of {}: {}", machine.id(), e.getMessage());
            return null;
        }
    }

    /**
     * Takes over what a worker answered to a call, which it wrote after the call was sent.
     *
     * @param session the newest session known when the call was sent
     * @param seq     the newest sequence number known then
     * @return false if something newer is known already
     */
    boolean mergeAnswer(Machine machine, Heartbeat heartbeat, long session, long seq) {
        // Sequences only grow within an incarnation: whoever answers now with an older one was restarted, and what it
        // ran is gone. Else it would be taken for alive, with its tasks, for good: all its heartbeats are outdated.
        if (!Incarnation.newer(heartbeat, session, seq)
                && !machine.incarnation().restarted()) {
            LOG.info(
                    "{} has begun anew: it answers with {}/{} after {}/{}",
                    machine.id(),
                    heartbeat.session(),
                    heartbeat.seq(),
                    session,
                    seq);
            context.incidents().record(machine.id() + " was started anew; what it ran before is lost");
            context.eventLog()
                    .emit("begun_anew", "machine", machine.id(), "zone", machine.zone(), "held", machine.live());
            machine.incarnation().restart(context.leadership().token());
            machine.unfence();
        }
        return merge(machine, heartbeat, false);
    }

    /**
     * Takes over what a worker says.
     *
     * @param hello true for a heartbeat, false for the answer to a call
     * @return false if something newer is known already
     */
    boolean merge(Machine machine, Heartbeat heartbeat, boolean hello) {
        Incarnation incarnation = machine.incarnation();
        // Late heartbeats of an earlier incarnation would take tasks of the present one for gone.
        if (incarnation.follows(heartbeat)) {
            incarnation.noteOutdated();
            return false;
        }
        if (incarnation.restarted()) {
            begin(machine);
        }
        // The highest token that a worker has seen only grows within an incarnation. A heartbeat that shows less than
        // is known was sent before, or by an earlier incarnation whose sequence had come further: held up behind a cut,
        // it would end what runs now.
        if (!incarnation.precedes(heartbeat) || heartbeat.token() < incarnation.token()) {
            incarnation.noteOutdated();
            return false;
        }
        incarnation.clearOutdated();
        long now = context.now();
        boolean news = !Objects.equals(machine.noticeS(), heartbeat.noticeS());
        news |= mergeSession(machine, heartbeat, now);
        incarnation.accept(heartbeat);
        mergeContact(machine, hello, now);
        machine.describe(heartbeat);
        news |= bringUp(machine, now);
        news |= mergeEntries(machine, heartbeat, now);
        news |= mergeAbsent(machine, heartbeat, hello);
        news |= fence(machine, heartbeat, now);
        if (machine.hasLive()) {
            machine.busyAt(now);
        }
        // Most heartbeats say nothing new, and hundreds come each second: they may not cost a pass over the fleet.
        if (news) {
            context.events().changed();
        }
        return true;
    }

    /** The first heartbeat of a worker that was restarted and can be reached by nothing that was sent before. */
    private void begin(Machine machine) {
        machine.incarnation().begin();
        attempts.releaseAll(machine, "it was started anew");
        machine.images().clear();
    }

    private boolean mergeSession(Machine machine, Heartbeat heartbeat, long now) {
        long known = machine.incarnation().session();
        if (heartbeat.session() <= known) {
            return false;
        }
        if (known >= 0) {
            LOG.info("{} begins session {}: everything on it was lost", machine.id(), heartbeat.session());
            context.incidents().record(machine.id() + " came back with a new session; what it ran before is lost");
        }
        countLostStart(machine, now);
        // The earlier session's end killed and forgot every task.
        attempts.releaseAll(machine, "its session ended");
        machine.incarnation().beginSession(heartbeat.session());
        // A session has a lease's time from its beginning, whether anybody answers it or not. Counted from an answer to
        // the one before, what was started straight into this one would be placed again while it still runs.
        machine.lease().extend(now);
        return true;
    }

    /**
     * A session that ended with starts that no heartbeat has shown is evidence of a machine that sends heartbeats and hears
     * nothing: it looks the best of all, being empty, and would be given task after task.
     */
    private static void countLostStart(Machine machine, long now) {
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.state() == Attempt.State.SENT && attempt.startMayArrive()) {
                machine.failures().startLost(now);
                return;
            }
        }
    }

    private void mergeContact(Machine machine, boolean hello, long now) {
        machine.heard(now);
        if (hello) {
            machine.contact().heartbeat(now);
        }
        if (machine.contact().reopen()) {
            context.events().registry(machine);
        }
    }

    private boolean bringUp(Machine machine, long now) {
        if (machine.state() != Machine.State.BOOTING && machine.state() != Machine.State.LAPSED) {
            return false;
        }
        machine.to(Machine.State.UP);
        machine.busyAt(now);
        machine.lease().extend(now);
        if (!machine.registered()) {
            context.events().registry(machine);
        }
        if (machine.awaitingBoot()) {
            machine.booted();
            boots.booted(machine, now);
        }
        return true;
    }

    private boolean mergeEntries(Machine machine, Heartbeat heartbeat, long now) {
        boolean news = false;
        for (Heartbeat.Entry entry : heartbeat.tasks()) {
            Attempt attempt = machine.attempt(entry.attempt());
            if (attempt == null) {
                attempt = attempts.adopt(machine, entry, now);
                news = true;
            }
            attempt.reportedWith(heartbeat.seq());
            // One that has ended proves nothing: its task may have been placed elsewhere since.
            if (attempt.owner() != null
                    && heartbeat.token() >= context.token()
                    && entry.status() != Heartbeat.TaskStatus.EXITED) {
                attempt.owner().account();
            }
            Attempt.State before = attempt.state();
            if (before == Attempt.State.SENT) {
                machine.failures().startArrived();
            }
            attempts.seen(attempt, entry, now);
            news |= attempt.state() != before;
        }
        return news;
    }

    private boolean mergeAbsent(Machine machine, Heartbeat heartbeat, boolean hello) {
        boolean news = false;
        List<Attempt> absent = List.of();
        for (Attempt attempt : machine.attempts().values()) {
            attempt.tokenShown(heartbeat.token());
            if (attempt.reportedWith() != heartbeat.seq()) {
                absent = absent.isEmpty() ? new ArrayList<>() : absent;
                absent.add(attempt);
            }
        }
        for (Attempt attempt : absent) {
            attempts.missing(attempt, heartbeat, hello);
            news |= attempt.state() == Attempt.State.OVER;
        }
        return news;
    }

    private boolean fence(Machine machine, Heartbeat heartbeat, long now) {
        if (heartbeat.token() < context.token() || machine.fenced()) {
            return false;
        }
        machine.fence();
        // From here on starts are sent to it, into a session that may have begun at any time until now.
        machine.lease().extend(now);
        unverifiedMachines.accounted(machine);
        return true;
    }
}
