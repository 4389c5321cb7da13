package org.landingridge.controller.liveconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;

/**
 * An operator's request to change the configuration, validated field by field.
 *
 * @param key      idempotency key: a request that is sent again with the same key makes the change only once
 * @param expected configuration number that the change is based on; -1 to accept any
 * @param rollback configuration number to restore; -1 for none
 */
record ChangeRequest(
        String key,
        long expected,
        String by,
        String why,
        boolean dryRun,
        long rollback,
        Map<String, JsonNode> set,
        Map<String, JsonNode> add,
        List<String> remove) {
    private static final int MAX_TEXT = 120;
    private static final int MAX_NAME = 60;
    private static final double MAX_AMOUNT = 1e9;
    private static final Set<String> FIELDS =
            Set.of("key", "expected", "by", "why", "dryRun", "rollback", "set", "add", "remove");
    private static final Set<String> TEAM_FIELDS = Set.of("cpus", "cpusMax", "gpus", "gpusMax");

    static ChangeRequest parse(JsonNode n) throws InvalidMessageException {
        if (n == null || !n.isObject()) {
            throw new InvalidMessageException("the body is not a JSON object");
        }
        for (Map.Entry<String, JsonNode> field : n.properties()) {
            if (!FIELDS.contains(field.getKey())) {
                throw new InvalidMessageException("field " + field.getKey() + ": expected one of "
                        + FIELDS.stream().sorted().toList());
            }
        }
        ChangeRequest request = new ChangeRequest(
                text(n, "key", MAX_NAME),
                Json.integer(n, "expected", -1),
                text(n, "by", MAX_TEXT),
                text(n, "why", MAX_TEXT),
                Json.flag(n, "dryRun"),
                Json.integer(n, "rollback", -1),
                teams(n, "set"),
                teams(n, "add"),
                names(n));
        boolean changes = !request.set.isEmpty() || !request.add.isEmpty() || !request.remove.isEmpty();
        if (changes == request.rollback >= 0) {
            throw new InvalidMessageException("expected either some of set, add and remove, or rollback");
        }
        return request;
    }

    private static String text(JsonNode n, String field, int most) throws InvalidMessageException {
        String text = Json.text(n, field);
        if (text == null || text.isBlank() || text.length() > most) {
            throw new InvalidMessageException("field " + field + ": expected a text of 1 to " + most + " characters");
        }
        return text;
    }

    private static Map<String, JsonNode> teams(JsonNode n, String field) throws InvalidMessageException {
        Map<String, JsonNode> teams = new LinkedHashMap<>();
        JsonNode value = n.get(field);
        if (value == null) {
            return teams;
        }
        if (!value.isObject()) {
            throw new InvalidMessageException("field " + field + ": expected an object with a field for each team");
        }
        for (Map.Entry<String, JsonNode> e : value.properties()) {
            String at = field + "." + e.getKey();
            if (e.getKey().isBlank()
                    || e.getKey().length() > MAX_NAME
                    || !e.getValue().isObject()) {
                throw new InvalidMessageException("field " + at + ": expected a team's name and an object");
            }
            check(at, e.getValue());
            teams.put(e.getKey(), e.getValue());
        }
        return teams;
    }

    private static void check(String at, JsonNode team) throws InvalidMessageException {
        for (Map.Entry<String, JsonNode> e : team.properties()) {
            if (!TEAM_FIELDS.contains(e.getKey())) {
                throw new InvalidMessageException("field " + at + "." + e.getKey() + ": expected one of "
                        + TEAM_FIELDS.stream().sorted().toList());
            }
            double amount = e.getValue().isNumber() ? e.getValue().doubleValue() : -1;
            if (!(amount >= 0 && amount <= MAX_AMOUNT)) {
                throw new InvalidMessageException(
                        "field " + at + "." + e.getKey() + ": expected a number from 0 to 1e9");
            }
        }
    }

    private static List<String> names(JsonNode n) throws InvalidMessageException {
        JsonNode value = n.get("remove");
        if (value == null) {
            return List.of();
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : value) {
            if (!name.isTextual()) {
                throw new InvalidMessageException("field remove: expected a list of teams");
            }
            names.add(name.textValue());
        }
        if (!value.isArray() || names.isEmpty()) {
            throw new InvalidMessageException("field remove: expected a list of teams");
        }
        return names;
    }

    /**
     * Returns the new values of the changed teams, based on the current configuration; a null value means that the settings
     * file applies to the team again.
     */
    Map<String, ConfiguredTeam> apply(Configuration holds, ConfigurationView view) throws InvalidMessageException {
        Map<String, ConfiguredTeam> after = rollback >= 0 ? rolledBack(holds, view) : new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> e : set.entrySet()) {
            ConfiguredTeam before = holds.teams().get(e.getKey());
            if (before == null) {
                throw new InvalidMessageException("field set." + e.getKey() + ": there is no such team");
            }
            after.put(e.getKey(), merged("set." + e.getKey(), e.getKey(), before.limits(), e.getValue()));
        }
        for (Map.Entry<String, JsonNode> e : add.entrySet()) {
            ConfiguredTeam before = holds.teams().get(e.getKey());
            if (before != null && !before.removed()) {
                throw new InvalidMessageException("field add." + e.getKey() + ": there is such a team already");
            }
            Settings.Team none = new Settings.Team(e.getKey(), 0, 0, 0, 0);
            after.put(e.getKey(), merged("add." + e.getKey(), e.getKey(), none, e.getValue()));
        }
        for (String name : remove) {
            ConfiguredTeam before = holds.teams().get(name);
            if (before == null) {
                throw new InvalidMessageException("field remove: there is no team " + name);
            }
            after.put(name, new ConfiguredTeam(before.limits(), true));
        }
        return after;
    }

    private static ConfiguredTeam merged(String at, String name, Settings.Team before, JsonNode fields)
            throws InvalidMessageException {
        Settings.Team limits = new Settings.Team(
                name,
                Json.number(fields, "cpus", before.cpus()),
                Json.number(fields, "cpusMax", before.cpusMax()),
                Json.number(fields, "gpus", before.gpus()),
                Json.number(fields, "gpusMax", before.gpusMax()));
        if (limits.cpusMax() > 0 && limits.cpus() > limits.cpusMax()) {
            throw new InvalidMessageException("field " + at + ".cpus: expected at most cpusMax, " + limits.cpusMax());
        }
        if (limits.gpusMax() > 0 && limits.gpus() > limits.gpusMax()) {
            throw new InvalidMessageException("field " + at + ".gpus: expected at most gpusMax, " + limits.gpusMax());
        }
        return new ConfiguredTeam(limits, false);
    }

    /** Undoes all changes after the number to restore, newest first; a team added by one of them is marked as removed. */
    private Map<String, ConfiguredTeam> rolledBack(Configuration holds, ConfigurationView view)
            throws InvalidMessageException {
        if (rollback >= holds.number()) {
            throw new InvalidMessageException(
                    "field rollback: expected less than the present number, " + holds.number());
        }
        Map<String, ConfiguredTeam> after = new LinkedHashMap<>();
        long reached = holds.number();
        for (ConfigurationRecord r : view.log()) {
            if (r.number() != reached || reached == rollback) {
                break;
            }
            r.before().forEach((name, team) -> after.put(name, team));
            reached--;
        }
        if (reached != rollback) {
            throw new InvalidMessageException("field rollback: the log reaches back to number " + reached + " only");
        }
        after.replaceAll((name, team) -> team != null || view.inFile(name)
                ? team
                : new ConfiguredTeam(holds.teams().get(name).limits(), true));
        return after;
    }
}
