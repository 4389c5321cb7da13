package org.landingridge.controller.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.recovery.ObservationWindow;

/** Tracks how far a new leader has reconciled heartbeats with the stored state, and reports it as events and in the status. */
final class FailoverProgress {
    /** The phase of the failover; the names of the constants are shown in the status. */
    private enum State {
        /** The set of machines is not known yet. */
        GATHERING,
        /** Some machines are not accounted for yet. */
        SETTLING,
        /** Every machine is accounted for. */
        OVER
    }

    /** Percentages of accounted-for machines at which an event is emitted. */
    private static final int[] ANNOUNCED_PERCENTS = {50, 95, 100};

    private final Fleet fleet;
    private final ObservationWindow observationWindow;
    private final EventLog eventLog;
    private final long startedAt;
    private final int initiallyUnaccounted;
    private State state = State.GATHERING;
    private int announcedCount;

    FailoverProgress(Fleet fleet, ObservationWindow observationWindow, EventLog eventLog, long startedAt) {
        this.fleet = fleet;
        this.observationWindow = observationWindow;
        this.eventLog = eventLog;
        this.startedAt = startedAt;
        this.initiallyUnaccounted = fleet.unverified();
    }

    /** Updates the state, and emits events for the progress since the last call. */
    void update(long now) {
        int unaccounted = fleet.unverified();
        announceProgress(unaccounted, now);
        if (state == State.GATHERING && observationWindow.state(now) == ObservationWindow.State.COMPLETE) {
            transition(State.SETTLING, now);
        }
        if (state == State.SETTLING && unaccounted == 0) {
            transition(State.OVER, now);
        }
    }

    private void announceProgress(int unaccounted, long now) {
        while (announcedCount < ANNOUNCED_PERCENTS.length
                && (initiallyUnaccounted - unaccounted) * 100L
                        >= (long) ANNOUNCED_PERCENTS[announcedCount] * initiallyUnaccounted) {
            if (initiallyUnaccounted > 0) {
                eventLog.emit(
                        "known",
                        "percent",
                        ANNOUNCED_PERCENTS[announcedCount],
                        "afterMs",
                        now - startedAt,
                        "left",
                        unaccounted);
            }
            announcedCount++;
        }
    }

    /** Changes the state and emits the matching event; no other method changes the state. */
    private void transition(State next, long now) {
        state = next;
        eventLog.emit(
                next == State.OVER ? "recovered" : "picture_complete",
                "afterMs",
                now - startedAt,
                "machines",
                fleet.size(),
                "held",
                fleet.blockedTasks());
    }

    /** Adds the state, the counts, and the machines grouped by decision to the node. */
    void describe(ObjectNode node, long now) {
        node.put("state", state.name())
                .put("sinceMs", now - startedAt)
                .put("asked", initiallyUnaccounted)
                .put("left", fleet.unverified())
                .put("heldTasks", fleet.blockedTasks());
        MachinesByDecision.of(fleet, now).describe(node);
    }
}
