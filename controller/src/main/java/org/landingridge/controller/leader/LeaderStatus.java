package org.landingridge.controller.leader;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.landingridge.controller.cloud.Operation;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.Attempt;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;

/** The part of {@code /api/status} that only the leader can provide. */
final class LeaderStatus {
    private final Fleet fleet;
    private final Operations operations;
    private final FailoverProgress failoverProgress;

    LeaderStatus(Fleet fleet, Operations operations, FailoverProgress failoverProgress) {
        this.fleet = fleet;
        this.operations = operations;
        this.failoverProgress = failoverProgress;
    }

    /** Returns the number of running tasks by job id, according to the latest heartbeats. */
    Map<String, Integer> runningTasksByJob() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (Machine machine : fleet.machines()) {
            for (Attempt attempt : machine.attempts().values()) {
                if (attempt.state() == Attempt.State.RUNNING) {
                    counts.merge(attempt.jobId(), 1, Integer::sum);
                }
            }
        }
        return counts;
    }

    void describe(ObjectNode status, long now) {
        describeMachines(status.putObject("machines"));
        status.put("unaccounted", fleet.unverified());
        failoverProgress.describe(status.putObject("recovery"), now);
        describeOpenOperations(status.putArray("unsettledOperations"));
    }

    private void describeMachines(ObjectNode machines) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (Machine machine : fleet.machines()) {
            counts.merge(machine.state().name().toLowerCase(Locale.ROOT), 1, Integer::sum);
        }
        counts.forEach(machines::put);
    }

    private void describeOpenOperations(ArrayNode openOperations) {
        for (Operation operation : operations.all()) {
            if (operation.isOpen()) {
                openOperations
                        .addObject()
                        .put("key", operation.name())
                        .put("kind", operation.kind().name())
                        .put("state", operation.state().name())
                        .put("seen", operation.lastOutcome())
                        .put("since", operation.dispatchedAt());
            }
        }
    }
}
