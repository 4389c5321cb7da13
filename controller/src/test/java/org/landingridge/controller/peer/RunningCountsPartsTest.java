package org.landingridge.controller.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a message with the counts of many jobs that is larger than a record may be: the receiver closes the connection,
 * and every forwarded heartbeat and promise that is queued behind the message is lost with it, every second.
 */
class RunningCountsPartsTest {
    private static Map<String, Integer> counts(int jobs) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (int i = 0; i < jobs; i++) {
            counts.put(String.format("job-%060d", i), i);
        }
        return counts;
    }

    private static PeerMessage.RunningCounts decode(byte[] record) throws IOException {
        return (PeerMessage.RunningCounts) PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(record)));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3_000, 3_001, 20_000})
    @DisplayName("the counts of any number of jobs arrive whole, in records within the limit")
    void countsOfAnyNumberOfJobsArriveWhole(int jobs) throws IOException {
        Map<String, Integer> sent = counts(jobs);
        RunningCountsParts parts = new RunningCountsParts();
        Optional<Map<String, Integer>> received = Optional.empty();
        for (PeerMessage.RunningCounts message : RunningCountsParts.split("rig-0", sent, true)) {
            assertTrue(received.isEmpty(), "nothing is displayed before the last part");
            byte[] record = message.encode();
            assertTrue(record.length <= PeerMessage.MAX_BYTES, record.length + " bytes");
            assertTrue(decode(record).writesStarved());
            received = parts.add(decode(record));
        }
        assertEquals(Optional.of(sent), received);
    }

    @Test
    @DisplayName("counts of which a part is lost are not displayed, and the next ones are whole again")
    void countsWithALostPartAreSkipped() {
        List<PeerMessage.RunningCounts> messages = RunningCountsParts.split("rig-0", counts(7_000), false);
        RunningCountsParts parts = new RunningCountsParts();
        assertEquals(Optional.empty(), parts.add(messages.get(0)));
        assertEquals(Optional.empty(), parts.add(messages.get(2)));
        messages.subList(0, 2).forEach(parts::add);
        assertEquals(Optional.of(new HashMap<>(counts(7_000))), parts.add(messages.get(2)));
    }
}
