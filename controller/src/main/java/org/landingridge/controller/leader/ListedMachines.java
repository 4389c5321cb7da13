package org.landingridge.controller.leader;

import java.util.HashMap;
import java.util.Map;

/** Records for each machine when the first of the cloud's lists that show it was requested, by the event loop's clock. */
final class ListedMachines {
    private final Map<String, Long> firstRequestedAtByMachine = new HashMap<>();

    /** Records that a list requested at this time shows the machine. */
    void recordListed(String machineId, long requestedAt) {
        firstRequestedAtByMachine.putIfAbsent(machineId, requestedAt);
    }

    /** Removes the record of a machine that is gone. */
    void forget(String machineId) {
        firstRequestedAtByMachine.remove(machineId);
    }

    /** Returns true if a list that was requested more than this many milliseconds before the given time shows the machine. */
    boolean wasListedLongBefore(String machineId, long requestedAt, long minAgeMs) {
        Long firstRequestedAt = firstRequestedAtByMachine.get(machineId);
        return firstRequestedAt != null && requestedAt - firstRequestedAt > minAgeMs;
    }
}
