package org.landingridge.controller.scheduling;

import java.util.List;
import org.landingridge.wire.MachineType;

/** Decides which machines are expensive at the cloud's current prices. */
final class Prices {
    /** A machine is expensive if its price per CPU exceeds the lowest price per CPU by this factor. */
    private static final double EXPENSIVE_FACTOR = 1.5;

    private final double lowestPricePerCpu;

    Prices(List<MachineType> types) {
        double lowest = Double.MAX_VALUE;
        for (MachineType type : types) {
            lowest = lowerPrice(lowest, pricePerCpu(type, true));
            lowest = lowerPrice(lowest, pricePerCpu(type, false));
        }
        lowestPricePerCpu = lowest;
    }

    /** Returns the lower price; a price of 0 means that no such machine is offered. */
    private static double lowerPrice(double lowest, double price) {
        return price > 0 ? Math.min(lowest, price) : lowest;
    }

    boolean isExpensive(MachineType type, boolean spot) {
        return pricePerCpu(type, spot) > lowestPricePerCpu * EXPENSIVE_FACTOR;
    }

    /** Returns the price of a machine. */
    static double machinePrice(MachineType type, boolean spot) {
        return spot ? type.spotPrice() : type.price();
    }

    private static double pricePerCpu(MachineType type, boolean spot) {
        return machinePrice(type, spot) / Math.max(1e-9, type.cpus());
    }
}
