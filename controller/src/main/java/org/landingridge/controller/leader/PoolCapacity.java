package org.landingridge.controller.leader;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.net.EventLoop;

/** Pools of the cloud, by {@code Scheduler.pool}, that had less than was asked for, and until when nothing is asked of them. */
final class PoolCapacity {
    private static final long FIRST_PAUSE_MS = 3_000;
    private static final long MOST_PAUSE_MS = 20_000;
    private static final int MOST_DOUBLINGS = 3;

    private final EventLoop loop;
    /** Refusals in a row, by pool. */
    private final Map<String, Integer> refusals = new HashMap<>();

    private final Map<String, Long> pausedUntil = new HashMap<>();

    PoolCapacity(EventLoop loop) {
        this.loop = loop;
    }

    /** The cloud had less than was asked for in this pool. */
    void refused(String pool) {
        int times = refusals.merge(pool, 1, Integer::sum);
        long pauseMs = Math.min(MOST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(MOST_DOUBLINGS, times - 1));
        pausedUntil.put(pool, loop.now() + pauseMs);
    }

    /** The cloud gave all that was asked for in this pool. */
    void granted(String pool) {
        refusals.remove(pool);
    }

    /** Until when each pool is paused, by the loop's clock; the caller owns the map. */
    Map<String, Long> pausedUntil() {
        return new HashMap<>(pausedUntil);
    }
}
