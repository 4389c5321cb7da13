package org.landingridge.wire;

/** Job priorities, least first, with their names on the wire. */
public enum Priority {
    LOW("best_effort"),
    NORMAL("normal"),
    HIGH("urgent"),
    PRODUCTION("prod");

    private final String wire;

    Priority(String wire) {
        this.wire = wire;
    }

    public String wire() {
        return wire;
    }

    public static Priority of(String wire) {
        for (Priority p : values()) {
            if (p.wire.equals(wire)) {
                return p;
            }
        }
        return null;
    }
}
