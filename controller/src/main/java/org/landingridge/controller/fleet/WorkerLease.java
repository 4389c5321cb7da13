package org.landingridge.controller.fleet;

/**
 * The start of a machine's lease: a worker kills its tasks if none of the heartbeats it sent within the lease was answered.
 * Times are in milliseconds on the event loop's clock.
 */
final class WorkerLease {
    /** Latest time at which a heartbeat was or may have been answered. */
    private long answeredAt;
    /** Latest time at which an earlier leader may have answered a heartbeat, for a machine from the stored registry. */
    private long earlierLeaderAnsweredAt;

    WorkerLease(long now) {
        answeredAt = now;
    }

    long answeredAt() {
        return answeredAt;
    }

    /** Records that an earlier leader may have answered heartbeats until {@code latest}. */
    void setEarlierLeaderAnswer(long latest) {
        answeredAt = latest;
        earlierLeaderAnsweredAt = latest;
    }

    /** Disregards the answers of this leader, since none of them has reached the worker. */
    void revertToEarlierLeader() {
        answeredAt = earlierLeaderAnsweredAt;
    }

    /** Records the answer to a heartbeat. */
    void renew(long now) {
        answeredAt = now;
    }

    /** Assumes that the lease has started now, unless a later time is known. */
    void extend(long now) {
        answeredAt = Math.max(answeredAt, now);
    }
}
