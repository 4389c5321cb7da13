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
 * @param number  number of the change, counted from 1
 * @param key     idempotency key, by which a retry after an unknown outcome finds its change
 * @param at      time of day of the change, in milliseconds
 * @param by      who made the change
 * @param why     reason given by the operator
 * @param before  previous stored value of each changed team; null if none was stored
 * @param after   new stored value of each changed team; null if only the settings file applies to the team from now on
 */
record ConfigurationRecord(
        long number,
        String key,
        long at,
        String by,
        String why,
        Map<String, ConfiguredTeam> before,
        Map<String, ConfiguredTeam> after) {

    ObjectNode json() {
        ObjectNode n = Json.object();
        n.put("number", number).put("key", key).put("at", at).put("by", by).put("why", why);
        n.set("before", rows(before));
        n.set("after", rows(after));
        return n;
    }

    static JsonNode rows(Map<String, ConfiguredTeam> teams) {
        ObjectNode rows = Json.object();
        teams.forEach((name, team) -> rows.set(name, team == null ? null : team.json()));
        return rows;
    }

    static Map<String, ConfiguredTeam> teams(JsonNode rows) throws InvalidMessageException {
        if (rows == null || !rows.isObject()) {
            throw new InvalidMessageException("expected rows of teams");
        }
        Map<String, ConfiguredTeam> teams = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> row : rows.properties()) {
            teams.put(row.getKey(), row.getValue().isNull() ? null : ConfiguredTeam.read(row.getKey(), row.getValue()));
        }
        return teams;
    }

    static ConfigurationRecord read(JsonNode n) throws InvalidMessageException {
        return new ConfigurationRecord(
                Json.integer(n, "number", 0),
                Json.text(n, "key"),
                Json.integer(n, "at", 0),
                Json.text(n, "by"),
                Json.text(n, "why"),
                teams(n.get("before")),
                teams(n.get("after")));
    }
}
