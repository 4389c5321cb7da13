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
    private static final int MAX_LISTED_IDS = 5;

    /** The machines with the same decision. */
    private static final class Group {
        private int count;
        private final List<String> listedIds = new ArrayList<>();
        /** Longest remaining time until a lease of these machines expires, in milliseconds; -1 if no lease is waited for. */
        private long longestWaitMs = -1;
    }

    /** In order of first appearance, which is also the order in the status. */
    private final Map<Decision, Group> groups = new LinkedHashMap<>();

    private MachinesByDecision() {}

    static MachinesByDecision of(Fleet fleet, long now) {
        MachinesByDecision machinesByDecision = new MachinesByDecision();
        for (Machine machine : fleet.machines()) {
            machinesByDecision.add(machine, fleet.decide(machine, now), fleet.leaseExpiresAt(machine) - now);
        }
        return machinesByDecision;
    }

    private void add(Machine machine, Decision decision, long leaseEndsInMs) {
        Group group = groups.computeIfAbsent(decision, newDecision -> new Group());
        group.count++;
        if (group.count <= MAX_LISTED_IDS && !decision.is(Action.ADOPT)) {
            group.listedIds.add(machine.id());
        }
        if (decision.is(Action.WAIT) && decision.reason() != Reason.BOOTING) {
            group.longestWaitMs = Math.max(group.longestWaitMs, Math.max(0, leaseEndsInMs));
        }
    }

    /** Adds an object {@code machines} to the node, unless there are no machines. */
    void describe(ObjectNode node) {
        groups.forEach((decision, group) -> {
            ObjectNode groupNode = node.withObject(
                    "/machines/" + lowerCaseName(decision.action()) + "/" + lowerCaseName(decision.reason()));
            groupNode.put("why", decision.reason().text()).put("count", group.count);
            if (!group.listedIds.isEmpty()) {
                group.listedIds.forEach(groupNode.putArray("first")::add);
            }
            if (group.longestWaitMs >= 0) {
                groupNode.put("untilMs", group.longestWaitMs);
            }
        });
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
