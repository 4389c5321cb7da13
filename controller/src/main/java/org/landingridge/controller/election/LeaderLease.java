package org.landingridge.controller.election;

import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.net.EventLoop;

/**
 * The leader's lease in the state service: renews it and tracks until when the leader may act. That deadline is the time at
 * which the last successful renewal was sent, plus the lease duration, minus the allowance for clock drift.
 */
final class LeaderLease {
    private static final long MIN_RENEWAL_TIMEOUT_MS = 500;
    private final StateClient client;
    private final EventLoop loop;
    private final long durationMs;
    /** ID of the lease in the state service; 0 while this controller has none. */
    private long id;

    private long validUntil = Long.MIN_VALUE / 2;
    private long lastRenewalSentAt = Long.MIN_VALUE / 2;
    private boolean renewalPending;

    LeaderLease(StateClient client, EventLoop loop, long durationMs) {
        this.client = client;
        this.loop = loop;
        this.durationMs = durationMs;
    }

    long id() {
        return id;
    }

    /** Returns whether the deadline for acting as leader has not passed yet. */
    boolean isValid() {
        return loop.now() < validUntil;
    }

    /** Returns the deadline for acting as leader, by the loop's clock. */
    long validUntil() {
        return validUntil;
    }

    /** Returns the time since the last successful renewal was sent, in milliseconds. */
    long msSinceRenewal() {
        return loop.now() - lastRenewalSentAt;
    }

    /**
     * Starts a leader term under this lease.
     *
     * @param requestedAt time at which the lease was requested, by the loop's clock
     */
    void begin(long leaseId, long requestedAt) {
        id = leaseId;
        validUntil = ClockDrift.safeEnd(requestedAt, durationMs);
        lastRenewalSentAt = requestedAt;
    }

    /** Gives up the lease, so that this controller may no longer act as leader. */
    void end() {
        id = 0;
        validUntil = Long.MIN_VALUE / 2;
    }

    /**
     * Extends the deadline by the promises of all other controllers. A deadline that has passed is never extended: another
     * controller may have led in the meantime.
     *
     * @return whether the deadline was extended
     */
    boolean extendByPromises(long promisedUntil) {
        if (!isValid() || promisedUntil <= validUntil) {
            return false;
        }
        validUntil = promisedUntil;
        return true;
    }

    /**
     * Renews the lease unless a renewal is already in progress.
     *
     * @param onExpired runs only if the state service answers that the lease has expired
     */
    void renew(long timeoutMs, Runnable onRenewed, Runnable onExpired) {
        if (renewalPending) {
            return;
        }
        renewalPending = true;
        long sentAt = loop.now();
        long leaseId = id;
        client.renewLease(leaseId, Math.max(MIN_RENEWAL_TIMEOUT_MS, timeoutMs), answer -> {
            renewalPending = false;
            if (id != leaseId) {
                return;
            }
            if (answer.ok()) {
                recordRenewal(sentAt);
                onRenewed.run();
            } else if (answer.status() == Status.NOT_FOUND || answer.status() == Status.NO_LEASE) {
                onExpired.run();
            }
        });
    }

    /**
     * Sends one renewal in addition to the regular ones.
     *
     * @param onFailed runs unless the renewal succeeds
     */
    void tryRenewal(long timeoutMs, Runnable onRenewed, Runnable onFailed) {
        long leaseId = id;
        long sentAt = loop.now();
        client.renewLease(leaseId, timeoutMs, answer -> {
            if (id != leaseId) {
                return;
            }
            if (answer.ok()) {
                recordRenewal(sentAt);
                onRenewed.run();
            } else {
                onFailed.run();
            }
        });
    }

    private void recordRenewal(long sentAt) {
        lastRenewalSentAt = Math.max(lastRenewalSentAt, sentAt);
        validUntil = Math.max(validUntil, ClockDrift.safeEnd(sentAt, durationMs));
    }
}
