package org.landingridge.controller.fleet;

import org.landingridge.controller.recovery.Decision;

/** Decides which machines may be given tasks now, and which will be usable soon. */
final class MachineReadiness {
    /** Many heartbeats are missing if more than one in this number of machines is unverified. */
    private static final int MISSING_HEARTBEATS_DIVISOR = 4;

    private final FleetContext context;
    private final UnverifiedMachines unverifiedMachines;
    private final BootTimes bootTimes;
    private final HealthMonitor healthMonitor;

    MachineReadiness(
            FleetContext context,
            UnverifiedMachines unverifiedMachines,
            BootTimes bootTimes,
            HealthMonitor healthMonitor) {
        this.context = context;
        this.unverifiedMachines = unverifiedMachines;
        this.bootTimes = bootTimes;
        this.healthMonitor = healthMonitor;
    }

    /**
     * Returns true if tasks may be started on the machine now. Heartbeats must be recent: a machine that only answers direct
     * calls loses its tasks when its lease expires, because an answered call does not renew the lease.
     */
    boolean isUsable(Machine machine, long now) {
        return machine.isUp()
                && machine.fenced()
                && machine.registered()
                && machine.noticeS() == null
                && !machine.failures().isAvoided(now)
                && now - machine.contact().lastHeartbeatAt() < context.leaseMs() / 2;
    }

    /** Returns true if the machine is booting, or is up and only has to be fenced and registered. */
    boolean isComingUp(Machine machine, long now) {
        if (machine.noticeS() != null) {
            return false;
        }
        return switch (machine.state()) {
            // A machine that is late while others come up is replaced before it is given up.
            case BOOTING -> !bootTimes.lateAlone(machine, now);
            case UP -> !(machine.fenced() && machine.registered());
            case LAPSED, LEAVING, GONE -> false;
        };
    }

    /** Returns true if the machine, and all machines of its kind, take unusually long to boot. */
    boolean isLateWithPool(Machine machine, long now) {
        return machine.state() == Machine.State.BOOTING && machine.measuringBoot() && bootTimes.allLate(machine, now);
    }

    /**
     * Returns true if the machine's first heartbeat to this leader is due and many other machines' are too. Once most
     * machines have sent one, a machine that has not has probably lost its tasks.
     */
    boolean awaitsFirstHeartbeat(Machine machine, long now) {
        return machine.unverified()
                && unverifiedMachines.remaining() * MISSING_HEARTBEATS_DIVISOR > unverifiedMachines.initialCount()
                && healthMonitor.decide(machine, now).reason() == Decision.Reason.REPORT_DUE;
    }
}
