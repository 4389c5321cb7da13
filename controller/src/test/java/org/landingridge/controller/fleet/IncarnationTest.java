package org.landingridge.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.wire.Heartbeat;

/** Checks which heartbeats count as newer than the known ones, and which come from an earlier incarnation of the worker. */
class IncarnationTest {
    private final Incarnation incarnation = new Incarnation();

    private static Heartbeat heartbeat(long session, long seq, long token) {
        return new Heartbeat("m-1", "h:9", "g8", "a", false, session, seq, token, null, List.of());
    }

    private void accept(Heartbeat heartbeat) {
        incarnation.beginSession(heartbeat.session());
        incarnation.accept(heartbeat);
    }

    @Test
    @DisplayName("a heartbeat is newer by its session, and within a session by its sequence number")
    void heartbeatIsNewerBySessionThenBySequenceNumber() {
        assertTrue(incarnation.isOlderThan(heartbeat(0, 0, 0)), "no heartbeat is known yet");
        accept(heartbeat(2, 10, 5));
        assertTrue(incarnation.isOlderThan(heartbeat(2, 11, 5)));
        assertTrue(incarnation.isOlderThan(heartbeat(3, 1, 5)));
        assertFalse(incarnation.isOlderThan(heartbeat(2, 10, 5)));
        assertFalse(incarnation.isOlderThan(heartbeat(1, 99, 5)));
    }

    @Test
    @DisplayName("once the lease has expired, no further heartbeat of the session counts")
    void heartbeatsOfEndedSessionAreIgnored() {
        accept(heartbeat(2, 10, 5));
        incarnation.endSession();
        assertFalse(incarnation.isOlderThan(heartbeat(2, 99, 5)));
        assertTrue(incarnation.isOlderThan(heartbeat(3, 0, 5)));
    }

    @Test
    @DisplayName("after a restart, only a higher token distinguishes the worker from its earlier incarnation")
    void afterRestartOnlyHigherTokenIdentifiesNewIncarnation() {
        accept(heartbeat(2, 10, 5));
        incarnation.markRestarted(5);
        assertTrue(incarnation.isLaterThan(heartbeat(9, 99, 5)));
        assertFalse(incarnation.isDistinguishedBy(5));
        assertTrue(incarnation.isDistinguishedBy(6));
        assertFalse(incarnation.isLaterThan(heartbeat(1, 1, 6)));
        incarnation.completeRestart();
        assertFalse(incarnation.restarted());
        assertEquals(-1, incarnation.session());
        assertEquals(0, incarnation.token());
        assertTrue(incarnation.isOlderThan(heartbeat(1, 1, 6)));
        assertTrue(
                incarnation.isLaterThan(heartbeat(9, 99, 5)), "late heartbeats of the earlier incarnation never count");
    }

    @Test
    @DisplayName("a restart begins once and ends once")
    void restartBeginsAndEndsOnce() {
        assertThrows(IllegalStateException.class, incarnation::completeRestart);
        incarnation.markRestarted(1);
        assertThrows(IllegalStateException.class, () -> incarnation.markRestarted(2));
    }
}
