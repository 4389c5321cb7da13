package org.landingridge.controller.recovery;

/**
 * An action and the reason for it.
 *
 * @param reason one of a fixed set, the reason column of the tables in {@code docs/recovery.md}
 */
public record Decision(Action action, Reason reason) {
    /** The reason; names and texts are shown in the status, and the texts also in incidents. */
    public enum Reason {
        // Reasons for machines.
        RETURNING("its return to the cloud has been requested"),
        STOPPED("the cloud lists it as failed"),
        LEASE_OVER("its lease has expired, so it runs nothing"),
        SILENT_FOR_LONG("stays silent"),
        NEVER_UP("never came up"),
        BOOTING("it is booting"),
        FAULTY("fails its tasks"),
        OLD_TOKEN("it has not seen this leader's token"),
        UNWRITTEN("its registry row is not stored yet"),
        KNOWN("it sends heartbeats"),
        REPORT_DUE("its first heartbeat is due"),
        UNHEARD("its heartbeat is overdue"),
        SETTLED_BY_RETURN("silent, and its tasks cannot wait for its lease to expire"),
        CUT_OFF(
                "waiting for its lease to expire; many machines of its zone are silent, so a network partition is likely"),
        LEASE("waiting for its lease to expire"),

        // Reasons for whole heartbeats.
        GIVEN_BACK("it was returned to the cloud: the heartbeat is old"),
        OLDER("a newer heartbeat is known"),
        HIGHER_TOKEN("a later leader may exist"),

        // Reasons for entries of a heartbeat.
        JOB_OVER("its job has ended"),
        NO_SUCH_JOB("no such job is stored"),
        NO_SUCH_TASK("the job has no task of this number"),
        ELSEWHERE("the task is on another machine"),
        LATER("it is a later attempt of the task than the known one"),
        FINISHED("the task has finished"),
        RUNS("it is running"),
        RESULT("its result is new"),
        UNSTORED("its result is not stored yet"),
        ENDED("it ended without a result"),

        // Reasons for tasks that are on no machine according to the reports so far.
        OWN("no earlier leader knew the job"),
        SEEN("this leader saw it on a fenced machine, from which it was lost"),
        NOBODY_HOLDS("every machine that could run it has been verified"),
        MAY_BE_HELD("a machine that may run it has not been verified");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /** Returns the reason as text that can end a sentence about the machine or the task. */
        public String text() {
            return text;
        }
    }

    /** Returns true if the decision is to take this action. */
    public boolean is(Action expected) {
        return action == expected;
    }
}
