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
        RETURNING("the cloud has been asked to take it back"),
        STOPPED("the cloud lists it as failed"),
        LEASE_OVER("its lease is over, so it holds nothing"),
        SILENT_FOR_LONG("stays silent"),
        NEVER_UP("never came up"),
        BOOTING("it boots"),
        FAULTY("fails its tasks"),
        OLD_TOKEN("it has not seen this leader's token"),
        UNWRITTEN("its row in the roster is not stored yet"),
        KNOWN("it reports"),
        REPORT_DUE("its report is due"),
        UNHEARD("its report is overdue"),
        SETTLED_BY_RETURN("silent, and what it held cannot wait for its lease"),
        CUT_OFF("its lease; so many fall silent at once where a network is cut"),
        LEASE("its lease"),

        // Reasons for whole heartbeats.
        GIVEN_BACK("it was given back: the report is an old one"),
        OLDER("something newer is known"),
        HIGHER_TOKEN("somebody may lead after us"),

        // Reasons for entries of a heartbeat.
        JOB_OVER("its job is over"),
        NO_SUCH_JOB("no such job is stored"),
        NO_SUCH_TASK("the job has no task of this number"),
        ELSEWHERE("the task is on another machine"),
        LATER("a later attempt of the task than the one that is known"),
        FINISHED("the task has finished"),
        RUNS("it runs"),
        RESULT("its result is new"),
        UNSTORED("its result is not stored yet"),
        ENDED("it has ended without a result"),

        // Reasons for tasks that are on no machine according to the reports so far.
        OWN("no earlier leader knew the job"),
        SEEN("this leader has seen it on a fenced machine, and lost it"),
        NOBODY_HOLDS("every machine that could hold it is accounted for"),
        MAY_BE_HELD("a machine that may hold it is not accounted for");

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
