package org.landingridge.controller.users;

import io.github.bucket4j.Bandwidth;
import io.github.bucket4j.Bucket;
import io.github.bucket4j.BucketConfiguration;
import io.github.bucket4j.TimeMeter;
import io.github.bucket4j.TokensInheritanceStrategy;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * How many submissions this controller may write now. After an outage everything submitted meanwhile comes back at once:
 * sent on, it would take all changes that the state service has, and the leader could not write the roster without
 * which no machine takes a task. Who finds the door closed is told so at once, with the time to come back.
 */
final class Door {
    /** A submission, in the bucket's tokens: rates are fractions. */
    private static final long ONE = 1_000;
    private static final long LENT_MS = 2_500;
    private static final int LONGEST_S = 4;
    private final LongSupplier clock;
    private final double own;
    private final Bucket bucket;
    private double rate;
    private long lentUntil = Long.MIN_VALUE / 2;
    /** Turned away since the last that was let in by a full second's rate. */
    private int turnedAway;
    private long countedSince;

    /**
     * @param clock milliseconds of the steady clock
     * @param own   submissions a second that this controller may always write
     */
    Door(LongSupplier clock, double own) {
        this.clock = clock;
        this.own = own;
        this.rate = own;
        bucket = Bucket.builder().addLimit(limit(own)).withCustomTimePrecision(new TimeMeter() {
            @Override
            public long currentTimeNanos() {
                return clock.getAsLong() * 1_000_000;
            }

            @Override
            public boolean isWallClockBased() {
                return false;
            }
        }).build();
    }

    private static Bandwidth limit(double perS) {
        long tokens = Math.max(ONE / 10, Math.round(perS * ONE));
        return Bandwidth.builder().capacity(Math.max(ONE, tokens)).refillGreedy(tokens, Duration.ofSeconds(1)).build();
    }

    /** The leader leaves so many changes a second of its share to this controller, until it says otherwise. */
    void lent(double perS) {
        lentUntil = clock.getAsLong() + LENT_MS;
        to(own + Math.max(0, perS));
    }

    private void to(double perS) {
        if (Math.abs(perS - rate) > 0.1) {
            rate = perS;
            bucket.replaceConfiguration(BucketConfiguration.builder().addLimit(limit(perS)).build(),
                    TokensInheritanceStrategy.AS_IS);
        }
    }

    /** True if a submission may be written now. */
    boolean admit() {
        if (clock.getAsLong() > lentUntil) {
            to(own);
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
