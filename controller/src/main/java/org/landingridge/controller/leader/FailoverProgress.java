package org.landingridge.controller.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.recovery.Action;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.controller.recovery.Decision.Reason;
import org.landingridge.controller.recovery.ObservationWindow;

/** How far a new leader has come in squaring the reports with the stored state, for people: events and status. */
final class FailoverProgress {
    /** GATHERING: what is there is not known yet. SETTLING: machines are left to be accounted for. OVER: none is. */
    private enum State {
        GATHERING,
        SETTLING,
        OVER
    }

    private static final int[] SHARES = {50, 95, 100};
    private static final int NAMED = 5;
    private final Fleet fleet;
    private final ObservationWindow observationWindow;
    private final EventLog eventLog;
    private final long beganAt;
    private final int asked;
    private State state = State.GATHERING;
    private int share;

    FailoverProgress(Fleet fleet, ObservationWindow observationWindow, EventLog eventLog, long beganAt) {
        this.fleet = fleet;
        this.observationWindow = observationWindow;
        this.eventLog = eventLog;
        this.beganAt = beganAt;
        this.asked = fleet.unaccounted();
    }

    /** Looks how far it has come, and tells of what is new. */
    void look(long now) {
        int left = fleet.unaccounted();
        while (share < SHARES.length && (asked - left) * 100L >= (long) SHARES[share] * asked) {
            if (asked > 0) {
                eventLog.emit("known", "percent", SHARES[share], "afterMs", now - beganAt, "left", left);
            }
            share++;
        }
        if (state == State.GATHERING && observationWindow.state(now) == ObservationWindow.State.COMPLETE) {
            to(State.SETTLING, now);
        }
        if (state == State.SETTLING && left == 0) {
            to(State.OVER, now);
        }
    }

    /** The only place where the state changes. */
    private void to(State next, long now) {
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

    /** Machines by verdict and cause: how many, the first of them, and at most until when they are waited for. */
    void describe(ObjectNode n, long now) {
        n.put("state", state.name())
                .put("sinceMs", now - beganAt)
                .put("asked", asked)
                .put("left", fleet.unaccounted())
                .put("heldTasks", fleet.blocked());
        Map<Action, Map<Reason, ObjectNode>> byVerdict = new EnumMap<>(Action.class);
        for (Machine m : fleet.machines()) {
            Decision j = fleet.judge(m, now);
            ObjectNode of = byVerdict
                    .computeIfAbsent(j.verdict(), v -> new EnumMap<>(Reason.class))
                    .computeIfAbsent(
                            j.cause(),
                            c -> n.withObject("/machines/" + name(j.verdict()) + "/" + name(c))
                                    .put("why", c.text())
                                    .put("count", 0));
            of.put("count", of.path("count").asInt() + 1);
            if (of.path("count").asInt() <= NAMED && !j.is(Action.ADOPT)) {
                of.withArray("first").add(m.id());
            }
            if (j.is(Action.WAIT) && j.cause() != Reason.BOOTING) {
                of.put("untilMs", Math.max(of.path("untilMs").asLong(), fleet.leaseEnds(m) - now));
            }
        }
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
