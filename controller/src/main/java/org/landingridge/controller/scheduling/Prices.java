package org.landingridge.controller.scheduling;

import java.util.List;
import org.landingridge.wire.MachineType;

/** Which machines are cheap and which are dear, by the cloud's current prices. */
final class Prices {
    /** A machine whose processors cost so many times the cheapest there are counts as dear. */
    private static final double DEAR = 1.5;

    private final double cheapest;

    Prices(List<MachineType> types) {
        double least = Double.MAX_VALUE;
        for (MachineType t : types) {
            for (boolean spot : new boolean[] {true, false}) {
                double price = each(t, spot);
                least = price > 0 ? Math.min(least, price) : least;
            }
        }
        cheapest = least;
    }

    boolean dear(MachineType type, boolean spot) {
        return each(type, spot) > cheapest * DEAR;
    }

    /** Price of a processor. */
    private static double each(MachineType type, boolean spot) {
        return (spot ? type.spotPrice() : type.price()) / Math.max(1e-9, type.cpus());
    }
}
