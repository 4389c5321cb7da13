package org.landingridge.controller.recovery;

import org.landingridge.controller.recovery.Decision.Reason;
import org.landingridge.controller.recovery.EntryEvidence.Known;
import org.landingridge.controller.recovery.EntryEvidence.Said;
import org.landingridge.controller.recovery.MachineEvidence.Row;
import org.landingridge.controller.recovery.MachineEvidence.Word;

/**
 * Squares what workers and cloud say with what is stored: from evidence to one verdict with its reason, with no state of
 * its own. The tables in {@code docs/recovery.md} say the same line by line, and a test holds every combination against
 * them.
 */
public final class Reconciliation {
    private Reconciliation() {}

    public static Decision machine(MachineEvidence e) {
        if (e.row() != Row.NAMED && e.leaseOver()) {
            return new Decision(Action.PLACE, Reason.LEASE_OVER);
        }
        if (e.returning()) {
            return new Decision(Action.WAIT, Reason.RETURNING);
        }
        if (e.silent() && e.stopped()) {
            return new Decision(Action.GIVE_BACK, Reason.STOPPED);
        }
        if (e.row() == Row.NAMED) {
            boolean heard = e.word() != Word.NONE;
            if (e.overdue()) {
                return new Decision(Action.GIVE_BACK, heard ? Reason.SILENT_FOR_LONG : Reason.NEVER_UP);
            }
            return new Decision(Action.WAIT, heard ? Reason.LEASE_OVER : Reason.BOOTING);
        }
        if (e.faulty()) {
            return new Decision(Action.GIVE_BACK, Reason.FAULTY);
        }
        return e.silent() ? silent(e) : speaking(e);
    }

    private static Decision speaking(MachineEvidence e) {
        return switch (e.word()) {
            case NONE -> new Decision(Action.WAIT, Reason.REPORT_DUE);
            case OLD -> new Decision(Action.FENCE, Reason.OLD_TOKEN);
            case OURS ->
                e.row() == Row.REPORTED
                        ? new Decision(Action.WAIT, Reason.UNWRITTEN)
                        : new Decision(Action.ADOPT, Reason.KNOWN);
        };
    }

    /** It may hold tasks, and nobody knows whether it still runs them: a silence proves nothing. */
    private static Decision silent(MachineEvidence e) {
        if (!e.unanswered()) {
            return new Decision(Action.ASK, Reason.UNHEARD);
        }
        if (e.crowd()) {
            return new Decision(Action.WAIT, Reason.CUT_OFF);
        }
        return e.worth()
                ? new Decision(Action.GIVE_BACK, Reason.SETTLED_BY_RETURN)
                : new Decision(Action.WAIT, Reason.LEASE);
    }

    public static Decision report(ReportEvidence e) {
        if (e.givenBack()) {
            return new Decision(Action.IGNORE, Reason.GIVEN_BACK);
        }
        if (e.token() == ReportEvidence.Token.HIGHER) {
            return new Decision(Action.ASK, Reason.HIGHER_TOKEN);
        }
        if (!e.newer()) {
            return new Decision(Action.IGNORE, Reason.OLDER);
        }
        return e.token() == ReportEvidence.Token.LOWER
                ? new Decision(Action.FENCE, Reason.OLD_TOKEN)
                : new Decision(Action.ADOPT, Reason.KNOWN);
    }

    public static Decision entry(EntryEvidence e) {
        Action unwanted = e.entry() == Said.ON ? Action.STOP : Action.CLEAR;
        if (e.job() != EntryEvidence.Stored.LIVE) {
            return new Decision(unwanted, e.job() == EntryEvidence.Stored.OVER ? Reason.JOB_OVER : Reason.NO_SUCH_JOB);
        }
        if (e.task() == Known.NONE) {
            return new Decision(unwanted, Reason.NO_SUCH_TASK);
        }
        return switch (e.entry()) {
            case ON ->
                switch (e.task()) {
                    case PENDING -> new Decision(Action.ADOPT, Reason.RUNS);
                    case EARLIER -> new Decision(Action.ADOPT, Reason.LATER);
                    case ELSEWHERE -> new Decision(Action.STOP, Reason.ELSEWHERE);
                    default -> new Decision(Action.STOP, Reason.FINISHED);
                };
            case DONE ->
                switch (e.task()) {
                    case PENDING, ELSEWHERE, EARLIER -> new Decision(Action.ADOPT, Reason.RESULT);
                    case FINISHED -> new Decision(Action.WAIT, Reason.UNSTORED);
                    default -> new Decision(Action.CLEAR, Reason.FINISHED);
                };
            case ENDED -> new Decision(Action.CLEAR, Reason.ENDED);
        };
    }

    public static Decision task(TaskEvidence e) {
        if (e.own()) {
            return new Decision(Action.PLACE, Reason.OWN);
        }
        if (e.accounted()) {
            return new Decision(Action.PLACE, Reason.SEEN);
        }
        return e.held()
                ? new Decision(Action.WAIT, Reason.MAY_BE_HELD)
                : new Decision(Action.PLACE, Reason.NOBODY_HOLDS);
    }
}
