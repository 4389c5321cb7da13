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
    private static final double REPORT_SLACK = 0.25;
    /** Time allowed for the transfer of a heartbeat. */
    private static final long TRANSFER_MS = 1_500;
    /** Once at most this number of machines is unverified after an election, each is probed without waiting an interval. */
    private static final int FEW = 12;
    /** The same limit as a share: one in this number of the machines that were unverified at the election. */
    private static final int FEW_SHARE = 8;
    /** Most first heartbeats have arrived if no machine was verified for this long. */
    private static final long LULL_MS = 400;
    /** Number of unanswered calls after which a silent machine counts as unresponsive. */
    private static final int ASKED = 2;
    /** A machine is not returned to the cloud for its tasks if its lease expires within this time. */
    private static final long LEAST_GAIN_MS = 5_000;

    /** Numbers of machines of one zone, as of the last survey. */
    private static final class Zone {
        private int all;
        private int silent;
        /** Returned to the cloud within the last lease because they were silent: they still count towards a partition. */
        private int returned;
    }

    private record Return(long at, String zone) {}

    private final FleetContext context;
    private final UnverifiedMachines unverifiedMachines;
    private final BootTimes boots;
    private final long bootMarginMs;
    private final double silentShare;
    private final Map<String, Zone> zones = new HashMap<>();
    private final Deque<Return> returns = new ArrayDeque<>();
    private long listeningSince;
    private boolean awaited;
    private Set<String> cutOff = Set.of();

    HealthMonitor(
            FleetContext context,
            UnverifiedMachines unverifiedMachines,
            BootTimes boots,
            long bootMarginMs,
            double silentShare) {
        this.context = context;
        this.unverifiedMachines = unverifiedMachines;
        this.boots = boots;
        this.bootMarginMs = bootMarginMs;
        this.silentShare = silentShare;
    }

    /** Sets the time from which missing heartbeats count: the start of the leader term, or the end of a process pause. */
    void listenFrom(long now) {
        listeningSince = now;
    }

    /** Emits an event for each zone in which a partition has become likely, so its machines are left to their leases. */
    private void reportCuts() {
        Set<String> silentZones = new TreeSet<>();
        zones.forEach((name, z) -> {
            if (z.silent > 1 && crowd(name)) {
                silentZones.add(name);
                if (!cutOff.contains(name)) {
                    context.eventLog().emit("cut_off", "zone", name, "silent", z.silent, "of", z.all);
                }
            }
        });
        cutOff = silentZones;
    }

    /**
     * Counts the silent machines of each zone.
     *
     * @param blocked true if tasks of earlier leaders wait for unverified machines
     */
    void survey(Iterable<Machine> machines, boolean blocked, long now) {
        awaited = blocked;
        zones.clear();
        while (!returns.isEmpty() && now - returns.peekFirst().at > context.leaseMs()) {
            returns.removeFirst();
        }
        returns.forEach(r -> zone(r.zone).returned++);
        for (Machine machine : machines) {
            if (machine.expected()) {
                Zone z = zone(machine.zone());
                z.all++;
                z.silent += silent(machine, now) ? 1 : 0;
            }
        }
        reportCuts();
    }

    private Zone zone(String name) {
        return zones.computeIfAbsent(name, z -> new Zone());
    }

    /** Records that the machine is being returned to the cloud because it is silent. */
    void returned(Machine machine, long now) {
        returns.addLast(new Return(now, machine.zone()));
        zone(machine.zone()).returned++;
        zone(machine.zone()).silent--;
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
                        machine.live());
    }

    /** Returns the time on the loop's clock after which the machine's lease has expired for certain. */
    long leaseEnds(Machine machine) {
        return machine.lease().answeredAt() + context.leaseMs();
    }

    Decision judge(Machine machine, long now) {
        boolean mayHold = machine.state() == Machine.State.UP
                || machine.unverified()
                || !machine.attempts().isEmpty();
        RegistryRow row = !mayHold
                ? RegistryRow.NO_ADDRESS
                : machine.registered() || machine.unverified()
                        ? RegistryRow.ADDRESS_STORED
                        : RegistryRow.ADDRESS_UNSTORED;
        TokenSeen word = !machine.contact().everHeard()
                ? TokenSeen.NONE
                : machine.fenced() ? TokenSeen.CURRENT : TokenSeen.OLDER;
        return Reconciliation.machine(new MachineEvidence(
                row,
                word,
                machine.listedFailed(),
                machine.state() == Machine.State.LEAVING,
                now > leaseEnds(machine),
                silent(machine, now),
                machine.calls().unanswered() >= ASKED,
                overdue(machine, now),
                machine.failures().faulty() && !machine.hasLive() && machine.state() == Machine.State.UP,
                crowd(machine.zone()),
                worth(machine, now)));
    }

    private boolean silent(Machine machine, long now) {
        long reportMs = context.reportMs();
        if (machine.contact().everHeard()) {
            return now - Math.max(machine.contact().heardAt(), listeningSince)
                    > reportMs * (1 + REPORT_SLACK) + TRANSFER_MS;
        }
        boolean few = unverifiedMachines.left() <= Math.max(FEW, unverifiedMachines.asked() / FEW_SHARE)
                || now - unverifiedMachines.lastAt() > LULL_MS;
        return !machine.unverified()
                || now - listeningSince > (few ? TRANSFER_MS : reportMs * (1 + REPORT_SLACK) + TRANSFER_MS);
    }

    private boolean overdue(Machine machine, long now) {
        return switch (machine.state()) {
            case BOOTING -> now - machine.appearedAt() > boots.usualMostMs(machine, now) + bootMarginMs;
            case LAPSED -> now - machine.lease().answeredAt() > context.leaseMs() + bootMarginMs;
            default -> false;
        };
    }

    /**
     * Returns true if so large a share of the zone's machines is silent that a partition is likelier than single losses. A
     * single silent machine is not enough, unless the share is 0.
     */
    private boolean crowd(String name) {
        Zone z = zone(name);
        return silentShare <= 0 || z.silent + z.returned > Math.max(1, silentShare * (z.all + z.returned));
    }

    private boolean worth(Machine machine, long now) {
        // A return that cannot be stored now would be carried out later, when the machine may have recovered.
        return leaseEnds(machine) - now > LEAST_GAIN_MS
                && context.leadership().state() == Leadership.State.LEADING
                && (machine.hasLive() || (machine.unverified() && awaited));
    }
}
