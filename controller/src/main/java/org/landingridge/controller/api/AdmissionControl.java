package org.landingridge.controller.api;

import io.github.bucket4j.Bandwidth;
import io.github.bucket4j.Bucket;
import io.github.bucket4j.BucketConfiguration;
import io.github.bucket4j.TimeMeter;
import io.github.bucket4j.TokensInheritanceStrategy;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * How many submissions this controller may write now. After an outage everything submitted meanwhile comes back at once:
 * sent on, it takes all changes that the state service has, nobody can claim the lead, and a leader cannot write the roster
 * without which no machine takes a task. So each controller keeps to its share while no leader is heard, or the leader says,
 * with its sign of life, that it comes short. Who is turned away is told so at once, with the time to come back.
 */
final class AdmissionControl {
    /** A submission, in the bucket's tokens: rates are fractions. */
    private static final long ONE = 1_000;

    private static final long SAID_MS = 2_500;
    private static final int LONGEST_S = 4;
    private final LongSupplier clock;
    private final double most;
    private final double share;
    /** So many at once are let in after a quiet time: users do not come evenly, nor to every controller. */
    private final double burst;

    private final Bucket bucket;
    private double rate;
    private long saidUntil = Long.MIN_VALUE / 2;
    /** Turned away in the second that began then. */
    private int turnedAway;

    private long countedSince;

    /**
     * @param clock milliseconds of the steady clock
     * @param most  changes a second that the state service can take at all
     * @param share of these, what all controllers together may always use for submissions
     * @param nodes controllers in all
     */
    AdmissionControl(LongSupplier clock, double most, double share, int nodes) {
        this.clock = clock;
        this.most = most;
        this.share = most * share / nodes;
        this.burst = most * share;
        this.rate = this.share;
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

    private Bandwidth limit(double perS) {
        long tokens = Math.max(ONE / 10, Math.round(perS * ONE));
        return Bandwidth.builder()
                .capacity(Math.max(ONE, Math.round(burst * ONE)))
                .refillGreedy(tokens, Duration.ofSeconds(1))
                .build();
    }

    /** The leader's sign of life: whether it comes short of changes. It counts until the next, or for a while. */
    void heard(boolean leaderShort) {
        saidUntil = clock.getAsLong() + SAID_MS;
        to(leaderShort ? share : most);
    }

    private void to(double perS) {
        if (Math.abs(perS - rate) > 0.1) {
            rate = perS;
            bucket.replaceConfiguration(
                    BucketConfiguration.builder().addLimit(limit(perS)).build(), TokensInheritanceStrategy.AS_IS);
        }
    }

    /** True if a submission may be written now. */
    boolean admit() {
        if (clock.getAsLong() > saidUntil) {
            to(share);
        }
        boolean in = bucket.tryConsume(ONE);
        if (clock.getAsLong() - countedSince >= 1_000) {
            countedSince = clock.getAsLong();
            turnedAway = 0;
        }
        turnedAway += in ? 0 : 1;
        return in;
    }

    /** Seconds after which those that were turned away lately may come back: all at once they would be again. */
    int comeBackS() {
        return (int) Math.max(1, Math.min(LONGEST_S, Math.round(turnedAway / Math.max(0.1, rate))));
    }
}
