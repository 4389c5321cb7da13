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
 * @param key            idempotency key: a request that is sent again with the same key makes the change only once
 * @param expectedNumber configuration number that the change is based on; -1 to accept any
 * @param rollbackTo     configuration number to restore; -1 for none
 */
record ChangeRequest(
        String key,
        long expectedNumber,
        String author,
        String reason,
        boolean dryRun,
        long rollbackTo,
        Map<String, JsonNode> set,
        Map<String, JsonNode> add,
        List<String> remove) {
    private static final int MAX_TEXT_CHARS = 120;
    private static final int MAX_NAME_CHARS = 60;
    private static final double MAX_AMOUNT = 1e9;
    private static final Set<String> REQUEST_FIELDS =
            Set.of("key", "expected", "by", "why", "dryRun", "rollback", "set", "add", "remove");
    private static final Set<String> TEAM_FIELDS = Set.of("cpus", "cpusMax", "gpus", "gpusMax");

    static ChangeRequest parse(JsonNode body) throws InvalidMessageException {
        if (body == null || !body.isObject()) {
            throw new InvalidMessageException("expected a JSON object as body");
        }
        for (Map.Entry<String, JsonNode> field : body.properties()) {
            if (!REQUEST_FIELDS.contains(field.getKey())) {
                throw new InvalidMessageException("field " + field.getKey() + ": expected one of "
                        + REQUEST_FIELDS.stream().sorted().toList());
            }
        }
        ChangeRequest request = new ChangeRequest(
                requiredText(body, "key", MAX_NAME_CHARS),
                Json.integer(body, "expected", -1),
                requiredText(body, "by", MAX_TEXT_CHARS),
                requiredText(body, "why", MAX_TEXT_CHARS),
                Json.flag(body, "dryRun"),
                Json.integer(body, "rollback", -1),
                parseTeams(body, "set"),
                parseTeams(body, "add"),
                parseRemovedTeams(body));
        boolean hasChanges = !request.set.isEmpty() || !request.add.isEmpty() || !request.remove.isEmpty();
        if (hasChanges == request.rollbackTo >= 0) {
            throw new InvalidMessageException("expected either rollback or at least one of set, add and remove");
        }
        return request;
    }

    private static String requiredText(JsonNode body, String field, int maxChars) throws InvalidMessageException {
        String text = Json.text(body, field);
        if (text == null || text.isBlank() || text.length() > maxChars) {
            throw new InvalidMessageException(
                    "field " + field + ": expected a non-blank text of 1 to " + maxChars + " characters");
        }
        return text;
    }

    private static Map<String, JsonNode> parseTeams(JsonNode body, String field) throws InvalidMessageException {
        Map<String, JsonNode> teams = new LinkedHashMap<>();
        JsonNode value = body.get(field);
        if (value == null) {
            return teams;
        }
        if (!value.isObject()) {
            throw new InvalidMessageException("field " + field + ": expected an object with a field for each team");
        }
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            String path = field + "." + entry.getKey();
            if (entry.getKey().isBlank()
                    || entry.getKey().length() > MAX_NAME_CHARS
                    || !entry.getValue().isObject()) {
                throw new InvalidMessageException("field " + path + ": expected a non-blank team name of up to "
                        + MAX_NAME_CHARS + " characters and an object");
            }
            checkTeam(path, entry.getValue());
            teams.put(entry.getKey(), entry.getValue());
        }
        return teams;
    }

    private static void checkTeam(String path, JsonNode team) throws InvalidMessageException {
        for (Map.Entry<String, JsonNode> entry : team.properties()) {
            if (!TEAM_FIELDS.contains(entry.getKey())) {
                throw new InvalidMessageException("field " + path + "." + entry.getKey() + ": expected one of "
                        + TEAM_FIELDS.stream().sorted().toList());
            }
            double amount = entry.getValue().isNumber() ? entry.getValue().doubleValue() : -1;
            if (!(amount >= 0 && amount <= MAX_AMOUNT)) {
                throw new InvalidMessageException(
                        "field " + path + "." + entry.getKey() + ": expected a number from 0 to 1e9");
            }
        }
    }

    private static List<String> parseRemovedTeams(JsonNode body) throws InvalidMessageException {
        JsonNode value = body.get("remove");
        if (value == null) {
            return List.of();
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : value) {
            if (!name.isTextual()) {
                throw new InvalidMessageException("field remove: expected a non-empty list of team names");
            }
            names.add(name.textValue());
        }
        if (!value.isArray() || names.isEmpty()) {
            throw new InvalidMessageException("field remove: expected a non-empty list of team names");
        }
        return names;
    }

    /**
     * Returns the new values of the changed teams, based on the current configuration; a null value means that the settings
     * file applies to the team again.
     */
    Map<String, ConfiguredTeam> apply(Configuration current, ConfigurationView view) throws InvalidMessageException {
        Map<String, ConfiguredTeam> after = rollbackTo >= 0 ? rollBackTeams(current, view) : new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> entry : set.entrySet()) {
            ConfiguredTeam before = current.teams().get(entry.getKey());
            if (before == null) {
                throw new InvalidMessageException("field set." + entry.getKey() + ": team does not exist");
            }
            after.put(
                    entry.getKey(),
                    mergeTeam("set." + entry.getKey(), entry.getKey(), before.limits(), entry.getValue()));
        }
        for (Map.Entry<String, JsonNode> entry : add.entrySet()) {
            ConfiguredTeam before = current.teams().get(entry.getKey());
            if (before != null && !before.removed()) {
                throw new InvalidMessageException("field add." + entry.getKey() + ": team already exists");
            }
            Settings.Team zeroLimits = new Settings.Team(entry.getKey(), 0, 0, 0, 0);
            after.put(entry.getKey(), mergeTeam("add." + entry.getKey(), entry.getKey(), zeroLimits, entry.getValue()));
        }
        for (String name : remove) {
            ConfiguredTeam before = current.teams().get(name);
            if (before == null) {
                throw new InvalidMessageException("field remove: team " + name + " does not exist");
            }
            after.put(name, new ConfiguredTeam(before.limits(), true));
        }
        return after;
    }

    private static ConfiguredTeam mergeTeam(String path, String name, Settings.Team before, JsonNode fields)
            throws InvalidMessageException {
        Settings.Team limits = new Settings.Team(
                name,
                Json.number(fields, "cpus", before.cpus()),
                Json.number(fields, "cpusMax", before.cpusMax()),
                Json.number(fields, "gpus", before.gpus()),
                Json.number(fields, "gpusMax", before.gpusMax()));
        if (limits.cpusMax() > 0 && limits.cpus() > limits.cpusMax()) {
            throw new InvalidMessageException("field " + path + ".cpus: expected at most cpusMax, " + limits.cpusMax());
        }
        if (limits.gpusMax() > 0 && limits.gpus() > limits.gpusMax()) {
            throw new InvalidMessageException("field " + path + ".gpus: expected at most gpusMax, " + limits.gpusMax());
        }
        return new ConfiguredTeam(limits, false);
    }

    /** Undoes all changes after the number to restore, newest first; a team added by one of them is marked as removed. */
    private Map<String, ConfiguredTeam> rollBackTeams(Configuration current, ConfigurationView view)
            throws InvalidMessageException {
        if (rollbackTo >= current.number()) {
            throw new InvalidMessageException("field rollback: expected a number below the current one, "
                    + current.number() + ", found " + rollbackTo);
        }
        Map<String, ConfiguredTeam> after = new LinkedHashMap<>();
        long reachedNumber = current.number();
        for (ConfigurationRecord change : view.changes()) {
            if (change.number() != reachedNumber || reachedNumber == rollbackTo) {
                break;
            }
            change.before().forEach((name, team) -> after.put(name, team));
            reachedNumber--;
        }
        if (reachedNumber != rollbackTo) {
            throw new InvalidMessageException("field rollback: expected at least " + reachedNumber
                    + ", the oldest number that the log can restore, found " + rollbackTo);
        }
        after.replaceAll((name, team) -> team != null || view.isInSettingsFile(name)
                ? team
                : new ConfiguredTeam(current.teams().get(name).limits(), true));
        return after;
    }
}
