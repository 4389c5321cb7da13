package org.landingridge.controller.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.recovery.ObservationWindow;

/** How far a new leader has come in reconciling the heartbeats with the stored state, for people: events and status. */
final class FailoverProgress {
    /** The names are shown. */
    private enum State {
        /** Which machines are there is not known yet. */
        GATHERING,
        /** Machines are left to be accounted for. */
        SETTLING,
        /** Every machine is accounted for. */
        OVER
    }

    /** Of the machines to be accounted for, the shares in percent that are announced. */
    private static final int[] SHARES = {50, 95, 100};

    private final Fleet fleet;
    private final ObservationWindow observationWindow;
    private final EventLog eventLog;
    private final long beganAt;
    private final int asked;
    private State state = State.GATHERING;
    private int sharesAnnounced;

    FailoverProgress(Fleet fleet, ObservationWindow observationWindow, EventLog eventLog, long beganAt) {
        this.fleet = fleet;
        this.observationWindow = observationWindow;
        this.eventLog = eventLog;
        this.beganAt = beganAt;
        this.asked = fleet.unaccounted();
    }

    /** Notes how far it has come, and announces what is new. */
    void update(long now) {
        int left = fleet.unaccounted();
        announceShares(left, now);
        if (state == State.GATHERING && observationWindow.state(now) == ObservationWindow.State.COMPLETE) {
            transition(State.SETTLING, now);
        }
        if (state == State.SETTLING && left == 0) {
            transition(State.OVER, now);
        }
    }

    private void announceShares(int left, long now) {
        while (sharesAnnounced < SHARES.length && (asked - left) * 100L >= (long) SHARES[sharesAnnounced] * asked) {
            if (asked > 0) {
                eventLog.emit("known", "percent", SHARES[sharesAnnounced], "afterMs", now - beganAt, "left", left);
            }
            sharesAnnounced++;
        }
    }

    /** The only place where the state changes. */
    private void transition(State next, long now) {
        state = next;
        eventLog.emit(
                next == State.OVER ? "recovered" : "picture_complete",
                "afterMs",
                now - beganAt,
                "machines",
                fleet.size(),
                "held",
                fleet.blocked());
    }

    /** Adds the state, the counts, and the machines by decision. */
    void describe(ObjectNode node, long now) {
        node.put("state", state.name())
                .put("sinceMs", now - beganAt)
                .put("asked", asked)
                .put("left", fleet.unaccounted())
                .put("heldTasks", fleet.blocked());
        MachinesByDecision.of(fleet, now).describe(node);
    }
}
