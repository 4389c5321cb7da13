package org.landingridge.controller.fleet;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of the registry that are not accounted for yet. They may hold tasks that an earlier leader started and nobody
 * has reported to this one; a machine is accounted for once it is fenced, lapsed or gone.
 */
final class UnverifiedMachines {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private final FleetContext context;
    private int left;
    private int asked;
    /** When one was accounted for last. */
    private long lastAt;
    /** Of those left, by what a job may ask for: type, zone and whether it is a spot machine. */
    private final Map<Kind, Integer> kinds = new HashMap<>();
    /** Until when machines of which the registry cannot be read may hold anything; negative while there are none. */
    private long unreadableUntil = -1;

    private record Kind(String type, String zone, boolean spot) {
        Kind(Machine machine) {
            this(machine.type(), machine.zone(), machine.spot());
        }

        boolean allowedBy(JobSpec spec) {
            return (!spot || spec.spot())
                    && (spec.types() == null || spec.types().contains(type))
                    && (spec.zone() == null || spec.zone().equals(zone));
        }
    }

    UnverifiedMachines(FleetContext context) {
        this.context = context;
    }

    void add(Machine machine) {
        machine.unverified(true);
        lastAt = context.loop().now();
        left++;
        asked++;
        kinds.merge(new Kind(machine), 1, Integer::sum);
    }

    /** A page of the registry cannot be read: its machines may hold anything until then, when their leases are over. */
    void unreadable(long until) {
        if (unreadableUntil < 0) {
            left++;
            asked++;
        }
        unreadableUntil = Math.max(unreadableUntil, until);
    }

    boolean unreadable() {
        return unreadableUntil >= 0;
    }

    /** True once, when the leases of unreadable machines are over. */
    boolean unreadableExpired(long now) {
        if (!unreadable() || now <= unreadableUntil) {
            return false;
        }
        unreadableUntil = -1;
        oneLess();
        return true;
    }

    long lastAt() {
        return lastAt;
    }

    /** How many there were to be accounted for. */
    int asked() {
        return asked;
    }

    /**
     * True if a machine that is not accounted for could hold tasks like this: no leader has ever started one where its
     * job does not allow it.
     */
    boolean mayHold(JobSpec spec) {
        if (unreadable()) {
            return true;
        }
        for (Kind kind : kinds.keySet()) {
            if (kind.allowedBy(spec)) {
                return true;
            }
        }
        return false;
    }

    /** How many machines are not accounted for. */
    int left() {
        return left;
    }

    void accounted(Machine machine) {
        if (machine.unverified()) {
            machine.unverified(false);
            kinds.computeIfPresent(new Kind(machine), (kind, count) -> count == 1 ? null : count - 1);
            oneLess();
        }
    }

    private void oneLess() {
        left--;
        lastAt = context.loop().now();
        if (left == 0) {
            LOG.info("reconciliation complete: machines={}", asked);
        }
        context.events().changed();
    }
}
