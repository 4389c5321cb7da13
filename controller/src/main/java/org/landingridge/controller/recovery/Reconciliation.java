package org.landingridge.controller.recovery;

import org.landingridge.controller.recovery.Decision.Reason;
import org.landingridge.controller.recovery.EntryEvidence.KnownTask;
import org.landingridge.controller.recovery.EntryEvidence.ReportedAttempt;
import org.landingridge.controller.recovery.EntryEvidence.StoredJob;
import org.landingridge.controller.recovery.MachineEvidence.RegistryRow;
import org.landingridge.controller.recovery.MachineEvidence.TokenSeen;

/**
 * Reconciles reports of workers and the cloud with the stored state. Each function derives a {@link Decision} from evidence
 * and has no state. The tables in {@code docs/recovery.md} list the same rules, and a test checks every combination of
 * evidence against them.
 */
public final class Reconciliation {
    private Reconciliation() {}

    /** Decides about a machine. */
    public static Decision machine(MachineEvidence evidence) {
        boolean mayRunTasks = evidence.registryRow() != RegistryRow.NO_ADDRESS;
        if (mayRunTasks && evidence.leaseExpired()) {
            return new Decision(Action.PLACE, Reason.LEASE_OVER);
        }
        if (evidence.returning()) {
            return new Decision(Action.WAIT, Reason.RETURNING);
        }
        if (evidence.heartbeatOverdue() && evidence.failedInCloud()) {
            return new Decision(Action.GIVE_BACK, Reason.STOPPED);
        }
        if (!mayRunTasks) {
            return decideWithoutAddress(evidence);
        }
        if (evidence.failsTasks()) {
            return new Decision(Action.GIVE_BACK, Reason.FAULTY);
        }
        return evidence.heartbeatOverdue() ? decideOverdue(evidence) : decideOnTime(evidence);
    }

    private static Decision decideWithoutAddress(MachineEvidence evidence) {
        boolean hasSentHeartbeat = evidence.tokenSeen() != TokenSeen.NONE;
        if (evidence.bootOverdue()) {
            return new Decision(Action.GIVE_BACK, hasSentHeartbeat ? Reason.SILENT_FOR_LONG : Reason.NEVER_UP);
        }
        return new Decision(Action.WAIT, hasSentHeartbeat ? Reason.LEASE_OVER : Reason.BOOTING);
    }

    private static Decision decideOnTime(MachineEvidence evidence) {
        return switch (evidence.tokenSeen()) {
            case NONE -> new Decision(Action.WAIT, Reason.REPORT_DUE);
            case OLDER -> new Decision(Action.FENCE, Reason.OLD_TOKEN);
            case CURRENT ->
                evidence.registryRow() == RegistryRow.ADDRESS_UNSTORED
                        ? new Decision(Action.WAIT, Reason.UNWRITTEN)
                        : new Decision(Action.ADOPT, Reason.KNOWN);
        };
    }

    /** Decides about a machine that may still run tasks: a missing heartbeat alone does not prove that it has stopped. */
    private static Decision decideOverdue(MachineEvidence evidence) {
        if (!evidence.unresponsive()) {
            return new Decision(Action.ASK, Reason.UNHEARD);
        }
        if (evidence.partitionLikely()) {
            return new Decision(Action.WAIT, Reason.CUT_OFF);
        }
        return evidence.returnSaves()
                ? new Decision(Action.GIVE_BACK, Reason.SETTLED_BY_RETURN)
                : new Decision(Action.WAIT, Reason.LEASE);
    }

    /** Decides about a heartbeat as a whole. */
    public static Decision heartbeat(HeartbeatEvidence evidence) {
        if (evidence.returned()) {
            return new Decision(Action.IGNORE, Reason.GIVEN_BACK);
        }
        if (evidence.token() == HeartbeatEvidence.Token.HIGHER) {
            return new Decision(Action.ASK, Reason.HIGHER_TOKEN);
        }
        if (!evidence.newer()) {
            return new Decision(Action.IGNORE, Reason.OLDER);
        }
        return evidence.token() == HeartbeatEvidence.Token.LOWER
                ? new Decision(Action.FENCE, Reason.OLD_TOKEN)
                : new Decision(Action.ADOPT, Reason.KNOWN);
    }

    /** Decides about one entry of a heartbeat. */
    public static Decision entry(EntryEvidence evidence) {
        Action discardAction = evidence.entry() == ReportedAttempt.LIVE ? Action.STOP : Action.CLEAR;
        if (evidence.job() != StoredJob.ACTIVE) {
            return new Decision(
                    discardAction, evidence.job() == StoredJob.ENDED ? Reason.JOB_OVER : Reason.NO_SUCH_JOB);
        }
        if (evidence.task() == KnownTask.NONE) {
            return new Decision(discardAction, Reason.NO_SUCH_TASK);
        }
        return switch (evidence.entry()) {
            case LIVE -> decideLive(evidence.task());
            case COMPLETED -> decideCompleted(evidence.task());
            case ENDED -> new Decision(Action.CLEAR, Reason.ENDED);
        };
    }

    private static Decision decideLive(KnownTask task) {
        return switch (task) {
            case PENDING -> new Decision(Action.ADOPT, Reason.RUNS);
            case EARLIER_ATTEMPT -> new Decision(Action.ADOPT, Reason.LATER);
            case LATER_ATTEMPT -> new Decision(Action.STOP, Reason.ELSEWHERE);
            case NONE, FINISHED, STORED -> new Decision(Action.STOP, Reason.FINISHED);
        };
    }

    private static Decision decideCompleted(KnownTask task) {
        return switch (task) {
            case PENDING, LATER_ATTEMPT, EARLIER_ATTEMPT -> new Decision(Action.ADOPT, Reason.RESULT);
            case FINISHED -> new Decision(Action.WAIT, Reason.UNSTORED);
            case NONE, STORED -> new Decision(Action.CLEAR, Reason.FINISHED);
        };
    }

    /** Decides about a task that is on no machine according to the reports so far. */
    public static Decision task(TaskEvidence evidence) {
        if (evidence.acceptedThisTerm()) {
            return new Decision(Action.PLACE, Reason.OWN);
        }
        if (evidence.accounted()) {
            return new Decision(Action.PLACE, Reason.SEEN);
        }
        return evidence.unverifiedMachine()
                ? new Decision(Action.WAIT, Reason.MAY_BE_HELD)
                : new Decision(Action.PLACE, Reason.NOBODY_HOLDS);
    }
}
