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
    private static final int MIN_SAMPLES = 8;
    /** Longer boot times are recorded as this one. */
    private static final long MAX_RECORDED_MS = 3_600_000;
    /** Each sample is kept for one to two windows. */
    private static final long WINDOW_MS = 240_000;

    /** Machines with comparable boot times. The number of pools is small, so the samples need no limit. */
    private record Pool(String type, String zone, boolean spot) {}

    private static final class Samples {
        private IntCountsHistogram current = new IntCountsHistogram(MAX_RECORDED_MS, 2);
        private IntCountsHistogram previous = new IntCountsHistogram(MAX_RECORDED_MS, 2);
        private long windowStart;
        /** Latest time of rent among the machines that have booted. */
        private long latestRentedAt = Long.MIN_VALUE / 2;

        void rotate(long now) {
            if (now - windowStart > WINDOW_MS) {
                IntCountsHistogram recycled = previous;
                previous = current;
                current = recycled;
                current.reset();
                if (now - windowStart > 2 * WINDOW_MS) {
                    previous.reset();
                }
                windowStart = now;
            }
        }
    }

    private final Map<Pool, Samples> samplesByPool = new HashMap<>();

    private static Pool poolOf(Machine machine) {
        return new Pool(machine.typeName(), machine.zone(), machine.spot());
    }

    void recordBoot(Machine machine, long now) {
        Samples samples = samplesByPool.computeIfAbsent(poolOf(machine), p -> new Samples());
        samples.rotate(now);
        samples.current.recordValue(Math.max(0, Math.min(MAX_RECORDED_MS, now - machine.addedAt())));
        samples.latestRentedAt = Math.max(samples.latestRentedAt, machine.addedAt());
    }

    /** Returns the longest usual boot time, in milliseconds, from the samples or else from the machine type's boot time. */
    long usualMaxMs(Machine machine, long now) {
        MachineType type = machine.machineType();
        long declaredMaxMs = Math.round(type.bootS() * 1_500);
        Samples samples = samplesByPool.get(poolOf(machine));
        if (samples == null) {
            return declaredMaxMs;
        }
        samples.rotate(now);
        if (samples.current.getTotalCount() + samples.previous.getTotalCount() < MIN_SAMPLES) {
            return declaredMaxMs;
        }
        IntCountsHistogram merged = samples.current.copy();
        merged.add(samples.previous);
        return Math.max(declaredMaxMs, merged.getValueAtPercentile(90));
    }

    /**
     * Returns true if this machine alone has probably failed to boot: it takes longer than usual, and a comparable machine
     * rented at the same time or later is up. If there is none, all are late, and another rented machine would be too.
     */
    boolean lateAlone(Machine machine, long now) {
        return isLate(machine, now) && newerMachineIsUp(machine);
    }

    /** Returns true if the machine is late and so are all comparable ones. */
    boolean allLate(Machine machine, long now) {
        return isLate(machine, now) && !newerMachineIsUp(machine);
    }

    private boolean isLate(Machine machine, long now) {
        return now - machine.addedAt() > usualMaxMs(machine, now);
    }

    private boolean newerMachineIsUp(Machine machine) {
        Samples samples = samplesByPool.get(poolOf(machine));
        return samples != null && samples.latestRentedAt >= machine.addedAt();
    }
}
