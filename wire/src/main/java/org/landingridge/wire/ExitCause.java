package org.landingridge.wire;

/** Why an attempt ended, as its worker says. */
public enum ExitCause {
    /** It completed; its result is kept. */
    DONE("done"),
    /** It was stopped by a command. */
    STOPPED("halted"),
    /** It failed. */
    ERROR("error"),
    /** The worker refused it: too few free resources. */
    FULL("full"),
    /** The worker refused it: another attempt of the task is on the machine. */
    BUSY("busy"),
    /** The worker refused it: it knows no such job or task. */
    UNKNOWN_TASK("unknown"),
    /** The worker gave no cause, or one that this version does not know. */
    UNSTATED(null);

    private final String wireName;

    ExitCause(String wireName) {
        this.wireName = wireName;
    }

    /** The cause of that name on the wire, {@link #UNSTATED} where there is none. */
    static ExitCause of(String wireName) {
        if (wireName == null) {
            return UNSTATED;
        }
        return switch (wireName) {
            case "done" -> DONE;
            case "halted" -> STOPPED;
            case "error" -> ERROR;
            case "full" -> FULL;
            case "busy" -> BUSY;
            case "unknown" -> UNKNOWN_TASK;
            default -> UNSTATED;
        };
    }

    /** Its name on the wire, null for {@link #UNSTATED}. */
    String wireName() {
        return wireName;
    }
}
