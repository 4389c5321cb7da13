package org.landingridge.controller.scheduling;

import java.util.List;
import org.landingridge.wire.MachineType;

/** Decides which machines are expensive at the cloud's current prices. */
final class Prices {
    /** A machine is expensive if its price per CPU exceeds the lowest price per CPU by this factor. */
    private static final double EXPENSIVE = 1.5;

    private final double cheapest;

    Prices(List<MachineType> types) {
        double least = Double.MAX_VALUE;
        for (MachineType type : types) {
            least = lesser(least, perProcessor(type, true));
            least = lesser(least, perProcessor(type, false));
        }
        cheapest = least;
    }

    /** Returns the lower price; a price of 0 means that no such machine is offered. */
    private static double lesser(double least, double price) {
        return price > 0 ? Math.min(least, price) : least;
    }

    boolean expensive(MachineType type, boolean spot) {
        return perProcessor(type, spot) > cheapest * EXPENSIVE;
    }

    /** Returns the price of a machine. */
    static double of(MachineType type, boolean spot) {
        return spot ? type.spotPrice() : type.price();
    }

    private static double perProcessor(MachineType type, boolean spot) {
        return of(type, spot) / Math.max(1e-9, type.cpus());
    }
}
