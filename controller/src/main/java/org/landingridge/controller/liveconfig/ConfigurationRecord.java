package org.landingridge.controller.liveconfig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;

/**
 * An entry of the bounded log of changes.
 *
 * @param number      number of the change, counted from 1
 * @param key         idempotency key, by which a retry after an unknown outcome finds its change
 * @param changedAtMs time of day of the change, in milliseconds
 * @param author      who made the change
 * @param reason      reason given by the operator
 * @param before      previous stored value of each changed team; null if none was stored
 * @param after       new stored value of each changed team; null if only the settings file applies to the team
 */
record ConfigurationRecord(
        long number,
        String key,
        long changedAtMs,
        String author,
        String reason,
        Map<String, ConfiguredTeam> before,
        Map<String, ConfiguredTeam> after) {

    ObjectNode json() {
        ObjectNode node = Json.object();
        node.put("number", number)
                .put("key", key)
                .put("at", changedAtMs)
                .put("by", author)
                .put("why", reason);
        node.set("before", encodeTeams(before));
        node.set("after", encodeTeams(after));
        return node;
    }

    static JsonNode encodeTeams(Map<String, ConfiguredTeam> teams) {
        ObjectNode rows = Json.object();
        teams.forEach((name, team) -> rows.set(name, team == null ? null : team.json()));
        return rows;
    }

    static Map<String, ConfiguredTeam> decodeTeams(JsonNode rows) throws InvalidMessageException {
        if (rows == null || !rows.isObject()) {
            throw new InvalidMessageException("expected an object with a row for each team");
        }
        Map<String, ConfiguredTeam> teams = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> row : rows.properties()) {
            teams.put(row.getKey(), row.getValue().isNull() ? null : ConfiguredTeam.read(row.getKey(), row.getValue()));
        }
        return teams;
    }

    static ConfigurationRecord read(JsonNode node) throws InvalidMessageException {
        return new ConfigurationRecord(
                Json.integer(node, "number", 0),
                Json.text(node, "key"),
                Json.integer(node, "at", 0),
                Json.text(node, "by"),
                Json.text(node, "why"),
                decodeTeams(node.get("before")),
                decodeTeams(node.get("after")));
    }
}
