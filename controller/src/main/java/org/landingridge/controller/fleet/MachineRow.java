package org.landingridge.controller.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.function.Predicate;

/**
 * The stored row of one machine: a JSON array whose positions are defined here only.
 *
 * @param address      address for direct calls; null if the machine cannot hold tasks
 * @param type         name of the machine type
 * @param zone         name of the zone
 * @param spot         true for a spot instance
 * @param images       the machine's images: one digit each, an index in base 36 into the page's list of image names
 * @param silentMs     duration of the machine's silence when the row was written, in milliseconds; {@link #NOT_SILENT} if
 *                     the row stores no silence
 * @param silenceToken token of the leader that stored the silence; that leader answers no heartbeat of the machine until it
 *                     has stored the row without a silence
 */
record MachineRow(
        String address, String type, String zone, boolean spot, String images, long silentMs, long silenceToken) {
    /** Value of {@code silentMs} in a row that stores no silence. */
    static final long NOT_SILENT = Long.MIN_VALUE;

    private static final int ADDRESS = 0;
    private static final int TYPE = 1;
    private static final int ZONE = 2;
    private static final int SPOT = 3;
    private static final int IMAGES = 4;
    private static final int SILENT_MS = 5;
    private static final int SILENCE_TOKEN = 6;
    /** Rows written by earlier versions have no images. */
    private static final int MIN_VALUES = 4;

    /** Returns true if the value can be read as a row. */
    static boolean isReadable(JsonNode row, Predicate<String> knownType) {
        return row.isArray()
                && row.size() >= MIN_VALUES
                && (row.get(ADDRESS).isNull() || row.get(ADDRESS).isTextual())
                && knownType.test(row.get(TYPE).asText())
                && row.get(ZONE).isTextual()
                && row.get(SPOT).isNumber();
    }

    /** Reads a row for which {@link #isReadable} is true. */
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

    /** Appends the values to an empty array. */
    void write(ArrayNode row) {
        row.add(address).add(type).add(zone).add(spot ? 1 : 0).add(images);
        if (silentMs != NOT_SILENT) {
            row.add(silentMs).add(silenceToken);
        }
    }

    /**
     * Returns the time since which no leader can have answered the machine, or {@link Long#MAX_VALUE} if it is unknown.
     *
     * @param seenAt        time on the loop's clock at which this process first read the row in this form
     * @param previousToken token of the previous leader; a silence stored under another token is ignored, since a later leader
     *                      may have answered the machine
     */
    long silentSince(long seenAt, long previousToken) {
        return silentMs != NOT_SILENT && silenceToken == previousToken ? seenAt - silentMs : Long.MAX_VALUE;
    }
}
