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
    /** A worker sends its heartbeat this much later at most than its interval says: a quarter of it, and the transfer. */
    private static final double REPORT_SLACK = 0.25;

    private static final long TRANSFER_MS = 1_500;
    /** While so few have not been heard since an election, each is asked at once instead of waited for. */
    private static final int FEW = 12;

    private static final int FEW_SHARE = 8;
    /** Reports have come in, mostly, once no machine was heard for the first time for so long. */
    private static final long LULL_MS = 400;
    /** Calls without an answer after which a silent machine counts as unanswered. */
    private static final int ASKED = 2;
    /** A return that would free tasks no more than this sooner than the lease is not worth the machine. */
    private static final long LEAST_GAIN_MS = 5_000;

    /** Machines of one zone at the last survey. */
    private static final class Zone {
        private int all;
        private int silent;
        /** Returned to the cloud lately since they were silent: they still count towards a cut. */
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

    /** From now on heartbeats are taken in: at the beginning, and again where the process stood still. */
    void listenFrom(long now) {
        listeningSince = now;
    }

    /** Reports zones in which so many machines are silent that they are left to their leases. */
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
     * Surveys the whole fleet: which machines of a zone are silent together.
     *
     * @param blocked tasks of earlier leaders wait for machines that are not accounted for
     */
    void survey(Iterable<Machine> machines, boolean blocked, long now) {
        awaited = blocked;
        zones.clear();
        while (!returns.isEmpty() && now - returns.peekFirst().at > context.leaseMs()) {
            returns.removeFirst();
        }
        returns.forEach(r -> zone(r.zone).returned++);
        for (Machine machine : machines) {
            if (machine.state() == Machine.State.UP
                    || machine.unverified() && machine.state() == Machine.State.BOOTING) {
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

    /** The machine is returned to the cloud since it is silent. */
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

    /** When, by the loop's clock, the machine's lease is certainly over. */
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

    /** One machine of a zone may always be lost by itself; where more than a share is silent, a cut is likelier. */
    private boolean crowd(String name) {
        Zone z = zone(name);
        return silentShare <= 0 || z.silent + z.returned > Math.max(1, silentShare * (z.all + z.returned));
    }

    private boolean worth(Machine machine, long now) {
        // A return that cannot be written now would be carried out later, when the machine may be back.
        return leaseEnds(machine) - now > LEAST_GAIN_MS
                && context.leadership().state() == Leadership.State.LEADING
                && (machine.hasLive() || (machine.unverified() && awaited));
    }
}
