package org.landingridge.controller.leader;

import java.util.HashMap;
import java.util.Map;

/** When, by the loop's clock, a list of the cloud that shows a machine was first asked for. */
final class ListedMachines {
    private final Map<String, Long> firstAskedAt = new HashMap<>();

    /** A list that was asked for at this time shows the machine. */
    void listed(String id, long askedAt) {
        firstAskedAt.putIfAbsent(id, askedAt);
    }

    /** The machine is gone. */
    void forget(String id) {
        firstAskedAt.remove(id);
    }

    /** True where a list shows the machine that was asked for more than this long before the given time. */
    boolean listedLongBefore(String id, long askedAt, long ms) {
        Long first = firstAskedAt.get(id);
        return first != null && askedAt - first > ms;
    }
}
