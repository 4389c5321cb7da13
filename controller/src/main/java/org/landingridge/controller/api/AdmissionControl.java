package org.landingridge.controller.api;

import io.github.bucket4j.Bandwidth;
import io.github.bucket4j.Bucket;
import io.github.bucket4j.BucketConfiguration;
import io.github.bucket4j.TimeMeter;
import io.github.bucket4j.TokensInheritanceStrategy;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Limits the rate at which this controller writes submissions. After an outage, all submissions that clients held back arrive
 * at once. Unlimited, they would use up the write rate of the state service: no controller could become leader, and a leader
 * could not write the machine registry, without which no machine can be given a task. Each controller therefore keeps to its
 * share of the rate while it receives no heartbeat of the leader, or while the heartbeat says that the leader's own writes are
 * starved. A submission that is not admitted is rejected immediately, with a time after which to retry.
 */
final class AdmissionControl {
    /** Bucket tokens taken by one submission; more than 1, since rates are fractional. */
    private static final long TOKENS = 1_000;
    /** Time for which a heartbeat of the leader is valid, in milliseconds. */
    private static final long HEARD_MS = 2_500;

    private static final int MAX_RETRY_AFTER_S = 4;
    private final LongSupplier clock;
    private final double maxRate;
    private final double shareRate;
    /** Burst of submissions admitted after an idle time, since requests are spread unevenly over time and over controllers. */
    private final double burst;

    private final Bucket bucket;
    /** Submissions a second that are currently admitted. */
    private double rate;

    private long heardUntil = Long.MIN_VALUE / 2;
    /** Submissions refused in the current counting second. */
    private int refused;

    private long countedSince;

    /**
     * Admits this controller's share until the first heartbeat of a leader arrives.
     *
     * @param clock           monotonic clock, in milliseconds
     * @param maxWriteRate    write rate limit of the state service, in writes a second
     * @param share           share of this rate that all controllers together may always use for submissions
     * @param controllerCount number of controllers, including this one
     */
    AdmissionControl(LongSupplier clock, double maxWriteRate, double share, int controllerCount) {
        this.clock = clock;
        this.maxRate = maxWriteRate;
        this.shareRate = maxWriteRate * share / controllerCount;
        this.burst = maxWriteRate * share;
        this.rate = shareRate;
        bucket = Bucket.builder()
                .addLimit(limit(rate))
                .withCustomTimePrecision(new TimeMeter() {
                    @Override
                    public long currentTimeNanos() {
                        return clock.getAsLong() * 1_000_000;
                    }

                    @Override
                    public boolean isWallClockBased() {
                        return false;
                    }
                })
                .build();
    }

    private Bandwidth limit(double perSecond) {
        long tokens = Math.max(TOKENS / 10, Math.round(perSecond * TOKENS));
        return Bandwidth.builder()
                .capacity(Math.max(TOKENS, Math.round(burst * TOKENS)))
                .refillGreedy(tokens, Duration.ofSeconds(1))
                .build();
    }

    /** Handles a heartbeat of the leader, which says whether its own writes are starved. */
    void leaderHeard(boolean writesStarved) {
        heardUntil = clock.getAsLong() + HEARD_MS;
        setRate(writesStarved ? shareRate : maxRate);
    }

    private void setRate(double perSecond) {
        if (Math.abs(perSecond - rate) > 0.1) {
            rate = perSecond;
            bucket.replaceConfiguration(
                    BucketConfiguration.builder().addLimit(limit(perSecond)).build(), TokensInheritanceStrategy.AS_IS);
        }
    }

    /** Counts a submission and returns true if it may be written now. */
    boolean admit() {
        if (clock.getAsLong() > heardUntil) {
            setRate(shareRate);
        }
        boolean admitted = bucket.tryConsume(TOKENS);
        if (clock.getAsLong() - countedSince >= 1_000) {
            countedSince = clock.getAsLong();
            refused = 0;
        }
        refused += admitted ? 0 : 1;
        return admitted;
    }

    /** Returns the retry delay for a refused submission, in seconds; it grows with the number of recent refusals. */
    int retryAfterS() {
        return (int) Math.max(1, Math.min(MAX_RETRY_AFTER_S, Math.round(refused / Math.max(0.1, rate))));
    }
}
