package org.landingridge.controller.recovery;

/**
 * The evidence about one machine.
 *
 * @param registryRow      its row in the machine registry
 * @param tokenSeen        the fencing token of its newest heartbeat in this leader term
 * @param failedInCloud    the cloud lists it as failed: it stopped on its own
 * @param returning        its return to the cloud has been requested and not yet answered
 * @param leaseExpired     no controller can have answered one of its heartbeats within the last lease period
 * @param heartbeatOverdue its next heartbeat is overdue
 * @param unresponsive     it did not answer enough direct calls
 * @param bootOverdue      its boot, or its return after its lease expired, takes longer than usual, margin included
 * @param failsTasks       its tasks fail one after the other and none runs
 * @param partitionLikely  heartbeats of many machines of its zone are overdue, so a network partition is likelier than losses
 * @param returnSaves      tasks that run there or wait for it would wait noticeably longer for the lease to expire than for
 *                         the cloud to confirm a return
 */
public record MachineEvidence(
        RegistryRow registryRow,
        TokenSeen tokenSeen,
        boolean failedInCloud,
        boolean returning,
        boolean leaseExpired,
        boolean heartbeatOverdue,
        boolean unresponsive,
        boolean bootOverdue,
        boolean failsTasks,
        boolean partitionLikely,
        boolean returnSaves) {

    /** The state of a machine's row in the machine registry. */
    public enum RegistryRow {
        /** The machine has no address yet, or its lease has expired: nothing can run on it. */
        NO_ADDRESS,
        /** The machine has sent a heartbeat, and its row with the address is not stored yet. */
        ADDRESS_UNSTORED,
        /** The row is stored with the address, so the machine may run tasks. */
        ADDRESS_STORED
    }

    /** The fencing token that a worker has seen, compared with this leader's. */
    public enum TokenSeen {
        /** The machine has sent no heartbeat in this leader term. */
        NONE,
        /** The worker has not seen this leader's token. */
        OLDER,
        /** The worker has seen this leader's token, so it accepts no commands of earlier leaders. */
        CURRENT
    }
}
