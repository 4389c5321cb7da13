package org.landingridge.controller.leader;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.net.EventLoop;

/**
 * Backoff for pools of the cloud that could not provide all requested machines: until when no rent is requested from them. Pools
 * are named by {@link org.landingridge.controller.scheduling.Scheduler#poolKey}.
 */
final class PoolCapacity {
    private static final long INITIAL_PAUSE_MS = 3_000;
    private static final long MAX_PAUSE_MS = 20_000;
    private static final int MAX_DOUBLINGS = 3;

    private final EventLoop loop;
    /** Consecutive refusals, by pool. */
    private final Map<String, Integer> refusalsByPool = new HashMap<>();

    private final Map<String, Long> pausedUntilByPool = new HashMap<>();

    PoolCapacity(EventLoop loop) {
        this.loop = loop;
    }

    /** Records that the cloud provided fewer machines of this pool than requested, and pauses the pool. */
    void recordRefusal(String pool) {
        int consecutiveRefusals = refusalsByPool.merge(pool, 1, Integer::sum);
        long pauseMs = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS << Math.min(MAX_DOUBLINGS, consecutiveRefusals - 1));
        pausedUntilByPool.put(pool, loop.now() + pauseMs);
    }

    /** Records that the cloud provided all requested machines of this pool; the next refusal starts with the shortest pause. */
    void recordGrant(String pool) {
        refusalsByPool.remove(pool);
    }

    /** Returns until when each pool is paused, by the event loop's clock, as a new map that the caller may change. */
    Map<String, Long> pausedUntilByPool() {
        return new HashMap<>(pausedUntilByPool);
    }
}
