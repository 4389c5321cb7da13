package org.landingridge.controller.fleet;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import org.landingridge.wire.MachineType;

/** Measured boot times by machine type, from the rent's answer to the first report. */
final class BootTimes {
    private static final int ENOUGH = 8;
    private static final long LONGEST_MS = 3_600_000;
    private final Map<String, IntCountsHistogram> seen = new HashMap<>();

    void booted(MachineType type, long ms) {
        seen.computeIfAbsent(type.name(), t -> new IntCountsHistogram(LONGEST_MS, 2))
                .recordValue(Math.max(0, Math.min(LONGEST_MS, ms)));
    }

    /** A boot that takes longer than this, in milliseconds, is unusual: by what was seen, else by the cloud's word. */
    long usualMostMs(MachineType type) {
        long said = Math.round(type.bootS() * 1_500);
        IntCountsHistogram h = seen.get(type.name());
        return h == null || h.getTotalCount() < ENOUGH ? said : Math.max(said, h.getValueAtPercentile(90));
    }
}
