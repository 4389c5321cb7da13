package org.landingridge.controller.election;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one state of this controller in the election, and its only transition function. */
final class LeadershipState {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private Leadership.State current = Leadership.State.FOLLOWING;

    Leadership.State current() {
        return current;
    }

    boolean is(Leadership.State state) {
        return current == state;
    }

    /** True while this controller leads, whether it may act now or not. */
    boolean leads() {
        return switch (current) {
            case LEADING, PROMISED, SUSPENDED -> true;
            case FOLLOWING, CLAIMING -> false;
        };
    }

    /** True while this controller leads and neither lease nor freshness was found to be over. */
    boolean active() {
        return current == Leadership.State.LEADING || current == Leadership.State.PROMISED;
    }

    void to(Leadership.State next) {
        if (next != current) {
            LOG.info("leadership: {} -> {}", current, next);
            current = next;
        }
    }
}
