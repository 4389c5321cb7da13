package org.landingridge.controller.fleet;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of the roster that are not accounted for yet. They may hold tasks that an earlier leader started and nobody
 * has reported to this one; a machine is accounted for once it is fenced, lapsed or gone.
 */
final class Census {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private final Ground ground;
    private int left;
    private int asked;

    Census(Ground ground) {
        this.ground = ground;
    }

    void add(Machine m) {
        m.inCensus = true;
        left++;
        asked++;
    }

    /** How many machines are not accounted for. */
    int left() {
        return left;
    }

    void accounted(Machine m) {
        if (m.inCensus) {
            m.inCensus = false;
            left--;
            if (left == 0) {
                LOG.info("census complete: {} machines accounted for", asked);
            }
            ground.events().changed();
        }
    }
}
