package org.landingridge.controller.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.landingridge.controller.cloud.NextAction.Observation.FAILED_TERMINAL;
import static org.landingridge.controller.cloud.NextAction.Observation.IN_PROGRESS;
import static org.landingridge.controller.cloud.NextAction.Observation.NOT_FOUND;
import static org.landingridge.controller.cloud.NextAction.Observation.SUCCEEDED;
import static org.landingridge.controller.cloud.NextAction.Observation.UNAVAILABLE;

import org.junit.jupiter.api.Test;

/** Checks the decision table row by row; an unsafe retry could carry out an operation twice. */
class NextActionTest {
    @Test
    void finalOutcomesAreRecorded() {
        for (boolean replaySafe : new boolean[] {false, true}) {
            for (boolean absenceFinal : new boolean[] {false, true}) {
                assertEquals(NextAction.RECORD_SUCCESS, NextAction.decide(SUCCEEDED, replaySafe, absenceFinal));
                assertEquals(NextAction.RECORD_FAILURE, NextAction.decide(FAILED_TERMINAL, replaySafe, absenceFinal));
                assertEquals(NextAction.WAIT_AND_QUERY, NextAction.decide(IN_PROGRESS, replaySafe, absenceFinal));
            }
        }
    }

    @Test
    void notFoundIsRetriedOnlyIfReplayIsSafeOrAbsenceIsFinal() {
        assertEquals(NextAction.RECONCILE_OR_ESCALATE, NextAction.decide(NOT_FOUND, false, false));
        assertEquals(NextAction.RETRY_ORIGINAL_INTENT, NextAction.decide(NOT_FOUND, true, false));
        assertEquals(NextAction.RETRY_ORIGINAL_INTENT, NextAction.decide(NOT_FOUND, false, true));
    }

    @Test
    void unansweredCallIsRetriedOnlyIfReplayIsSafe() {
        assertEquals(NextAction.RETRY_ORIGINAL_INTENT, NextAction.decide(UNAVAILABLE, true, false));
        assertEquals(NextAction.WAIT_AND_QUERY, NextAction.decide(UNAVAILABLE, false, false));
        assertEquals(NextAction.WAIT_AND_QUERY, NextAction.decide(UNAVAILABLE, false, true));
    }
}
