package org.landingridge.controller.recovery;

/**
 * What is known of one machine.
 *
 * @param registryRow      what the machine registry says of it
 * @param tokenSeen        the fencing token of its newest heartbeat in this leader term
 * @param failedInCloud    the cloud lists it as failed: it stopped on its own
 * @param returning        the cloud has been asked to take it back and has not answered
 * @param leaseExpired     nobody can have answered one of its heartbeats for longer than its lease
 * @param heartbeatOverdue it has not been heard of for longer than its heartbeats may take
 * @param unresponsive     it was called directly, often enough, and did not answer
 * @param bootOverdue      its boot, or its return after its lease expired, takes longer than usual, margin included
 * @param failsTasks       it fails one task after the other and runs none
 * @param partitionLikely  heartbeats of so many machines of its zone are overdue that a partition is likelier than losses
 * @param returnSaves      what runs there, or waits for it, would wait noticeably longer for the lease than for the cloud's
 *                         answer to a return
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

    /** What the machine registry says of a machine. */
    public enum RegistryRow {
        /** The machine has no address yet, or its lease has expired: nothing can run on it. */
        NO_ADDRESS,
        /** It has sent a heartbeat, and its row with the address is not stored yet. */
        ADDRESS_UNSTORED,
        /** Its row is stored with its address: it may run tasks. */
        ADDRESS_STORED
    }

    /** The fencing token that a worker has seen. */
    public enum TokenSeen {
        /** The machine has not been heard of in this leader term. */
        NONE,
        /** It has not seen this leader's token. */
        OLDER,
        /** It has, so no earlier leader can reach it. */
        CURRENT
    }
}
