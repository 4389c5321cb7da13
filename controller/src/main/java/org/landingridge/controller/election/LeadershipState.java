package org.landingridge.controller.election;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The election state of this controller; all transitions go through one method. */
final class LeadershipState {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private Leadership.State current = Leadership.State.FOLLOWING;

    Leadership.State current() {
        return current;
    }

    boolean is(Leadership.State state) {
        return current == state;
    }

    /** Returns whether this controller leads, even if it may not act at present. */
    boolean leads() {
        return switch (current) {
            case LEADING, PROMISED, SUSPENDED -> true;
            case FOLLOWING, CLAIMING -> false;
        };
    }

    /** Returns whether this controller leads and is not suspended; the deadlines may have passed since the last check. */
    boolean isActive() {
        return current == Leadership.State.LEADING || current == Leadership.State.PROMISED;
    }

    void moveTo(Leadership.State next) {
        if (next != current) {
            LOG.info("leadership state changed, from={} to={}", current, next);
            current = next;
        }
    }
}
