package org.landingridge.controller.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.landingridge.controller.recovery.Picture.State.COMPLETE;
import static org.landingridge.controller.recovery.Picture.State.GATHERING;

import org.junit.jupiter.api.Test;

class PictureTest {
    private final Picture picture = new Picture(10_000, 7_000);

    @Test
    void isCompleteOnceAListWasReadAndNobodyUnknownTurnedUpForASecond() {
        picture.newcomer(10_800);
        assertEquals(GATHERING, picture.state(11_900), "no list yet");
        picture.listed();
        assertEquals(COMPLETE, picture.state(11_900));
        picture.newcomer(12_000);
        assertEquals(COMPLETE, picture.state(12_001), "it stays so");
    }

    @Test
    void waitsWhileMachinesTurnUpButNotForEver() {
        picture.listed();
        for (long at = 10_000; at < 16_000; at += 900) {
            picture.newcomer(at);
            assertEquals(GATHERING, picture.state(at + 899));
        }
        assertEquals(COMPLETE, picture.state(17_000));
    }
}
