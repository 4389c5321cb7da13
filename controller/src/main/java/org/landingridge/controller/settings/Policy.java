package org.landingridge.controller.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

/**
 * The operators' own settings, JSON checked against {@code operators.schema.json}; every field has a default.
 *
 * @param leaderHoldS     life of the leader's hold on the state service
 * @param bootMarginS     how long a machine may take beyond the usual longest boot before it is given back
 * @param idleS           how long a machine stands idle before it is given back
 * @param tightIdleS      the same while work could not wait for a boot and still be in time
 * @param spareShare      standing room for services, as a share of what they use
 * @param historyShare    share of the change rate that moving ended jobs into the history may take; 0: none are moved
 * @param queryLimitS     how long an operation may stay unknown before it is escalated
 * @param settleShare     share of a zone's machines that may be given back at a time because they fell silent; 0: none
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

    public static final Policy DEFAULT = new Policy(3.0, 20.0, 45.0, 600.0, 0.15, 60.0, 0.15, 0.25);

    public static Policy read(Path file) throws InvalidSettingsException {
        String text;
        JsonNode root;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
            root = new ObjectMapper().readTree(text);
        } catch (IOException e) {
            throw new InvalidSettingsException(file + ": cannot be read as JSON: "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
        try (InputStream in = Policy.class.getResourceAsStream("operators.schema.json")) {
            Schema schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8));
            String errors = schema.validate(text, InputFormat.JSON).stream()
                    .map(Object::toString)
                    .collect(Collectors.joining("; "));
            if (!errors.isEmpty()) {
                throw new InvalidSettingsException(file + ": " + errors);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the schema is part of the program", e);
        }
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
}
