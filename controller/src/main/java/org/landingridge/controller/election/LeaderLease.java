package org.landingridge.controller.election;

import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.net.EventLoop;

/**
 * The leader's lease in the state service: renews it and tracks until when the leader may act. That deadline is the time at
 * which the last successful renewal was sent, plus the lease duration, minus the allowance for clock drift.
 */
final class LeaderLease {
    private static final long SHORTEST_TIMEOUT_MS = 500;
    private final StateClient client;
    private final EventLoop loop;
    private final long durationMs;
    /** ID of the lease in the state service; 0 while this controller has none. */
    private long id;

    private long validUntil = Long.MIN_VALUE / 2;
    private long renewedAt = Long.MIN_VALUE / 2;
    private boolean renewing;

    LeaderLease(StateClient client, EventLoop loop, long durationMs) {
        this.client = client;
        this.loop = loop;
        this.durationMs = durationMs;
    }

    long id() {
        return id;
    }

    /** Returns whether the deadline for acting as leader has not passed yet. */
    boolean valid() {
        return loop.now() < validUntil;
    }

    /** Returns the deadline for acting as leader, by the loop's clock. */
    long validUntil() {
        return validUntil;
    }

    /** Returns the time since the last successful renewal was sent, in milliseconds. */
    long sinceRenewal() {
        return loop.now() - renewedAt;
    }

    /**
     * Starts a leader term under this lease.
     *
     * @param sentAt time at which the lease was requested, by the loop's clock
     */
    void begin(long lease, long sentAt) {
        id = lease;
        validUntil = ClockDrift.safeEnd(sentAt, durationMs);
        renewedAt = sentAt;
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
    boolean extendByPromises(long until) {
        if (!valid() || until <= validUntil) {
            return false;
        }
        validUntil = until;
        return true;
    }

    /**
     * Renews the lease unless a renewal is already in progress.
     *
     * @param ended runs only if the state service answers that the lease has expired
     */
    void renew(long timeoutMs, Runnable renewed, Runnable ended) {
        if (renewing) {
            return;
        }
        renewing = true;
        long sentAt = loop.now();
        long lease = id;
        client.renew(lease, Math.max(SHORTEST_TIMEOUT_MS, timeoutMs), answer -> {
            renewing = false;
            if (id != lease) {
                return;
            }
            if (answer.ok()) {
                renewedAt(sentAt);
                renewed.run();
            } else if (answer.status() == Status.NOT_FOUND || answer.status() == Status.NO_LEASE) {
                ended.run();
            }
        });
    }

    /**
     * Sends one renewal in addition to the regular ones.
     *
     * @param failed runs unless the renewal succeeds
     */
    void tryRenewal(long timeoutMs, Runnable renewed, Runnable failed) {
        long lease = id;
        long sentAt = loop.now();
        client.renew(lease, timeoutMs, answer -> {
            if (id != lease) {
                return;
            }
            if (answer.ok()) {
                renewedAt(sentAt);
                renewed.run();
            } else {
                failed.run();
            }
        });
    }

    private void renewedAt(long sentAt) {
        renewedAt = Math.max(renewedAt, sentAt);
        validUntil = Math.max(validUntil, ClockDrift.safeEnd(sentAt, durationMs));
    }
}
