package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.agrona.collections.LongHashSet;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Merges the state that workers report, in heartbeats and in replies to calls, into the leader's view of the fleet. */
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

    /** Returns the worker's state from its reply to a call, or null if the reply has none. */
    Heartbeat parseReply(Machine machine, Http.Reply reply) {
        if (reply.status() != 200 && reply.status() != 409) {
            LOG.info("call reply with unexpected status, machine={} status={}", machine.id(), reply.status());
            return null;
        }
        try {
            Heartbeat heartbeat = Heartbeat.parse(Json.parse(reply.body()));
            return heartbeat.machine().equals(machine.id()) ? heartbeat : null;
        } catch (InvalidMessageException e) {
            LOG.warn("malformed call reply dropped, machine={} reason={}", machine.id(), e.getMessage());
            return null;
        }
    }

    /**
     * Merges the state from a worker's reply to a call. The worker wrote it after the call was sent.
     *
     * @param session the newest session known when the call was sent
     * @param seq     the newest sequence number known when the call was sent
     * @return false if the reply is outdated, or the machine is gone
     */
    boolean mergeReply(Machine machine, Heartbeat heartbeat, long session, long seq) {
        if (machine.isGone()) {
            // The machine is in no table any more: a task adopted on it would count as running without end.
            LOG.info(
                    "late reply of a returned machine ignored, machine={} tasks={}",
                    machine.id(),
                    heartbeat.tasks().size());
            context.metrics().lateReplies.increment();
            return false;
        }
        // Sequence numbers only grow within an incarnation: a reply with an older one comes from a restarted worker,
        // and its earlier tasks are gone. Without this check, the machine and these tasks would count as alive
        // indefinitely, since all heartbeats of the new process look outdated.
        if (!Incarnation.isNewer(heartbeat, session, seq)
                && !machine.incarnation().restarted()) {
            recordRestart(machine, heartbeat, "its reply is older than known before the call");
        }
        return merge(machine, heartbeat, false);
    }

    /** Records that the worker was restarted: nothing that it sends counts until it has shown a higher token. */
    private void recordRestart(Machine machine, Heartbeat heartbeat, String evidence) {
        LOG.info(
                "worker restarted, machine={} session={} seq={} knownSession={} knownSeq={} evidence={}",
                machine.id(),
                heartbeat.session(),
                heartbeat.seq(),
                machine.incarnation().session(),
                machine.incarnation().seq(),
                evidence);
        context.incidents()
                .record("the worker of " + machine.id() + " was restarted; the tasks that it ran before are lost");
        context.eventLog()
                .emit("begun_anew", "machine", machine.id(), "zone", machine.zone(), "held", machine.liveAttempts());
        machine.incarnation().markRestarted(context.leadership().token());
        machine.unfence();
    }

    /**
     * Returns what in the report only a new process of the worker can say, or null if there is nothing. Within a process, a worker
     * drops an attempt only on command and never runs one again that has ended. The numbers of a restarted worker may have passed
     * those known before a call showed the restart. If its former attempts were simply released, a late copy of a start, with
     * matching session and token, would run a task a second time.
     */
    private static String evidenceOfRestart(Machine machine, Heartbeat heartbeat) {
        if (machine.attempts().isEmpty()
                || heartbeat.session() != machine.incarnation().session()) {
            return null;
        }
        LongHashSet reported = new LongHashSet();
        for (Heartbeat.Entry entry : heartbeat.tasks()) {
            reported.add(entry.attempt());
            Attempt attempt = machine.attempt(entry.attempt());
            boolean hadEnded = attempt != null && attempt.state() == Attempt.State.EXITED;
            if (hadEnded && entry.status() != Heartbeat.TaskStatus.EXITED) {
                return "it runs an attempt again that had ended";
            }
        }
        // Before the worker has shown this leader's token, an earlier leader may have had attempts cleared.
        return machine.fenced() && lacksShownAttempt(machine, reported)
                ? "it no longer reports an attempt that was not cleared"
                : null;
    }

    private static boolean lacksShownAttempt(Machine machine, LongHashSet reported) {
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.isShown() && !attempt.clearSent() && !reported.contains(attempt.number())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Merges the state that a worker reports.
     *
     * @param isHeartbeat true for a heartbeat, false for the reply to a call
     * @return false if the report is outdated
     */
    boolean merge(Machine machine, Heartbeat heartbeat, boolean isHeartbeat) {
        Incarnation incarnation = machine.incarnation();
        // A late heartbeat of an earlier incarnation lacks the tasks of the present one, which would count as gone.
        if (incarnation.isLaterThan(heartbeat)) {
            incarnation.countOutdated();
            return false;
        }
        if (incarnation.restarted()) {
            beginIncarnation(machine);
        }
        // The highest token that a worker has seen only grows within an incarnation. A heartbeat with a lower token was
        // sent earlier, or by an earlier incarnation with higher sequence numbers. If a network partition delayed it,
        // merging it would release the attempts that run now.
        if (!incarnation.isOlderThan(heartbeat) || heartbeat.token() < incarnation.token()) {
            incarnation.countOutdated();
            return false;
        }
        String evidence = evidenceOfRestart(machine, heartbeat);
        if (evidence != null) {
            recordRestart(machine, heartbeat, evidence);
            incarnation.countOutdated();
            return false;
        }
        incarnation.resetOutdated();
        long now = context.now();
        boolean changed = !Objects.equals(machine.noticeS(), heartbeat.noticeS());
        changed |= mergeSession(machine, heartbeat, now);
        incarnation.accept(heartbeat);
        mergeContact(machine, isHeartbeat, now);
        machine.updateFrom(heartbeat);
        changed |= markUp(machine, now);
        changed |= mergeEntries(machine, heartbeat, now);
        changed |= mergeAbsent(machine, heartbeat, isHeartbeat);
        changed |= fence(machine, heartbeat, now);
        if (machine.hasLiveAttempts()) {
            machine.resetIdleTime(now);
        }
        // Hundreds of heartbeats arrive each second and most change nothing: they must not cost a pass over the fleet.
        if (changed) {
            context.events().changed();
        }
        return true;
    }

    /** Begins the incarnation of a restarted worker: commands sent to the earlier one can no longer reach it. */
    private void beginIncarnation(Machine machine) {
        machine.incarnation().completeRestart();
        attempts.releaseAll(machine, "the worker was restarted");
        machine.images().clear();
    }

    private boolean mergeSession(Machine machine, Heartbeat heartbeat, long now) {
        long knownSession = machine.incarnation().session();
        if (heartbeat.session() <= knownSession) {
            return false;
        }
        if (knownSession >= 0) {
            LOG.info(
                    "new worker session, earlier tasks lost, machine={} session={}", machine.id(), heartbeat.session());
            context.incidents().record(machine.id() + " began a new session; the tasks that it ran before are lost");
        }
        countLostStartIfAny(machine, now);
        // When a session ends, the worker kills and forgets every task.
        attempts.releaseAll(machine, "the worker's session ended");
        machine.incarnation().beginSession(heartbeat.session());
        // A session lasts at least one lease, even if no heartbeat in it is answered. If the lease were counted from an
        // answer in the previous session, a task that a direct call started in this one would be placed again while it
        // still runs.
        machine.lease().extend(now);
        return true;
    }

    /**
     * Counts a lost start if the session ended with a start that no heartbeat has shown. That is evidence of a machine that
     * sends heartbeats but receives nothing: being empty, it would be preferred and given one task after another.
     */
    private static void countLostStartIfAny(Machine machine, long now) {
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.state() == Attempt.State.STARTING && attempt.start().mayArrive()) {
                machine.failures().recordLostStart(now);
                return;
            }
        }
    }

    private void mergeContact(Machine machine, boolean isHeartbeat, long now) {
        machine.recordMessage(now);
        if (isHeartbeat) {
            machine.contact().recordHeartbeat(now);
        }
        if (machine.contact().endSilence()) {
            context.events().registryRowChanged(machine);
        }
    }

    private boolean markUp(Machine machine, long now) {
        if (machine.state() != Machine.State.BOOTING && machine.state() != Machine.State.LAPSED) {
            return false;
        }
        machine.transitionTo(Machine.State.UP);
        machine.resetIdleTime(now);
        machine.lease().extend(now);
        if (!machine.registered()) {
            context.events().registryRowChanged(machine);
        }
        if (machine.measuringBoot()) {
            machine.endBootMeasurement();
            boots.recordBoot(machine, now);
        }
        return true;
    }

    private boolean mergeEntries(Machine machine, Heartbeat heartbeat, long now) {
        boolean changed = false;
        for (Heartbeat.Entry entry : heartbeat.tasks()) {
            Attempt attempt = machine.attempt(entry.attempt());
            if (attempt == null) {
                attempt = attempts.adopt(machine, entry, now);
                changed = true;
            }
            attempt.markReported(heartbeat.seq());
            // An ended attempt proves nothing: its task may have been placed elsewhere since.
            if (attempt.task() != null
                    && heartbeat.token() >= context.token()
                    && entry.status() != Heartbeat.TaskStatus.EXITED) {
                attempt.task().markAccountedFor();
            }
            Attempt.State previousState = attempt.state();
            if (previousState == Attempt.State.STARTING) {
                machine.failures().recordArrivedStart();
            }
            attempts.update(attempt, entry, now);
            changed |= attempt.state() != previousState;
        }
        return changed;
    }

    private boolean mergeAbsent(Machine machine, Heartbeat heartbeat, boolean isHeartbeat) {
        boolean changed = false;
        List<Attempt> absent = List.of();
        for (Attempt attempt : machine.attempts().values()) {
            attempt.start().observeToken(heartbeat.token());
            if (attempt.lastReportSeq() != heartbeat.seq()) {
                absent = absent.isEmpty() ? new ArrayList<>() : absent;
                absent.add(attempt);
            }
        }
        for (Attempt attempt : absent) {
            attempts.handleMissing(attempt, heartbeat, isHeartbeat);
            changed |= attempt.state() == Attempt.State.RELEASED;
        }
        return changed;
    }

    private boolean fence(Machine machine, Heartbeat heartbeat, long now) {
        if (heartbeat.token() < context.token() || machine.fenced()) {
            return false;
        }
        machine.fence();
        // Starts are sent to the machine from now on, in a session that may have begun at any time up to now.
        machine.lease().extend(now);
        unverifiedMachines.markVerified(machine);
        return true;
    }
}
