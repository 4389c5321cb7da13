package org.landingridge.controller.fleet;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import org.landingridge.wire.MachineType;

/**
 * Measured boot times by type, zone and kind, from the rent's answer to the first report. What was seen is forgotten after a
 * while, so that trouble with boots ends here too when it ends.
 */
final class BootTimes {
    private static final int ENOUGH = 8;
    private static final long LONGEST_MS = 3_600_000;
    /** Boots count for one to two of these. */
    private static final long WINDOW_MS = 240_000;

    /** What the cloud rents alike; few, so nothing here grows. */
    private record Pool(String type, String zone, boolean spot) {}

    private static final class Seen {
        private IntCountsHistogram latest = new IntCountsHistogram(LONGEST_MS, 2);
        private IntCountsHistogram before = new IntCountsHistogram(LONGEST_MS, 2);
        private long since;
        /** When the youngest machine that has booted was rented. */
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

    private final Map<Pool, Seen> seen = new HashMap<>();

    private static Pool pool(Machine m) {
        return new Pool(m.type, m.zone, m.spot);
    }

    void booted(Machine m, long now) {
        Seen s = seen.computeIfAbsent(pool(m), p -> new Seen());
        s.turn(now);
        s.latest.recordValue(Math.max(0, Math.min(LONGEST_MS, now - m.appeared)));
        s.youngest = Math.max(s.youngest, m.appeared);
    }

    /** A boot that takes longer than this, in milliseconds, is unusual: by what was seen, else by the cloud's word. */
    long usualMostMs(Machine m, long now) {
        MachineType type = m.kind;
        long said = Math.round(type.bootS() * 1_500);
        Seen s = seen.get(pool(m));
        if (s == null) {
            return said;
        }
        s.turn(now);
        if (s.latest.getTotalCount() + s.before.getTotalCount() < ENOUGH) {
            return said;
        }
        IntCountsHistogram both = s.latest.copy();
        both.add(s.before);
        return Math.max(said, both.getValueAtPercentile(90));
    }

    /**
     * True if the machine has likely failed to boot by itself: it takes longer than is usual, and one like it that was rented
     * no sooner is up. Where none is, all are late together, and another rent would wait as long.
     */
    boolean left(Machine m, long now) {
        return late(m, now) && youngerIsUp(m);
    }

    /** True if all machines like this one are late together. */
    boolean allLate(Machine m, long now) {
        return late(m, now) && !youngerIsUp(m);
    }

    private boolean late(Machine m, long now) {
        return now - m.appeared > usualMostMs(m, now);
    }

    private boolean youngerIsUp(Machine m) {
        Seen s = seen.get(pool(m));
        return s != null && s.youngest >= m.appeared;
    }
}
