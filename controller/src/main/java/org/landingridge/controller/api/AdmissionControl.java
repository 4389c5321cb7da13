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
    private static final long TOKENS_PER_SUBMISSION = 1_000;
    /** Time for which a heartbeat of the leader is valid, in milliseconds. */
    private static final long LEADER_HEARTBEAT_VALID_MS = 2_500;

    private static final int MAX_RETRY_AFTER_S = 4;
    private final LongSupplier clock;
    private final double maxWriteRate;
    private final double controllerShareRate;
    /** Burst of submissions admitted after an idle time, since requests are spread unevenly over time and over controllers. */
    private final double burstSubmissions;

    private final Bucket bucket;
    /** Submissions a second that are currently admitted. */
    private double currentRate;

    private long leaderHeartbeatValidUntil = Long.MIN_VALUE / 2;
    /** Submissions refused in the current counting second. */
    private int refusedInWindow;

    private long windowStart;

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
        this.maxWriteRate = maxWriteRate;
        this.controllerShareRate = maxWriteRate * share / controllerCount;
        this.burstSubmissions = maxWriteRate * share;
        this.currentRate = controllerShareRate;
        bucket = Bucket.builder()
                .addLimit(bandwidth(currentRate))
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

    private Bandwidth bandwidth(double perSecond) {
        long tokens = Math.max(TOKENS_PER_SUBMISSION / 10, Math.round(perSecond * TOKENS_PER_SUBMISSION));
        return Bandwidth.builder()
                .capacity(Math.max(TOKENS_PER_SUBMISSION, Math.round(burstSubmissions * TOKENS_PER_SUBMISSION)))
                .refillGreedy(tokens, Duration.ofSeconds(1))
                .build();
    }

    /** Handles a heartbeat of the leader, which says whether its own writes are starved. */
    void handleLeaderHeartbeat(boolean writesStarved) {
        leaderHeartbeatValidUntil = clock.getAsLong() + LEADER_HEARTBEAT_VALID_MS;
        setRate(writesStarved ? controllerShareRate : maxWriteRate);
    }

    private void setRate(double perSecond) {
        if (Math.abs(perSecond - currentRate) > 0.1) {
            currentRate = perSecond;
            bucket.replaceConfiguration(
                    BucketConfiguration.builder().addLimit(bandwidth(perSecond)).build(),
                    TokensInheritanceStrategy.AS_IS);
        }
    }

    /** Counts a submission and returns true if it may be written now. */
    boolean admit() {
        if (clock.getAsLong() > leaderHeartbeatValidUntil) {
            setRate(controllerShareRate);
        }
        boolean admitted = bucket.tryConsume(TOKENS_PER_SUBMISSION);
        if (clock.getAsLong() - windowStart >= 1_000) {
            windowStart = clock.getAsLong();
            refusedInWindow = 0;
        }
        refusedInWindow += admitted ? 0 : 1;
        return admitted;
    }

    /** Returns the retry delay for a refused submission, in seconds; it grows with the number of recent refusals. */
    int retryAfterS() {
        return (int) Math.max(1, Math.min(MAX_RETRY_AFTER_S, Math.round(refusedInWindow / Math.max(0.1, currentRate))));
    }
}
