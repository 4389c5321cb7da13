package org.landingridge.controller.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.landingridge.controller.recovery.ObservationWindow.State.COMPLETE;
import static org.landingridge.controller.recovery.ObservationWindow.State.GATHERING;

import org.junit.jupiter.api.Test;

/** Checks when a new leader's view of the machines counts as complete. */
class ObservationWindowTest {
    private final ObservationWindow observationWindow = new ObservationWindow(10_000, 7_000);

    @Test
    void isCompleteOnceListIsReadAndNoUnknownMachineReportedForOneSecond() {
        observationWindow.recordUnknownMachine(10_800);
        assertEquals(GATHERING, observationWindow.state(11_900), "no list has been read yet");
        observationWindow.recordMachineList();
        assertEquals(COMPLETE, observationWindow.state(11_900));
        observationWindow.recordUnknownMachine(12_000);
        assertEquals(COMPLETE, observationWindow.state(12_001), "the state is final");
    }

    @Test
    void staysGatheringWhileUnknownMachinesReportUntilMaxDuration() {
        observationWindow.recordMachineList();
        for (long at = 10_000; at < 16_000; at += 900) {
            observationWindow.recordUnknownMachine(at);
            assertEquals(GATHERING, observationWindow.state(at + 899));
        }
        assertEquals(COMPLETE, observationWindow.state(17_000));
    }
}
