package org.landingridge.controller.fleet;

import org.landingridge.controller.recovery.Decision;

/** Which machines may be given tasks now, and which will be soon. */
final class MachineReadiness {
    /** One in so many machines without a heartbeat are many. */
    private static final int MANY = 4;

    private final FleetContext context;
    private final UnverifiedMachines unverifiedMachines;
    private final BootTimes boots;
    private final HealthMonitor healthMonitor;

    MachineReadiness(
            FleetContext context, UnverifiedMachines unverifiedMachines, BootTimes boots, HealthMonitor healthMonitor) {
        this.context = context;
        this.unverifiedMachines = unverifiedMachines;
        this.boots = boots;
        this.healthMonitor = healthMonitor;
    }

    /**
     * True if tasks may be started on the machine now. One that answers calls and whose heartbeats do not come keeps nothing
     * for longer than its lease, which a call does not renew.
     */
    boolean usable(Machine machine, long now) {
        return machine.up()
                && machine.fenced()
                && machine.registered()
                && machine.noticeS() == null
                && !machine.failures().avoided(now)
                && now - machine.contact().heartbeatAt() < context.leaseMs() / 2;
    }

    /** True if the machine boots, or only has to be fenced and registered. */
    boolean coming(Machine machine, long now) {
        if (machine.noticeS() != null) {
            return false;
        }
        return switch (machine.state()) {
            // One that does not come up while others do is replaced before it is given up.
            case BOOTING -> !boots.lateAlone(machine, now);
            case UP -> !(machine.fenced() && machine.registered());
            case LAPSED, LEAVING, GONE -> false;
        };
    }

    /** True if it boots longer than is usual, and so do all like it. */
    boolean lateWithAll(Machine machine, long now) {
        return machine.state() == Machine.State.BOOTING && machine.awaitingBoot() && boots.allLate(machine, now);
    }

    /**
     * True if its first heartbeat to this leader is due and many others' are. Once most have come in, who is missing has
     * likely lost what it ran.
     */
    boolean unheard(Machine machine, long now) {
        return machine.unverified()
                && unverifiedMachines.left() * MANY > unverifiedMachines.asked()
                && healthMonitor.judge(machine, now).reason() == Decision.Reason.REPORT_DUE;
    }
}
