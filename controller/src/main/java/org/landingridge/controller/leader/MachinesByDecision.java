package org.landingridge.controller.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.recovery.Action;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.controller.recovery.Decision.Reason;

/** Groups the machines of the fleet by the decision taken about each: its action and reason. Shown in the status. */
final class MachinesByDecision {
    /** Machines of a group whose ids are listed. */
    private static final int MOST_NAMED = 5;

    /** The machines with the same decision. */
    private static final class Group {
        private int count;
        private final List<String> named = new ArrayList<>();
        /** Longest remaining time until a lease of these machines expires, in milliseconds; -1 if no lease is waited for. */
        private long waitMs = -1;
    }

    /** In order of first appearance, which is also the order in the status. */
    private final Map<Decision, Group> groups = new LinkedHashMap<>();

    private MachinesByDecision() {}

    static MachinesByDecision of(Fleet fleet, long now) {
        MachinesByDecision all = new MachinesByDecision();
        for (Machine machine : fleet.machines()) {
            all.add(machine, fleet.judge(machine, now), fleet.leaseEnds(machine) - now);
        }
        return all;
    }

    private void add(Machine machine, Decision decision, long leaseEndsInMs) {
        Group group = groups.computeIfAbsent(decision, d -> new Group());
        group.count++;
        if (group.count <= MOST_NAMED && !decision.is(Action.ADOPT)) {
            group.named.add(machine.id());
        }
        if (decision.is(Action.WAIT) && decision.reason() != Reason.BOOTING) {
            group.waitMs = Math.max(group.waitMs, Math.max(0, leaseEndsInMs));
        }
    }

    /** Adds an object {@code machines} to the node, unless there are no machines. */
    void describe(ObjectNode node) {
        groups.forEach((decision, group) -> {
            ObjectNode of = node.withObject("/machines/" + name(decision.action()) + "/" + name(decision.reason()));
            of.put("why", decision.reason().text()).put("count", group.count);
            if (!group.named.isEmpty()) {
                group.named.forEach(of.putArray("first")::add);
            }
            if (group.waitMs >= 0) {
                of.put("untilMs", group.waitMs);
            }
        });
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
