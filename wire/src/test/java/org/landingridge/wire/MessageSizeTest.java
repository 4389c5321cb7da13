package org.landingridge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages between leader and worker keep to the protocol's size limit, whatever they hold. */
class MessageSizeTest {
    /** The longest identifier that a job can have. */
    private static final String LONGEST_JOB = "job-xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";

    private static final int LAST_TASK = JobSpec.MAX_TASKS - 1;

    @ParameterizedTest
    @ValueSource(strings = {"job-1", "job-000412", LONGEST_JOB})
    @DisplayName("a message with commands never exceeds the limit, and takes as many as fit")
    void commandsFillOneMessageAtMost(String job) throws InvalidMessageException {
        Commands commands = new Commands();
        int added = 0;
        while (commands.stop(job, LAST_TASK, Long.MAX_VALUE - added, 3600.5)) {
            added++;
        }
        assertFalse(commands.start(job, LAST_TASK, Long.MAX_VALUE));
        assertFalse(commands.forget(job, LAST_TASK, Long.MAX_VALUE));
        byte[] call = commands.direct(Long.MAX_VALUE, Long.MAX_VALUE);
        assertTrue(call.length <= MessageLimits.MAX_MESSAGE_BYTES, call.length + " bytes");
        assertTrue(call.length > MessageLimits.MAX_MESSAGE_BYTES - 200, call.length + " bytes");
        assertTrue(commands.answer(Long.MAX_VALUE).length <= MessageLimits.MAX_MESSAGE_BYTES);
        assertEquals(added, CommandBatch.parse(Json.parse(call)).commands().size());
    }

    @Test
    @DisplayName(
            "a heartbeat with as many attempts as the leader permits fits, in each state and with the longest names")
    void heartbeatFitsWithAsManyAttemptsAsPermitted() {
        int entries = Heartbeat.MAX_ENTRIES_BYTES / Heartbeat.maxEntryBytes(LONGEST_JOB);
        for (Heartbeat.TaskStatus status : Heartbeat.TaskStatus.values()) {
            for (ExitCause cause : ExitCause.values()) {
                List<Heartbeat.Entry> tasks = new ArrayList<>();
                for (int i = 0; i < entries; i++) {
                    tasks.add(new Heartbeat.Entry(LONGEST_JOB, LAST_TASK, Long.MAX_VALUE, status, cause));
                }
                int bytes = withSpaces(new Heartbeat(
                                        "m".repeat(64),
                                        "h".repeat(250),
                                        "t".repeat(200),
                                        "z".repeat(200),
                                        false,
                                        Long.MAX_VALUE,
                                        Long.MAX_VALUE,
                                        Long.MAX_VALUE,
                                        1234.567891234567,
                                        tasks)
                                .bytes())
                        .length();
                assertTrue(
                        bytes <= MessageLimits.MAX_MESSAGE_BYTES, status + " " + cause + " takes " + bytes + " bytes");
            }
        }
    }

    /** The heartbeat as a worker may write it, with a space after each colon and comma, and {@code saved} with each cause. */
    private static String withSpaces(byte[] heartbeat) {
        return new String(heartbeat, StandardCharsets.UTF_8)
                .replace("\",\"try\"", "\", \"try\"")
                .replace("\":", "\": ")
                .replace(",\"", ", \"")
                .replace("},{", "}, {")
                .replace("\"}", "\", \"saved\": false}");
    }
}
