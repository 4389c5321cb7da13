package org.landingridge.controller.leader;

import java.util.HashMap;
import java.util.Map;

/** Records for each machine when the first of the cloud's lists that show it was requested, by the event loop's clock. */
final class ListedMachines {
    private final Map<String, Long> firstAskedAt = new HashMap<>();

    /** Records that a list requested at this time shows the machine. */
    void listed(String id, long askedAt) {
        firstAskedAt.putIfAbsent(id, askedAt);
    }

    /** Removes the record of a machine that is gone. */
    void forget(String id) {
        firstAskedAt.remove(id);
    }

    /** Returns true if a list that was requested more than this many milliseconds before the given time shows the machine. */
    boolean listedLongBefore(String id, long askedAt, long ms) {
        Long first = firstAskedAt.get(id);
        return first != null && askedAt - first > ms;
    }
}
