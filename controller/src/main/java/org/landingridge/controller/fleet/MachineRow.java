package org.landingridge.controller.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.function.Predicate;

/**
 * One machine of a stored page, as a list of values; the only place that knows their positions.
 *
 * @param address      where it takes direct calls; null if nothing can be on it
 * @param type         name of its type
 * @param zone         name of its zone
 * @param spot         true for a spot instance
 * @param images       one digit for each of its images, by the page's list of names
 * @param silentMs     for how many milliseconds it had been silent when the row was written, {@link #NOT_SILENT} if the row
 *                     says nothing of that
 * @param silenceToken token of the leader that wrote so, and answers it no more before it has written the row without
 */
record MachineRow(
        String address, String type, String zone, boolean spot, String images, long silentMs, long silenceToken) {
    /** No silence is stored. */
    static final long NOT_SILENT = Long.MIN_VALUE;

    private static final int ADDRESS = 0;
    private static final int TYPE = 1;
    private static final int ZONE = 2;
    private static final int SPOT = 3;
    private static final int IMAGES = 4;
    private static final int SILENT_MS = 5;
    private static final int SILENCE_TOKEN = 6;
    /** Rows of earlier versions end before the images. */
    private static final int LEAST_VALUES = 4;

    /** True if the value can be read as a row. */
    static boolean readable(JsonNode row, Predicate<String> knownType) {
        return row.isArray()
                && row.size() >= LEAST_VALUES
                && (row.get(ADDRESS).isNull() || row.get(ADDRESS).isTextual())
                && knownType.test(row.get(TYPE).asText())
                && row.get(ZONE).isTextual()
                && row.get(SPOT).isNumber();
    }

    /** Reads a row that is {@link #readable}. */
    static MachineRow read(JsonNode row) {
        JsonNode address = row.path(ADDRESS);
        JsonNode silence = row.path(SILENT_MS);
        return new MachineRow(
                address.isTextual() ? address.textValue() : null,
                row.path(TYPE).asText(),
                row.path(ZONE).asText(),
                row.path(SPOT).asInt() == 1,
                row.path(IMAGES).asText(),
                silence.isNumber() ? silence.asLong() : NOT_SILENT,
                row.path(SILENCE_TOKEN).asLong());
    }

    /** Appends the values to an empty list. */
    void write(ArrayNode row) {
        row.add(address).add(type).add(zone).add(spot ? 1 : 0).add(images);
        if (silentMs != NOT_SILENT) {
            row.add(silentMs).add(silenceToken);
        }
    }

    /**
     * Since when no leader can have answered the machine, {@link Long#MAX_VALUE} if the row does not say.
     *
     * @param at       when, by the loop's clock, the row was first seen so
     * @param previous token of the last leader: only its row counts, since a later one may have answered the machine
     */
    long silentSince(long at, long previous) {
        return silentMs != NOT_SILENT && silenceToken == previous ? at - silentMs : Long.MAX_VALUE;
    }
}
