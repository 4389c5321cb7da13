package org.landingridge.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against submissions that use up the write rate while there is no leader or its writes are starved. Setting: seven
 * controllers, 15 writes a second, half of them for submissions.
 */
class AdmissionControlTest {
    private long now = 1_000;
    private final AdmissionControl admission = new AdmissionControl(() -> now, 15, 0.5, 7);

    /** Returns how many submissions of a flood are admitted; the leader sends a heartbeat each second, or none if null. */
    private int submitFlood(int seconds, Boolean writesStarved) {
        int admitted = 0;
        for (int ms = 0; ms < seconds * 1_000; ms += 10) {
            if (ms % 1_000 == 0 && writesStarved != null) {
                admission.handleLeaderHeartbeat(writesStarved);
            }
            admitted += admission.admit() ? 1 : 0;
            now += 10;
        }
        return admitted;
    }

    @Test
    @DisplayName(
            "no leader, or one with starved writes: a controller's share, after a first burst; otherwise the whole rate")
    void rateIsControllerShareWithoutLeaderOrWithStarvedLeader() {
        int withoutLeader = submitFlood(10, null);
        assertTrue(withoutLeader >= 17 && withoutLeader <= 18, "7.5 at once and 1.07 a second: " + withoutLeader);
        int withStarvedLeader = submitFlood(20, true);
        assertTrue(withStarvedLeader >= 21 && withStarvedLeader <= 22, "1.07 a second: " + withStarvedLeader);
        int withHealthyLeader = submitFlood(10, false);
        assertTrue(withHealthyLeader >= 148 && withHealthyLeader <= 151, "15 a second: " + withHealthyLeader);
    }

    @Test
    @DisplayName("a leader without heartbeats is treated like one whose writes are starved")
    void rateFallsToControllerShareWhenLeaderHeartbeatsStop() {
        submitFlood(10, false);
        submitFlood(3, null);
        int withoutHeartbeats = submitFlood(10, null);
        assertTrue(withoutHeartbeats >= 10 && withoutHeartbeats <= 11, "1.07 a second: " + withoutHeartbeats);
    }

    @Test
    @DisplayName("the retry delay grows with the number of refusals, up to 4 s")
    void retryDelayGrowsWithRefusalsUpToFourSeconds() {
        assertEquals(1, admission.retryAfterS());
        submitFlood(1, true);
        assertEquals(4, admission.retryAfterS());
    }
}
