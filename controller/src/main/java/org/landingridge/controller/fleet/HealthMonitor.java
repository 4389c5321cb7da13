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

/** Gathers the evidence about machines, twice a second for all of them, and has it judged. */
final class HealthMonitor {
    /** A worker sends its heartbeat this much later at most than its interval says: a quarter of it, and the way. */
    private static final double REPORT_SLACK = 0.25;

    private static final long WAY_MS = 1_500;
    /** While so few are left to be heard after an election, each is asked at once instead of waited for. */
    private static final int FEW = 12;

    private static final int FEW_SHARE = 8;
    /** Reports have come in, mostly, once no machine was heard for the first time for so long. */
    private static final long LULL_MS = 400;
    /** Calls without an answer after which a silent machine counts as unanswered. */
    private static final int ASKED = 2;
    /** A return that would settle no more than this sooner than the lease is not worth the machine. */
    private static final long LEAST_GAIN_MS = 5_000;

    /** Machines of one zone at the last look. */
    private static final class Zone {
        private int all;
        private int silent;
        /** Given back lately since they were silent: they still tell of a cut. */
        private int returned;
    }

    private record Return(long at, String zone) {}

    private final FleetContext context;
    private final UnverifiedMachines unverifiedMachines;
    private final BootTimes boots;
    private final long bootMarginMs;
    private final double settleShare;
    private final Map<String, Zone> zones = new HashMap<>();
    private final Deque<Return> returns = new ArrayDeque<>();
    private long awake;
    private boolean waitingFor;
    private Set<String> cutOff = Set.of();

    HealthMonitor(
            FleetContext context,
            UnverifiedMachines unverifiedMachines,
            BootTimes boots,
            long bootMarginMs,
            double settleShare) {
        this.context = context;
        this.unverifiedMachines = unverifiedMachines;
        this.boots = boots;
        this.bootMarginMs = bootMarginMs;
        this.settleShare = settleShare;
    }

    /** From now on heartbeats are taken in: at the beginning, and again where the process stood still. */
    void awake(long now) {
        awake = now;
    }

    /** Tells of zones in which so many machines are silent that they are left to their leases. */
    private void tellCuts() {
        Set<String> now = new TreeSet<>();
        zones.forEach((name, z) -> {
            if (z.silent > 1 && crowd(name)) {
                now.add(name);
                if (!cutOff.contains(name)) {
                    context.eventLog().emit("cut_off", "zone", name, "silent", z.silent, "of", z.all);
                }
            }
        });
        cutOff = now;
    }

    /**
     * Looks at the whole fleet: what is silent together.
     *
     * @param held tasks of earlier leaders wait for machines that are not accounted for
     */
    void look(Iterable<Machine> machines, boolean held, long now) {
        waitingFor = held;
        zones.clear();
        while (!returns.isEmpty() && now - returns.peekFirst().at > context.leaseMs()) {
            returns.removeFirst();
        }
        returns.forEach(r -> zone(r.zone).returned++);
        for (Machine m : machines) {
            if (m.state() == Machine.State.UP || m.unverified && m.state() == Machine.State.BOOTING) {
                Zone z = zone(m.zone);
                z.all++;
                z.silent += silent(m, now) ? 1 : 0;
            }
        }
        tellCuts();
    }

    private Zone zone(String name) {
        return zones.computeIfAbsent(name, z -> new Zone());
    }

    /** The machine is given back since it is silent. */
    void returned(Machine m, long now) {
        returns.addLast(new Return(now, m.zone));
        zone(m.zone).returned++;
        zone(m.zone).silent--;
    }

    /** When, by the loop's clock, the machine's lease is certainly over. */
    long leaseEnds(Machine m) {
        return m.answered + context.leaseMs();
    }

    Decision judge(Machine m, long now) {
        boolean mayHold = m.state() == Machine.State.UP || m.unverified || !m.attempts.isEmpty();
        RegistryRow row = !mayHold
                ? RegistryRow.NO_ADDRESS
                : m.written || m.unverified ? RegistryRow.ADDRESS_STORED : RegistryRow.ADDRESS_UNSTORED;
        TokenSeen seen = !m.everHeard() ? TokenSeen.NONE : m.fenced ? TokenSeen.CURRENT : TokenSeen.OLDER;
        return Reconciliation.machine(new MachineEvidence(
                row,
                seen,
                m.listedFailed,
                m.state() == Machine.State.LEAVING,
                now > leaseEnds(m),
                silent(m, now),
                m.unanswered >= ASKED,
                overdue(m, now),
                FailureAttribution.faulty(m.proven, m.failed.size()) && !m.hasLive() && m.state() == Machine.State.UP,
                crowd(m.zone),
                worth(m, now)));
    }

    private boolean silent(Machine m, long now) {
        long reportMs = context.reportMs();
        if (m.everHeard()) {
            return now - Math.max(m.heard, awake) > reportMs * (1 + REPORT_SLACK) + WAY_MS;
        }
        boolean few = unverifiedMachines.left() <= Math.max(FEW, unverifiedMachines.asked() / FEW_SHARE)
                || now - unverifiedMachines.lastAt() > LULL_MS;
        return !m.unverified || now - awake > (few ? WAY_MS : reportMs * (1 + REPORT_SLACK) + WAY_MS);
    }

    private boolean overdue(Machine m, long now) {
        return switch (m.state()) {
            case BOOTING -> now - m.appeared > boots.usualMostMs(m, now) + bootMarginMs;
            case LAPSED -> now - m.answered > context.leaseMs() + bootMarginMs;
            default -> false;
        };
    }

    /** One machine of a zone may always be lost by itself; where more than a share is silent, a cut is likelier. */
    private boolean crowd(String name) {
        Zone z = zone(name);
        return settleShare <= 0 || z.silent + z.returned > Math.max(1, settleShare * (z.all + z.returned));
    }

    private boolean worth(Machine m, long now) {
        // A give-back that cannot be written now would be carried out later, when the machine may be back.
        return leaseEnds(m) - now > LEAST_GAIN_MS
                && context.lead().state() == Leadership.State.LEADING
                && (m.hasLive() || m.unverified && waitingFor);
    }
}
