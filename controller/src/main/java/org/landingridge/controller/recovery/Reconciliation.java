package org.landingridge.controller.recovery;

import org.landingridge.controller.recovery.EntryEvidence.Known;
import org.landingridge.controller.recovery.EntryEvidence.Said;
import org.landingridge.controller.recovery.Judgement.Cause;
import org.landingridge.controller.recovery.MachineEvidence.Row;
import org.landingridge.controller.recovery.MachineEvidence.Word;

/**
 * Squares what workers and cloud say with what is stored: from evidence to one verdict with its reason, with no state of
 * its own. The tables in {@code docs/recovery.md} say the same line by line, and a test holds every combination against
 * them.
 */
public final class Reconciliation {
    private Reconciliation() {}

    public static Judgement machine(MachineEvidence e) {
        if (e.row() != Row.NAMED && e.leaseOver()) {
            return new Judgement(Verdict.PLACE, Cause.LEASE_OVER);
        }
        if (e.returning()) {
            return new Judgement(Verdict.WAIT, Cause.RETURNING);
        }
        if (e.silent() && e.stopped()) {
            return new Judgement(Verdict.GIVE_BACK, Cause.STOPPED);
        }
        if (e.row() == Row.NAMED) {
            boolean heard = e.word() != Word.NONE;
            if (e.overdue()) {
                return new Judgement(Verdict.GIVE_BACK, heard ? Cause.SILENT_FOR_LONG : Cause.NEVER_UP);
            }
            return new Judgement(Verdict.WAIT, heard ? Cause.LEASE_OVER : Cause.BOOTING);
        }
        if (e.faulty()) {
            return new Judgement(Verdict.GIVE_BACK, Cause.FAULTY);
        }
        return e.silent() ? silent(e) : speaking(e);
    }

    private static Judgement speaking(MachineEvidence e) {
        return switch (e.word()) {
            case NONE -> new Judgement(Verdict.WAIT, Cause.REPORT_DUE);
            case OLD -> new Judgement(Verdict.FENCE, Cause.OLD_TOKEN);
            case OURS ->
                e.row() == Row.REPORTED
                        ? new Judgement(Verdict.WAIT, Cause.UNWRITTEN)
                        : new Judgement(Verdict.ADOPT, Cause.KNOWN);
        };
    }

    /** It may hold tasks, and nobody knows whether it still runs them: a silence proves nothing. */
    private static Judgement silent(MachineEvidence e) {
        if (!e.unanswered()) {
            return new Judgement(Verdict.ASK, Cause.UNHEARD);
        }
        if (e.crowd()) {
            return new Judgement(Verdict.WAIT, Cause.CUT_OFF);
        }
        return e.worth()
                ? new Judgement(Verdict.GIVE_BACK, Cause.SETTLED_BY_RETURN)
                : new Judgement(Verdict.WAIT, Cause.LEASE);
    }

    public static Judgement report(ReportEvidence e) {
        if (e.givenBack()) {
            return new Judgement(Verdict.IGNORE, Cause.GIVEN_BACK);
        }
        if (e.token() == ReportEvidence.Token.HIGHER) {
            return new Judgement(Verdict.ASK, Cause.HIGHER_TOKEN);
        }
        if (!e.newer()) {
            return new Judgement(Verdict.IGNORE, Cause.OLDER);
        }
        return e.token() == ReportEvidence.Token.LOWER
                ? new Judgement(Verdict.FENCE, Cause.OLD_TOKEN)
                : new Judgement(Verdict.ADOPT, Cause.KNOWN);
    }

    public static Judgement entry(EntryEvidence e) {
        Verdict unwanted = e.entry() == Said.ON ? Verdict.STOP : Verdict.CLEAR;
        if (e.job() != EntryEvidence.Stored.LIVE) {
            return new Judgement(unwanted, e.job() == EntryEvidence.Stored.OVER ? Cause.JOB_OVER : Cause.NO_SUCH_JOB);
        }
        if (e.task() == Known.NONE) {
            return new Judgement(unwanted, Cause.NO_SUCH_TASK);
        }
        return switch (e.entry()) {
            case ON ->
                switch (e.task()) {
                    case PENDING -> new Judgement(Verdict.ADOPT, Cause.RUNS);
                    case EARLIER -> new Judgement(Verdict.ADOPT, Cause.LATER);
                    case ELSEWHERE -> new Judgement(Verdict.STOP, Cause.ELSEWHERE);
                    default -> new Judgement(Verdict.STOP, Cause.FINISHED);
                };
            case DONE ->
                switch (e.task()) {
                    case PENDING, ELSEWHERE, EARLIER -> new Judgement(Verdict.ADOPT, Cause.RESULT);
                    case FINISHED -> new Judgement(Verdict.WAIT, Cause.UNSTORED);
                    default -> new Judgement(Verdict.CLEAR, Cause.FINISHED);
                };
            case ENDED -> new Judgement(Verdict.CLEAR, Cause.ENDED);
        };
    }

    public static Judgement task(TaskEvidence e) {
        if (e.own()) {
            return new Judgement(Verdict.PLACE, Cause.OWN);
        }
        if (e.accounted()) {
            return new Judgement(Verdict.PLACE, Cause.SEEN);
        }
        return e.held()
                ? new Judgement(Verdict.WAIT, Cause.MAY_BE_HELD)
                : new Judgement(Verdict.PLACE, Cause.NOBODY_HOLDS);
    }
}
