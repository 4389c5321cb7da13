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
 * The configuration as this controller's mirror shows it. A head names the number of the last change and that of each page of
 * teams; a configuration is in force once all of its pages are here at their numbers. What cannot be read leaves the last
 * good one in force.
 */
public final class ConfigurationView {
    /** All documents of the configuration are kept under this prefix. */
    public static final String ROOT = Keys.ROOT + "config/";

    static final String HEAD = ROOT + "head";
    static final String PAGE = ROOT + "teams/";
    static final String LOG_ROOT = ROOT + "log/";
    /** So many of the last changes are kept. */
    static final int KEPT_CHANGES = 64;

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationView.class);
    private final Map<String, JsonNode> documents = new TreeMap<>();
    private final Map<String, ConfiguredTeam> fromFile = new LinkedHashMap<>();
    private Configuration current;
    private boolean stale;

    /** @param teams of the platform's file */
    public ConfigurationView(Map<String, Settings.Team> teams) {
        teams.forEach((name, team) -> fromFile.put(name, new ConfiguredTeam(team, false)));
        current = new Configuration(0, Collections.unmodifiableMap(new LinkedHashMap<>(fromFile)));
    }

    /** The mirror's news of one document; null: it is gone. */
    public void changed(String key, JsonNode value) {
        if (value == null) {
            documents.remove(key);
        } else {
            documents.put(key, value);
        }
        stale = true;
    }

    /** What is in force at this controller. */
    public Configuration current() {
        if (stale) {
            stale = false;
            try {
                Configuration next = read();
                current = next == null ? current : next;
            } catch (InvalidMessageException e) {
                LOG.error(
                        "the stored configuration cannot be read ({}): number {} stays in force",
                        e.getMessage(),
                        current.number());
            }
        }
        return current;
    }

    /** The stored configuration over the platform's file; null while its pages are not all here. */
    private Configuration read() throws InvalidMessageException {
        JsonNode head = documents.get(HEAD);
        if (head == null) {
            return null;
        }
        long number = Json.integer(head, "number", 0);
        JsonNode pages = head.get("pages");
        if (number <= 0 || pages == null || !pages.isArray()) {
            throw new InvalidMessageException("its head");
        }
        Map<String, ConfiguredTeam> teams = new LinkedHashMap<>(fromFile);
        for (int i = 0; i < pages.size(); i++) {
            JsonNode page = documents.get(PAGE + i);
            if (page == null || Json.integer(page, "number", 0) != pages.get(i).longValue()) {
                return null;
            }
            teams.putAll(ConfigurationRecord.teams(page.get("teams")));
        }
        return new Configuration(number, Collections.unmodifiableMap(teams));
    }

    boolean inFile(String team) {
        return fromFile.containsKey(team);
    }

    /** Numbers of the changes in which each page was written last. */
    List<Long> pageNumbers() {
        List<Long> numbers = new ArrayList<>();
        JsonNode head = documents.get(HEAD);
        if (head != null) {
            head.path("pages").forEach(n -> numbers.add(n.longValue()));
        }
        return numbers;
    }

    /** The rows of one page; empty where there is no such page. */
    Map<String, ConfiguredTeam> page(int index) throws InvalidMessageException {
        JsonNode page = documents.get(PAGE + index);
        return page == null ? new LinkedHashMap<>() : ConfigurationRecord.teams(page.get("teams"));
    }

    /** The last changes that can be read, the newest first. */
    List<ConfigurationRecord> log() {
        List<ConfigurationRecord> log = new ArrayList<>();
        documents.forEach((key, value) -> {
            if (key.startsWith(LOG_ROOT)) {
                try {
                    log.add(ConfigurationRecord.read(value));
                } catch (InvalidMessageException e) {
                    LOG.warn("{} cannot be read: {}", key, e.getMessage());
                }
            }
        });
        log.removeIf(r -> r.number() > current().number());
        log.sort((a, b) -> Long.compare(b.number(), a.number()));
        return log;
    }

    /** The stored form of a head. */
    static JsonNode head(long number, String key, List<Long> pages) {
        ArrayNode numbers = Json.array();
        pages.forEach(numbers::add);
        return Json.object().put("number", number).put("key", key).set("pages", numbers);
    }
}
