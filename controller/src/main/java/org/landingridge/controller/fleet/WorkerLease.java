package org.landingridge.controller.fleet;

/**
 * From when a machine's lease counts: a worker kills its tasks when no heartbeat that it sent within the lease was answered.
 * All times are the event loop's, in milliseconds.
 */
final class WorkerLease {
    /** When one of its heartbeats was last answered, or may have been. */
    private long answeredAt;
    /** The latest moment at which an earlier leader can have answered one, for a machine of the registry. */
    private long earlierAnsweredAt;

    WorkerLease(long now) {
        answeredAt = now;
    }

    long answeredAt() {
        return answeredAt;
    }

    /** An earlier leader may have answered until then. */
    void inherit(long latest) {
        answeredAt = latest;
        earlierAnsweredAt = latest;
    }

    /** What this leader answered has not reached the worker. */
    void revertToEarlierLeader() {
        answeredAt = earlierAnsweredAt;
    }

    /** One of its heartbeats is answered now. */
    void renew(long now) {
        answeredAt = now;
    }

    /** The lease may have begun now. */
    void extend(long now) {
        answeredAt = Math.max(answeredAt, now);
    }
}
