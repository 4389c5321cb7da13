package org.landingridge.controller.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.controller.recovery.MachineEvidence;
import org.landingridge.controller.recovery.MachineEvidence.RegistryRow;
import org.landingridge.controller.recovery.MachineEvidence.TokenSeen;
import org.landingridge.controller.recovery.Reconciliation;

/** Gathers the evidence about machines, twice a second for all of them, and passes it to {@link Reconciliation}. */
final class HealthMonitor {
    /** Share of the heartbeat interval by which a worker may send a heartbeat late. */
    private static final double HEARTBEAT_SLACK_SHARE = 0.25;
    /** Time allowed for the transfer of a heartbeat. */
    private static final long HEARTBEAT_TRANSFER_MS = 1_500;
    /** Once at most this number of machines is unverified after an election, each is probed without waiting an interval. */
    private static final int FEW_MACHINES = 12;
    /** The same limit for large fleets: one in this number of the machines that were unverified at the election. */
    private static final int FEW_MACHINES_DIVISOR = 8;
    /** Most first heartbeats have arrived if no machine was verified for this long. */
    private static final long FIRST_HEARTBEATS_LULL_MS = 400;
    /** Number of unanswered calls after which a silent machine counts as unresponsive. */
    private static final int UNANSWERED_CALLS_LIMIT = 2;
    /** A machine is not returned to the cloud for its tasks if its lease expires within this time. */
    private static final long MIN_RETURN_GAIN_MS = 5_000;

    /** Numbers of machines of one zone, as of the last survey. */
    private static final class ZoneCounts {
        private int expected;
        private int silent;
        /** Returned to the cloud within the last lease because they were silent: they still count towards a partition. */
        private int returned;
    }

    private record RecentReturn(long at, String zone) {}

    private final FleetContext context;
    private final UnverifiedMachines unverifiedMachines;
    private final BootTimes bootTimes;
    private final long bootMarginMs;
    private final double silentShareLimit;
    private final Map<String, ZoneCounts> countsByZone = new HashMap<>();
    private final Deque<RecentReturn> recentReturns = new ArrayDeque<>();
    /** Time from which missing heartbeats count. */
    private long listeningSince;
    /** Tasks of earlier leaders wait for unverified machines. */
    private boolean earlierTasksBlocked;

    private Set<String> partitionedZones = Set.of();

    HealthMonitor(
            FleetContext context,
            UnverifiedMachines unverifiedMachines,
            BootTimes bootTimes,
            long bootMarginMs,
            double silentShareLimit) {
        this.context = context;
        this.unverifiedMachines = unverifiedMachines;
        this.bootTimes = bootTimes;
        this.bootMarginMs = bootMarginMs;
        this.silentShareLimit = silentShareLimit;
    }

    /** Sets the time from which missing heartbeats count: the start of the leader term, or the end of a process pause. */
    void listenFrom(long now) {
        listeningSince = now;
    }

    /** Emits an event for each zone in which a partition has become likely, so its machines are left to their leases. */
    private void reportPartitions() {
        Set<String> nowPartitioned = new TreeSet<>();
        countsByZone.forEach((zone, counts) -> {
            if (counts.silent > 1 && partitionLikely(zone)) {
                nowPartitioned.add(zone);
                if (!partitionedZones.contains(zone)) {
                    context.eventLog().emit("cut_off", "zone", zone, "silent", counts.silent, "of", counts.expected);
                }
            }
        });
        partitionedZones = nowPartitioned;
    }

    /**
     * Counts the silent machines of each zone.
     *
     * @param blocked true if tasks of earlier leaders wait for unverified machines
     */
    void survey(Iterable<Machine> machines, boolean blocked, long now) {
        earlierTasksBlocked = blocked;
        countsByZone.clear();
        while (!recentReturns.isEmpty() && now - recentReturns.peekFirst().at > context.leaseMs()) {
            recentReturns.removeFirst();
        }
        recentReturns.forEach(r -> countsOf(r.zone).returned++);
        for (Machine machine : machines) {
            if (machine.heartbeatsExpected()) {
                ZoneCounts counts = countsOf(machine.zone());
                counts.expected++;
                counts.silent += heartbeatOverdue(machine, now) ? 1 : 0;
            }
        }
        reportPartitions();
    }

    private ZoneCounts countsOf(String zone) {
        return countsByZone.computeIfAbsent(zone, counts -> new ZoneCounts());
    }

    /** Records that the machine is being returned to the cloud because it is silent. */
    void recordReturn(Machine machine, long now) {
        recentReturns.addLast(new RecentReturn(now, machine.zone()));
        countsOf(machine.zone()).returned++;
        countsOf(machine.zone()).silent--;
        context.metrics().settled.increment();
        long silentMs = now - machine.lease().answeredAt();
        context.eventLog()
                .emit(
                        "settled",
                        "machine",
                        machine.id(),
                        "zone",
                        machine.zone(),
                        "silentMs",
                        silentMs,
                        "held",
                        machine.liveAttempts());
    }

    /** Returns the time on the loop's clock after which the machine's lease has expired for certain. */
    long leaseExpiresAt(Machine machine) {
        return machine.lease().answeredAt() + context.leaseMs();
    }

    /** Returns the decision on the machine from the present evidence. */
    Decision decide(Machine machine, long now) {
        boolean mayHoldTasks = machine.state() == Machine.State.UP
                || machine.unverified()
                || !machine.attempts().isEmpty();
        RegistryRow row = !mayHoldTasks
                ? RegistryRow.NO_ADDRESS
                : machine.registered() || machine.unverified()
                        ? RegistryRow.ADDRESS_STORED
                        : RegistryRow.ADDRESS_UNSTORED;
        TokenSeen tokenSeen = !machine.contact().hasSentMessage()
                ? TokenSeen.NONE
                : machine.fenced() ? TokenSeen.CURRENT : TokenSeen.OLDER;
        return Reconciliation.machine(new MachineEvidence(
                row,
                tokenSeen,
                machine.listedFailed(),
                machine.state() == Machine.State.LEAVING,
                now > leaseExpiresAt(machine),
                heartbeatOverdue(machine, now),
                machine.calls().unanswered() >= UNANSWERED_CALLS_LIMIT,
                bootOverdue(machine, now),
                machine.failures().isFaulty() && !machine.hasLiveAttempts() && machine.state() == Machine.State.UP,
                partitionLikely(machine.zone()),
                returnSaves(machine, now)));
    }

    private boolean heartbeatOverdue(Machine machine, long now) {
        long heartbeatIntervalMs = context.heartbeatIntervalMs();
        if (machine.contact().hasSentMessage()) {
            return now - Math.max(machine.contact().lastMessageAt(), listeningSince)
                    > heartbeatIntervalMs * (1 + HEARTBEAT_SLACK_SHARE) + HEARTBEAT_TRANSFER_MS;
        }
        boolean fewLeft = unverifiedMachines.remaining()
                        <= Math.max(FEW_MACHINES, unverifiedMachines.initialCount() / FEW_MACHINES_DIVISOR)
                || now - unverifiedMachines.lastChangeAt() > FIRST_HEARTBEATS_LULL_MS;
        return !machine.unverified()
                || now - listeningSince
                        > (fewLeft
                                ? HEARTBEAT_TRANSFER_MS
                                : heartbeatIntervalMs * (1 + HEARTBEAT_SLACK_SHARE) + HEARTBEAT_TRANSFER_MS);
    }

    /** Returns true if the boot, or the return after the lease expired, takes longer than usual, margin included. */
    private boolean bootOverdue(Machine machine, long now) {
        return switch (machine.state()) {
            case BOOTING -> now - machine.addedAt() > bootTimes.usualMaxMs(machine, now) + bootMarginMs;
            case LAPSED -> now - machine.lease().answeredAt() > context.leaseMs() + bootMarginMs;
            default -> false;
        };
    }

    /**
     * Returns true if so large a share of the zone's machines is silent that a partition is likelier than single losses. A
     * single silent machine is not enough. With a limit of 0, a partition is always assumed.
     */
    private boolean partitionLikely(String zone) {
        ZoneCounts counts = countsOf(zone);
        return silentShareLimit <= 0
                || counts.silent + counts.returned
                        > Math.max(1, silentShareLimit * (counts.expected + counts.returned));
    }

    /** Returns true if a return to the cloud would free tasks noticeably sooner than the expiry of the lease. */
    private boolean returnSaves(Machine machine, long now) {
        // A return that cannot be stored now would be carried out later, when the machine may have recovered.
        return leaseExpiresAt(machine) - now > MIN_RETURN_GAIN_MS
                && context.leadership().state() == Leadership.State.LEADING
                && (machine.hasLiveAttempts() || (machine.unverified() && earlierTasksBlocked));
    }
}
