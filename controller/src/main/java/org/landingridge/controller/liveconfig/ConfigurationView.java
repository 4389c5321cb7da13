package org.landingridge.controller.liveconfig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration in force at this controller, built from the documents in the watch cache. The head holds the number of the
 * last change, and for each page of teams the number of the change that last wrote it. A configuration takes effect once the
 * cache holds all pages at these numbers. If a document cannot be parsed, the last valid configuration stays in force.
 */
public final class ConfigurationView {
    /** Key prefix of all documents of the configuration. */
    public static final String ROOT = Keys.ROOT + "config/";

    static final String HEAD = ROOT + "head";
    static final String PAGE_ROOT = ROOT + "teams/";
    static final String LOG_ROOT = ROOT + "log/";
    /** Number of changes that the log keeps. */
    static final int MAX_LOG_ENTRIES = 64;

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationView.class);
    private final Map<String, JsonNode> documents = new TreeMap<>();
    private final Map<String, ConfiguredTeam> fileTeams = new LinkedHashMap<>();
    private Configuration current;
    private boolean isStale;

    /** @param teams teams of the settings file, by name */
    public ConfigurationView(Map<String, Settings.Team> teams) {
        teams.forEach((name, team) -> fileTeams.put(name, new ConfiguredTeam(team, false)));
        current = new Configuration(0, Collections.unmodifiableMap(new LinkedHashMap<>(fileTeams)));
    }

    /** Applies a change of one document; null if it was deleted. */
    public void changed(String key, JsonNode value) {
        if (value == null) {
            documents.remove(key);
        } else {
            documents.put(key, value);
        }
        isStale = true;
    }

    /** Returns the configuration in force at this controller. */
    public Configuration current() {
        if (isStale) {
            isStale = false;
            try {
                Configuration next = read();
                current = next == null ? current : next;
            } catch (InvalidMessageException e) {
                LOG.error(
                        "stored configuration unreadable, error={} numberInForce={}", e.getMessage(), current.number());
            }
        }
        return current;
    }

    /** Returns the settings file's teams overridden by the stored ones; null if the head or a page at its number is absent. */
    private Configuration read() throws InvalidMessageException {
        JsonNode head = documents.get(HEAD);
        if (head == null) {
            return null;
        }
        long number = Json.integer(head, "number", 0);
        JsonNode pages = head.get("pages");
        if (number <= 0 || pages == null || !pages.isArray()) {
            throw new InvalidMessageException("head: expected a number of at least 1 and a list of pages");
        }
        Map<String, ConfiguredTeam> teams = new LinkedHashMap<>(fileTeams);
        for (int i = 0; i < pages.size(); i++) {
            JsonNode page = documents.get(PAGE_ROOT + i);
            if (page == null || Json.integer(page, "number", 0) != pages.get(i).longValue()) {
                return null;
            }
            teams.putAll(ConfigurationRecord.decodeTeams(page.get("teams")));
        }
        return new Configuration(number, Collections.unmodifiableMap(teams));
    }

    boolean isInSettingsFile(String team) {
        return fileTeams.containsKey(team);
    }

    /** Returns for each page the number of the change that last wrote it. */
    List<Long> pageNumbers() {
        List<Long> pageNumbers = new ArrayList<>();
        JsonNode head = documents.get(HEAD);
        if (head != null) {
            head.path("pages").forEach(pageNumber -> pageNumbers.add(pageNumber.longValue()));
        }
        return pageNumbers;
    }

    /** Returns the teams of one page by name; empty if the page does not exist. */
    Map<String, ConfiguredTeam> page(int index) throws InvalidMessageException {
        JsonNode page = documents.get(PAGE_ROOT + index);
        return page == null ? new LinkedHashMap<>() : ConfigurationRecord.decodeTeams(page.get("teams"));
    }

    /** Returns the last changes, newest first, without entries that cannot be parsed. */
    List<ConfigurationRecord> changes() {
        List<ConfigurationRecord> changes = new ArrayList<>();
        documents.forEach((key, value) -> {
            if (key.startsWith(LOG_ROOT)) {
                try {
                    changes.add(ConfigurationRecord.read(value));
                } catch (InvalidMessageException e) {
                    LOG.warn("configuration change unreadable, key={} error={}", key, e.getMessage());
                }
            }
        });
        changes.removeIf(change -> change.number() > current().number());
        changes.sort((first, second) -> Long.compare(second.number(), first.number()));
        return changes;
    }

    /** Returns the stored form of a head. */
    static JsonNode encodeHead(long number, String key, List<Long> pageNumbers) {
        ArrayNode pages = Json.array();
        pageNumbers.forEach(pages::add);
        return Json.object().put("number", number).put("key", key).set("pages", pages);
    }
}
