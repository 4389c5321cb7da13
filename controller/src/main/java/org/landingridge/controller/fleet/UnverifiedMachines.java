package org.landingridge.controller.fleet;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of the stored registry that are not verified yet. They may hold tasks that an earlier leader started and that no
 * heartbeat has shown to this leader. A machine is verified once it is fenced, its lease has expired, or it is gone.
 */
final class UnverifiedMachines {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private final FleetContext context;
    private int remaining;
    private int initialCount;
    /** Time of the last verification or addition. */
    private long lastChangeAt;
    /** Numbers of unverified machines by the properties that a job can restrict. */
    private final Map<MachineKind, Integer> countsByKind = new HashMap<>();
    /** Time until which the machines of unreadable registry pages may hold any task; negative if there are none. */
    private long unreadableUntil = -1;

    private record MachineKind(String type, String zone, boolean spot) {
        MachineKind(Machine machine) {
            this(machine.typeName(), machine.zone(), machine.spot());
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
        lastChangeAt = context.loop().now();
        remaining++;
        initialCount++;
        countsByKind.merge(new MachineKind(machine), 1, Integer::sum);
    }

    /** Records an unreadable registry page: its machines may hold any task until their leases expire at {@code until}. */
    void recordUnreadablePages(long until) {
        if (unreadableUntil < 0) {
            remaining++;
            initialCount++;
        }
        unreadableUntil = Math.max(unreadableUntil, until);
    }

    boolean hasUnreadablePages() {
        return unreadableUntil >= 0;
    }

    /** Returns true once, when the leases of the machines of unreadable pages have expired. */
    boolean expireUnreadablePages(long now) {
        if (!hasUnreadablePages() || now <= unreadableUntil) {
            return false;
        }
        unreadableUntil = -1;
        decrement();
        return true;
    }

    long lastChangeAt() {
        return lastChangeAt;
    }

    /** Returns the number of machines that had to be verified; all unreadable pages together count as one. */
    int initialCount() {
        return initialCount;
    }

    /**
     * Returns true if an unverified machine could hold tasks of such a job: leaders start tasks only on machines that the job
     * allows.
     */
    boolean mayHoldTasksOf(JobSpec spec) {
        if (hasUnreadablePages()) {
            return true;
        }
        for (MachineKind machineKind : countsByKind.keySet()) {
            if (machineKind.allowedBy(spec)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of unverified machines; all unreadable pages together count as one. */
    int remaining() {
        return remaining;
    }

    /** Records that a machine is fenced, expired or gone; verified machines are ignored. */
    void markVerified(Machine machine) {
        if (machine.unverified()) {
            machine.unverified(false);
            countsByKind.computeIfPresent(
                    new MachineKind(machine), (machineKind, count) -> count == 1 ? null : count - 1);
            decrement();
        }
    }

    private void decrement() {
        remaining--;
        lastChangeAt = context.loop().now();
        if (remaining == 0) {
            LOG.info("reconciliation complete, machines={}", initialCount);
        }
        context.events().changed();
    }
}
