package org.landingridge.controller.election;

/**
 * What an election goes by.
 *
 * @param key         the leader's key in the state service; the key of the last leader is this and {@code -last}
 * @param leaseMs     duration of the leader lease in milliseconds
 * @param freshnessMs for how many milliseconds after the last time up to which all cancellations are known a worker may
 *                    still be answered; see {@link #freshnessMs(double, double, long)}
 */
public record ElectionSettings(String key, long leaseMs, long freshnessMs) {
    /** From the end of a worker lease until its tasks are gone, and from reading the clock until a 200 is sent. */
    private static final long EXPIRY_MARGIN_MS = 1_000;

    /**
     * For how long a leader that may lack a cancellation can go on answering workers: their leases, which each answer renews,
     * have to be over before {@code cancelS} is. Where settings leave less than the leader lease for that, that much is
     * taken: no leader could serve otherwise, and what was confirmed may then run on for the difference.
     *
     * @param cancelS       seconds within which the tasks of a cancelled job must be gone
     * @param workerLeaseS  duration of a worker's lease in seconds
     * @param leaderLeaseMs duration of the leader lease in milliseconds
     */
    public static long freshnessMs(double cancelS, double workerLeaseS, long leaderLeaseMs) {
        long left = (long) (cancelS * 1000 * (1 - ClockDrift.RATE))
                - (long) (workerLeaseS * 1000 * (1 + 2 * ClockDrift.RATE))
                - EXPIRY_MARGIN_MS;
        return Math.max(leaderLeaseMs, left);
    }

    /** Key that names the last leader; it stays when the leader lease ends. */
    String lastLeaderKey() {
        return key + "-last";
    }
}
