package org.landingridge.controller.api;

import io.github.bucket4j.Bandwidth;
import io.github.bucket4j.Bucket;
import io.github.bucket4j.BucketConfiguration;
import io.github.bucket4j.TimeMeter;
import io.github.bucket4j.TokensInheritanceStrategy;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * How many submissions this controller may write now. After an outage everything submitted meanwhile is submitted at once:
 * that would take all changes that the state service allows, no controller could become the leader, and a leader could not
 * write the machine registry, without which no machine takes a task. So each controller keeps to its share while no leader is
 * heard, or while the leader says, with its heartbeat to the other controllers, that it comes short of changes. A submission
 * that is not admitted is refused at once, with the time after which to come back.
 */
final class AdmissionControl {
    /** Tokens of the bucket to a submission: rates are fractions. */
    private static final long TOKENS = 1_000;
    /** So long a heartbeat of the leader counts. */
    private static final long HEARD_MS = 2_500;

    private static final int MAX_RETRY_AFTER_S = 4;
    private final LongSupplier clock;
    private final double maxRate;
    private final double shareRate;
    /** So many at once are admitted after a quiet time: users do not come evenly, nor to every controller. */
    private final double burst;

    private final Bucket bucket;
    /** Submissions a second that are admitted now. */
    private double rate;

    private long heardUntil = Long.MIN_VALUE / 2;
    /** In the second that began at {@code countedSince}. */
    private int refused;

    private long countedSince;

    /**
     * Admits this controller's share, until the leader is heard.
     *
     * @param clock       milliseconds of the steady clock
     * @param maxRate     changes a second that the state service can take at all
     * @param share       of these, what all controllers together may always use for submissions
     * @param controllers in all
     */
    AdmissionControl(LongSupplier clock, double maxRate, double share, int controllers) {
        this.clock = clock;
        this.maxRate = maxRate;
        this.shareRate = maxRate * share / controllers;
        this.burst = maxRate * share;
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

    /** The leader has been heard from, and says whether it comes short of changes. */
    void leaderHeard(boolean leaderShort) {
        heardUntil = clock.getAsLong() + HEARD_MS;
        setRate(leaderShort ? shareRate : maxRate);
    }

    private void setRate(double perSecond) {
        if (Math.abs(perSecond - rate) > 0.1) {
            rate = perSecond;
            bucket.replaceConfiguration(
                    BucketConfiguration.builder().addLimit(limit(perSecond)).build(), TokensInheritanceStrategy.AS_IS);
        }
    }

    /** True if a submission may be written now. */
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

    /** Seconds after which those that were refused lately may come back, spread out by how many they are. */
    int retryAfterS() {
        return (int) Math.max(1, Math.min(MAX_RETRY_AFTER_S, Math.round(refused / Math.max(0.1, rate))));
    }
}
