package org.landingridge.controller.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import org.landingridge.wire.MachineType;

/** The machines that are or may be rented, in the order of their addition, and the recently returned ones. */
final class MachineTable {
    /** Retention time of the identifiers of returned machines: lists of the cloud lag, and heartbeats may be minutes late. */
    private static final long RETURNED_RETENTION_MS = 900_000;

    private final FleetContext context;
    private final Function<String, MachineType> typeByName;
    private final UnverifiedMachines unverifiedMachines;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Return times by machine identifier, oldest first. */
    private final Map<String, Long> returnedAtById = new LinkedHashMap<>();

    MachineTable(
            FleetContext context, Function<String, MachineType> typeByName, UnverifiedMachines unverifiedMachines) {
        this.context = context;
        this.typeByName = typeByName;
        this.unverifiedMachines = unverifiedMachines;
    }

    Iterable<Machine> all() {
        return machines.values();
    }

    /** Returns a copy of the current machines, for iterations during which machines may be added or removed. */
    Machine[] snapshot() {
        return machines.values().toArray(new Machine[0]);
    }

    int size() {
        return machines.size();
    }

    Machine get(String id) {
        return machines.get(id);
    }

    boolean knowsType(String type) {
        return typeByName.apply(type) != null;
    }

    /** Returns true if the machine was returned to the cloud within the last 15 minutes. */
    boolean wasReturned(String id) {
        return returnedAtById.containsKey(id);
    }

    /**
     * Adds a machine from the stored registry, as read at the election.
     *
     * @param silentSince time on the loop's clock since which no earlier leader has answered its heartbeats
     */
    Machine addRegistered(String id, String address, String type, String zone, boolean spot, long silentSince) {
        Machine machine = new Machine(id, address, typeByName.apply(type), zone, spot, context.now());
        if (address != null) {
            machine.markRegistered();
            machine.lease()
                    .setEarlierLeaderAnswer(
                            Math.min(silentSince, context.leadership().quiescentSince()));
            unverifiedMachines.add(machine);
        }
        machines.put(id, machine);
        return machine;
    }

    /** Returns the machine, added if it is new; null if its type is unknown or it has been returned to the cloud. */
    Machine addIfAbsent(String id, String address, String type, String zone, boolean spot) {
        MachineType machineType = typeByName.apply(type);
        if (machineType == null || returnedAtById.containsKey(id)) {
            return null;
        }
        Machine known = machines.get(id);
        if (known != null) {
            if (known.address() == null) {
                known.address(address);
            }
            return known;
        }
        Machine machine = new Machine(id, address, machineType, zone, spot, context.now());
        machines.put(id, machine);
        context.events().registryRowChanged(machine);
        return machine;
    }

    /** Adds a machine that has just been rented, and measures its boot time. */
    void addRented(String id, String type, String zone, boolean spot) {
        boolean alreadyKnown = machines.containsKey(id);
        Machine machine = addIfAbsent(id, null, type, zone, spot);
        if (machine != null && !alreadyKnown) {
            machine.startBootMeasurement();
        }
    }

    /** Removes a machine that has been returned to the cloud; returns null if it was not known. */
    Machine remove(String id) {
        returnedAtById.put(id, context.now());
        Machine machine = machines.remove(id);
        if (machine != null) {
            machine.transitionTo(Machine.State.GONE);
        }
        return machine;
    }

    /** Drops the identifiers of returned machines whose retention time has expired. */
    void expireReturned(long now) {
        Iterator<Long> returnTimes = returnedAtById.values().iterator();
        while (returnTimes.hasNext() && now - returnTimes.next() > RETURNED_RETENTION_MS) {
            returnTimes.remove();
        }
    }
}
