package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;

/** What several histories begin with, and what all must keep. */
final class Checks {
    private Checks() {}

    static void kept(World w) {
        assertEquals(List.of(), w.rules.broken);
        assertEquals(0, w.state.tooLarge);
    }

    /** Services of a whole machine each, all running after 30 s. */
    static void services(World w, int count) {
        for (int i = 0; i < count; i++) {
            int n = i;
            w.at(100 + i * 50L, () -> w.submit(World.job(n, "blue", true, 1, 4, 0)));
        }
        w.sim.run(30_000);
        assertEquals(count, w.rules.places.size());
    }

    /** Ends a controller that is up; null where nobody leads. */
    static void crash(World.Node node, long back) {
        if (node != null && node.host.up) {
            node.crash(back);
        }
    }
}
