package org.landingridge.controller.election;

import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.net.EventLoop;

/**
 * The leader's lease of the state service: its renewal, and until when the right to act runs. The right is counted from when
 * the last successful renewal was sent, for the lease's duration less drift.
 */
final class LeaderLease {
    private static final long SHORTEST_TIMEOUT_MS = 500;
    private final StateClient client;
    private final EventLoop loop;
    private final long durationMs;
    /** Of the state service; 0 while this controller has no lease. */
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

    /** True while the right to act runs. */
    boolean valid() {
        return loop.now() < validUntil;
    }

    /** Until when the right to act runs, by the loop's clock. */
    long validUntil() {
        return validUntil;
    }

    /** Milliseconds since the last successful renewal was sent. */
    long sinceRenewal() {
        return loop.now() - renewedAt;
    }

    /** The election was won with this lease, which was asked for at {@code sentAt}. */
    void begin(long lease, long sentAt) {
        id = lease;
        validUntil = ClockDrift.safeEnd(sentAt, durationMs);
        renewedAt = sentAt;
    }

    /** The right to act ends at once. */
    void end() {
        id = 0;
        validUntil = Long.MIN_VALUE / 2;
    }

    /**
     * Promises of all others extend a right that has not run out. They never revive one: in between, someone may have led.
     *
     * @return true if the right has been extended
     */
    boolean extendByPromises(long until) {
        if (!valid() || until <= validUntil) {
            return false;
        }
        validUntil = until;
        return true;
    }

    /** Renews the lease, unless a renewal is under way. {@code ended} runs only where the service says that the lease is over. */
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

    /** One renewal beside the regular ones; {@code failed} runs unless it succeeds. */
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
