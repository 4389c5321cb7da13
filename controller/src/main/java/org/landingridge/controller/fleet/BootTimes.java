package org.landingridge.controller.fleet;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import org.landingridge.wire.MachineType;

/**
 * Measured boot times by type, zone and kind, from the rent's answer to the first heartbeat. Samples are forgotten after a
 * while, so that trouble with boots ends here too when it ends.
 */
final class BootTimes {
    private static final int ENOUGH = 8;
    private static final long LONGEST_MS = 3_600_000;
    /** Boots count for one to two of these. */
    private static final long WINDOW_MS = 240_000;

    /** What the cloud rents alike; few, so nothing here grows. */
    private record Pool(String type, String zone, boolean spot) {}

    private static final class Samples {
        private IntCountsHistogram latest = new IntCountsHistogram(LONGEST_MS, 2);
        private IntCountsHistogram before = new IntCountsHistogram(LONGEST_MS, 2);
        private long since;
        /** When the machine that was rented last, of those that have booted, was rented. */
        private long youngest = Long.MIN_VALUE / 2;

        void turn(long now) {
            if (now - since > WINDOW_MS) {
                IntCountsHistogram old = before;
                before = latest;
                latest = old;
                latest.reset();
                if (now - since > 2 * WINDOW_MS) {
                    before.reset();
                }
                since = now;
            }
        }
    }

    private final Map<Pool, Samples> seen = new HashMap<>();

    private static Pool pool(Machine machine) {
        return new Pool(machine.type(), machine.zone(), machine.spot());
    }

    void booted(Machine machine, long now) {
        Samples samples = seen.computeIfAbsent(pool(machine), p -> new Samples());
        samples.turn(now);
        samples.latest.recordValue(Math.max(0, Math.min(LONGEST_MS, now - machine.appearedAt())));
        samples.youngest = Math.max(samples.youngest, machine.appearedAt());
    }

    /** A boot that takes longer than this, in milliseconds, is unusual: by the samples, else by the machine type's own figure. */
    long usualMostMs(Machine machine, long now) {
        MachineType type = machine.kind();
        long announced = Math.round(type.bootS() * 1_500);
        Samples samples = seen.get(pool(machine));
        if (samples == null) {
            return announced;
        }
        samples.turn(now);
        if (samples.latest.getTotalCount() + samples.before.getTotalCount() < ENOUGH) {
            return announced;
        }
        IntCountsHistogram both = samples.latest.copy();
        both.add(samples.before);
        return Math.max(announced, both.getValueAtPercentile(90));
    }

    /**
     * True if the machine has likely failed to boot by itself: it takes longer than is usual, and one like it that was rented
     * no sooner is up. Where none is, all are late together, and another rent would wait as long.
     */
    boolean lateAlone(Machine machine, long now) {
        return late(machine, now) && youngerIsUp(machine);
    }

    /** True if all machines like this one are late together. */
    boolean allLate(Machine machine, long now) {
        return late(machine, now) && !youngerIsUp(machine);
    }

    private boolean late(Machine machine, long now) {
        return now - machine.appearedAt() > usualMostMs(machine, now);
    }

    private boolean youngerIsUp(Machine machine) {
        Samples samples = seen.get(pool(machine));
        return samples != null && samples.youngest >= machine.appearedAt();
    }
}
