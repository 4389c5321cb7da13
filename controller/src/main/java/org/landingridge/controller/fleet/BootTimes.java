package org.landingridge.controller.fleet;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import org.landingridge.wire.MachineType;

/**
 * Measured boot times by machine type, zone and spot or on-demand, from the answer to the rent request to the first heartbeat.
 * Samples are dropped after one to two windows, so that a period of slow boots has no lasting effect.
 */
final class BootTimes {
    /** Number of samples from which measurements are used. */
    private static final int ENOUGH = 8;
    /** Longer boot times are recorded as this one. */
    private static final long LONGEST_MS = 3_600_000;
    /** Each sample is kept for one to two windows. */
    private static final long WINDOW_MS = 240_000;

    /** Machines with comparable boot times. The number of pools is small, so the samples need no limit. */
    private record Pool(String type, String zone, boolean spot) {}

    private static final class Samples {
        private IntCountsHistogram latest = new IntCountsHistogram(LONGEST_MS, 2);
        private IntCountsHistogram before = new IntCountsHistogram(LONGEST_MS, 2);
        private long since;
        /** Latest time of rent among the machines that have booted. */
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

    /** Returns the longest usual boot time, in milliseconds, from the samples or else from the machine type's boot time. */
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
     * Returns true if this machine alone has probably failed to boot: it takes longer than usual, and a comparable machine
     * rented at the same time or later is up. If there is none, all are late, and another rented machine would be too.
     */
    boolean lateAlone(Machine machine, long now) {
        return late(machine, now) && youngerIsUp(machine);
    }

    /** Returns true if the machine is late and so are all comparable ones. */
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
