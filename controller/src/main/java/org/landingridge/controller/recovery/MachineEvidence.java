package org.landingridge.controller.recovery;

/**
 * What is known of one machine.
 *
 * @param row        what the roster says of it
 * @param word       its newest word in this leader term
 * @param stopped    the cloud lists it as failed: it stopped on its own
 * @param returning  the cloud has been asked to take it back and has not answered
 * @param leaseOver  nobody can have answered one of its reports for longer than its lease
 * @param silent     nothing has been heard of it for longer than its reports may take
 * @param unanswered it was asked directly, often enough, and did not answer
 * @param overdue    its boot, or its silence since its lease ended, takes longer than is usual, margin included
 * @param faulty     it fails one task after the other and runs none
 * @param crowd      so many machines of its zone are silent that a cut is likelier than losses
 * @param worth      what it holds or holds up would wait noticeably longer for its lease than for the cloud's answer
 */
public record MachineEvidence(
        Row row,
        Word word,
        boolean stopped,
        boolean returning,
        boolean leaseOver,
        boolean silent,
        boolean unanswered,
        boolean overdue,
        boolean faulty,
        boolean crowd,
        boolean worth) {

    /**
     * NAMED: nothing can be on it: it has not reported yet, or its lease is over. REPORTED: it has, and its row with the
     * address is not stored. HOLDS: stored with its address, so it may hold tasks.
     */
    public enum Row {
        NAMED,
        REPORTED,
        HOLDS
    }

    /** NONE: not heard of. OLD: it has not seen this leader's token. OURS: it has, so no earlier leader can reach it. */
    public enum Word {
        NONE,
        OLD,
        OURS
    }
}
