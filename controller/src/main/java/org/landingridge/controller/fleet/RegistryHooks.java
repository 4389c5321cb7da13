package org.landingridge.controller.fleet;

/**
 * What the stored registry reads of the machines and has them know.
 *
 * @param machines the machines whose rows are stored
 */
record RegistryHooks(
        FleetContext context,
        MachineTable machines,
        UnverifiedMachines unverifiedMachines,
        HeartbeatEndpoint endpoint) {
    /** A page of the registry cannot be read: machines that nobody knows may hold anything, for as long as a lease lasts. */
    void unreadable() {
        unverifiedMachines.unreadable(context.leadership().quiescentSince() + context.leaseMs());
    }

    /** Milliseconds since one of the machine's heartbeats was answered last. */
    long silentMs(Machine machine) {
        return context.now() - machine.lease().answeredAt();
    }

    /** The fencing token under which this leader term began. */
    long token() {
        return context.token();
    }

    /** The machine's row is stored as one of a machine that may hold tasks. */
    void registered(Machine machine) {
        machine.register();
        context.events().changed();
    }

    /** The machine's row is stored without a silence: its heartbeats are answered again. */
    void resume(Machine machine) {
        endpoint.resume(machine);
    }
}
