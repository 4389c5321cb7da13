package org.landingridge.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Draws faults that coincide, anew for each seed. */
final class RandomFaults {
    private RandomFaults() {}

    /** The faults of this seed, with their times. */
    static List<Experiment.Fault> draw(Experiment plan, long seed) {
        Experiment.Meetings m = plan.meetings();
        SplittableRandom random = new SplittableRandom(~seed);
        List<Experiment.Fault> drawn = new ArrayList<>();
        for (int i = 0; i < m.count(); i++) {
            double at = m.fromS() + random.nextDouble() * (m.untilS() - m.fromS());
            for (int faults = 2 + random.nextInt(2); faults > 0; faults--) {
                // Within a second of each other, or some; over at once, after a while, or not before cancel_s has
                // passed.
                double offset = random.nextDouble() * (random.nextBoolean() ? 1.5 : 6);
                double forS = switch (random.nextInt(3)) {
                    case 0 -> 0.05 + random.nextDouble();
                    case 1 -> 2 + random.nextDouble() * plan.leaseS();
                    default -> plan.leaseS() + random.nextDouble() * 1.3 * plan.cancelS();
                };
                drawn.add(new Experiment.Fault(
                        at + offset,
                        m.kinds().get(random.nextInt(m.kinds().size())),
                        Math.min(forS, m.untilS() + plan.cancelS() - at - offset),
                        1 + random.nextInt(4),
                        0.1 + 0.4 * random.nextDouble()));
            }
        }
        return drawn;
    }
}
