package org.landingridge.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.wire.Json;

/** Checks that stored rows of machines are read as they were written, and that malformed rows are rejected. */
class MachineRowTest {
    private static JsonNode json(String text) {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static boolean isReadable(String text) {
        return MachineRow.isReadable(json(text), "g8"::equals);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[\"h:9\",\"g8\",\"a\",1,\"03\"]",
                "[null,\"g8\",\"a\",0,\"\"]",
                "[\"h:9\",\"g8\",\"a\",0,\"0\",1200,41]"
            })
    @DisplayName("a row is written as it was read, byte for byte")
    void rowIsWrittenAsItWasRead(String text) {
        ArrayNode row = Json.array();
        MachineRow.read(json(text)).write(row);
        assertEquals(text, Json.text(row));
    }

    @Test
    @DisplayName("a row of an earlier version has no images and stores no silence")
    void rowOfEarlierVersionHasNoImagesAndNoSilence() {
        assertEquals(
                new MachineRow("h:9", "g8", "a", true, "", MachineRow.NOT_SILENT, 0),
                MachineRow.read(json("[\"h:9\",\"g8\",\"a\",1]")));
    }

    @Test
    @DisplayName("a silence counts only under the token of the previous leader")
    void silenceCountsOnlyUnderPreviousLeadersToken() {
        MachineRow row = MachineRow.read(json("[\"h:9\",\"g8\",\"a\",0,\"\",1200,41]"));
        assertEquals(8_800, row.silentSince(10_000, 41));
        assertEquals(Long.MAX_VALUE, row.silentSince(10_000, 42));
        MachineRow rowWithoutSilence = MachineRow.read(json("[\"h:9\",\"g8\",\"a\",0,\"\"]"));
        assertEquals(Long.MAX_VALUE, rowWithoutSilence.silentSince(10_000, 0));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[\"h:9\",\"g8\",\"a\"]",
                "[9,\"g8\",\"a\",0]",
                "[\"h:9\",\"unheard\",\"a\",0]",
                "[\"h:9\",\"g8\",null,0]",
                "[\"h:9\",\"g8\",\"a\",\"0\"]"
            })
    @DisplayName("a malformed row is not readable")
    void malformedRowIsNotReadable(String text) {
        assertFalse(isReadable(text));
    }

    @Test
    @DisplayName("a well-formed row is readable")
    void wellFormedRowIsReadable() {
        assertTrue(isReadable("[null,\"g8\",\"a\",0,\"\"]"));
    }
}
