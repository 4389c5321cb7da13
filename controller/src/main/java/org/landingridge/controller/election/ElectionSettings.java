package org.landingridge.controller.election;

/**
 * Settings of the leader election.
 *
 * @param leaderKey   the leader key in the state service; the key of the last leader has {@code -last} appended
 * @param leaseMs     duration of the leader lease, in milliseconds
 * @param freshnessLimitMs maximum age of the leader's view of cancellations with which it may still answer workers, in
 *                    milliseconds; see {@link #freshnessLimitMs(double, double, long)}
 */
public record ElectionSettings(String leaderKey, long leaseMs, long freshnessLimitMs) {
    /** Allowance for stopping tasks after a worker lease expires, and for the time from reading the clock to sending a 200. */
    private static final long EXPIRY_MARGIN_MS = 1_000;

    /**
     * Returns how long a leader that may lack a cancellation can keep answering workers, in milliseconds. Each answer renews
     * a worker lease, and these leases must expire within {@code cancelS}. The result is at least the leader lease, because no
     * leader could serve with less; with such settings the tasks of a cancelled job may exceed {@code cancelS} by the
     * difference.
     *
     * @param cancelS       time limit for the tasks of a cancelled job to be gone, in seconds
     * @param workerLeaseS  duration of a worker lease, in seconds
     * @param leaderLeaseMs duration of the leader lease, in milliseconds
     */
    public static long freshnessLimitMs(double cancelS, double workerLeaseS, long leaderLeaseMs) {
        long remainingMs = (long) (cancelS * 1000 * (1 - ClockDrift.RATE))
                - (long) (workerLeaseS * 1000 * (1 + 2 * ClockDrift.RATE))
                - EXPIRY_MARGIN_MS;
        return Math.max(leaderLeaseMs, remainingMs);
    }

    /** Returns the key that names the last leader; it remains when the leader lease ends. */
    String lastLeaderKey() {
        return leaderKey + "-last";
    }
}
