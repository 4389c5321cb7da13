package org.landingridge.controller.fleet;

/**
 * The part of the fleet that the stored registry uses: the machines, and callbacks when rows are stored.
 *
 * @param machines the machines whose rows are stored
 */
record RegistryHooks(
        FleetContext context,
        MachineTable machines,
        UnverifiedMachines unverifiedMachines,
        HeartbeatEndpoint endpoint) {
    /** Records an unreadable registry page: until a lease has expired, unknown machines may hold any task. */
    void recordUnreadablePage() {
        unverifiedMachines.recordUnreadablePages(context.leadership().quiescentSince() + context.leaseMs());
    }

    /** Returns the time since a heartbeat of the machine was last answered, in milliseconds. */
    long silentMs(Machine machine) {
        return context.now() - machine.lease().answeredAt();
    }

    /** Returns the fencing token under which this leader term began. */
    long token() {
        return context.token();
    }

    /** Records that the machine's row is stored with its address. */
    void markRegistered(Machine machine) {
        machine.markRegistered();
        context.events().changed();
    }

    /** Answers the machine's heartbeats again, since its row is stored without a silence. */
    void resume(Machine machine) {
        endpoint.resume(machine);
    }
}
