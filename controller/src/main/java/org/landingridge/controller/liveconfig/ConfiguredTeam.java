package org.landingridge.controller.liveconfig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;

/**
 * A team of the current configuration.
 *
 * @param limits  the team's guarantee and limit
 * @param removed whether new jobs of the team are refused; jobs accepted earlier still run within the limits
 */
public record ConfiguredTeam(Settings.Team limits, boolean removed) {
    private static final int FIELD_COUNT = 5;

    /** Returns the stored form: guarantee and limit of CPUs, guarantee and limit of GPUs, and 1 for a removed team, else 0. */
    JsonNode json() {
        ArrayNode row = Json.array();
        row.add(limits.cpus())
                .add(limits.cpusMax())
                .add(limits.gpus())
                .add(limits.gpusMax())
                .add(removed ? 1 : 0);
        return row;
    }

    static ConfiguredTeam read(String name, JsonNode row) throws InvalidMessageException {
        if (row == null || !row.isArray() || row.size() != FIELD_COUNT) {
            throw new InvalidMessageException("team " + name + ": expected a row of " + FIELD_COUNT + " numbers");
        }
        for (JsonNode field : row) {
            if (!field.isNumber() || !(field.doubleValue() >= 0)) {
                throw new InvalidMessageException("team " + name + ": expected numbers of at least 0");
            }
        }
        Settings.Team limits = new Settings.Team(
                name,
                row.get(0).doubleValue(),
                row.get(1).doubleValue(),
                row.get(2).doubleValue(),
                row.get(3).doubleValue());
        return new ConfiguredTeam(limits, row.get(4).intValue() == 1);
    }
}
