package org.landingridge.controller.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.InputFormat;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

/**
 * The operators' own settings, JSON checked against {@code operators.schema.json}; every field has a default. Times are in
 * seconds.
 *
 * @param leaderHoldS  duration of the leader lease at the state service
 * @param bootMarginS  how long a machine may take beyond the usual longest boot before it is returned
 * @param idleS        how long a machine stays idle before it is returned
 * @param tightIdleS   the same while work could not wait for a boot and still be in time
 * @param spareShare   standing room for services, as a share of what they use
 * @param queryLimitS  how long an operation may stay unknown before it is escalated
 * @param historyShare share of the change rate that moving ended jobs into the history may take; 0: none are moved
 * @param settleShare  share of a zone's machines that may be returned at a time because their heartbeats ended; 0: none
 */
public record Policy(
        double leaderHoldS,
        double bootMarginS,
        double idleS,
        double tightIdleS,
        double spareShare,
        double queryLimitS,
        double historyShare,
        double settleShare) {

    /** What applies without a file, and for each field that a file leaves out. */
    public static final Policy DEFAULT = new Policy(3.0, 20.0, 45.0, 600.0, 0.15, 60.0, 0.15, 0.25);

    private static final String SCHEMA = "operators.schema.json";

    /**
     * Reads the file.
     *
     * @throws InvalidSettingsException if it cannot be read or does not keep to the schema
     */
    public static Policy read(Path file) throws InvalidSettingsException {
        String text;
        JsonNode root;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
            root = new ObjectMapper().readTree(text);
        } catch (IOException e) {
            throw InvalidSettingsException.unreadable(file, "JSON", e);
        }
        check(file, text);
        return new Policy(
                root.path("leaderHoldS").asDouble(DEFAULT.leaderHoldS),
                root.path("bootMarginS").asDouble(DEFAULT.bootMarginS),
                root.path("idleS").asDouble(DEFAULT.idleS),
                root.path("tightIdleS").asDouble(DEFAULT.tightIdleS),
                root.path("spareShare").asDouble(DEFAULT.spareShare),
                root.path("queryLimitS").asDouble(DEFAULT.queryLimitS),
                root.path("historyShare").asDouble(DEFAULT.historyShare),
                root.path("settleShare").asDouble(DEFAULT.settleShare));
    }

    private static void check(Path file, String text) throws InvalidSettingsException {
        String faults = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(schema())
                .validate(text, InputFormat.JSON)
                .stream()
                .map(Object::toString)
                .collect(Collectors.joining("; "));
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(file + ": " + faults);
        }
    }

    private static String schema() {
        try (InputStream in = Policy.class.getResourceAsStream(SCHEMA)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("the schema is part of the program", e);
        }
    }
}
