package org.landingridge.controller.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks which features the version of each controller supports. Data that an earlier version would misread is written only
 * after all controllers have announced support for it. Each controller stores its announcement once, under its own key, which
 * outlives the process.
 */
public final class Capabilities {
    /** A feature that changes the stored data; the field stores its level in the announcement. */
    public enum Feature {
        /** Ended jobs move to history segments. A version without support would accept a late retry as a new job. */
        HISTORY("history"),
        /** Jobs may await other jobs. A version without support would start their tasks too early. */
        PIPELINES("pipelines");

        private final String field;

        Feature(String field) {
            this.field = field;
        }
    }

    /** Prefix of the announcements' keys; the controller's host name is appended. */
    public static final String ROOT = Keys.ROOT + "node/";
    /** Level at which this version supports every feature. */
    private static final int LEVEL = 1;

    private static final long RETRY_MS = 5_000;
    private static final Logger LOG = LoggerFactory.getLogger(Capabilities.class);
    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final String host;
    private final TreeSet<String> hosts;
    /** Announced levels by host. */
    private final Map<String, Levels> announced = new HashMap<>();

    /** The stored announcement of one controller: a level for each feature; 0 means not supported. */
    private static final class Levels {
        private final Map<Feature, Integer> levels = new EnumMap<>(Feature.class);

        /** Reads an announcement; null means that the controller has announced nothing. */
        static Levels read(JsonNode announcement) {
            Levels read = new Levels();
            for (Feature feature : Feature.values()) {
                read.levels.put(feature, announcement == null ? 0 : (int) Json.integer(announcement, feature.field, 0));
            }
            return read;
        }

        int of(Feature feature) {
            return levels.get(feature);
        }

        /** Returns these levels, each raised to at least the level of this version. */
        Levels raised() {
            Levels raised = new Levels();
            for (Feature feature : Feature.values()) {
                raised.levels.put(feature, Math.max(of(feature), LEVEL));
            }
            return raised;
        }

        JsonNode toJson() {
            ObjectNode announcement = Json.object();
            levels.forEach((feature, level) -> announcement.put(feature.field, level));
            return announcement;
        }
    }

    /**
     * Creates the tracker; {@link #announce} stores this controller's announcement.
     *
     * @param host   host name of this controller
     * @param others host names of the other controllers
     */
    public Capabilities(StateClient client, WatchCache watchCache, EventLoop loop, String host, List<String> others) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.host = host;
        this.hosts = new TreeSet<>(others);
        hosts.add(host);
    }

    /** Applies a change to a controller's announcement; {@code value} is null if it has been removed. */
    public void changed(String key, JsonNode value) {
        announced.put(key.substring(ROOT.length()), Levels.read(value));
    }

    private Levels levels(String of) {
        Levels levels = announced.get(of);
        return levels == null ? Levels.read(null) : levels;
    }

    /** Announces the features of this version, unless an earlier process on this host has already done so. */
    public void announce() {
        Levels before = levels(host);
        boolean missing = false;
        for (Feature feature : Feature.values()) {
            if (before.of(feature) > LEVEL) {
                LOG.error("a later version has run on {}: what it wrote may not be readable here ({})", host, feature);
            }
            missing |= before.of(feature) < LEVEL;
        }
        if (!missing) {
            return;
        }
        if (watchCache.following()) {
            store(before.raised());
        }
        // Retries until the watch delivers the announcement, whatever the answer: a lost answer and a refusal look the
        // same.
        loop.after(RETRY_MS, this::announce);
    }

    private void store(Levels levels) {
        String key = ROOT + host;
        List<Guard> guards = List.of(new Guard(key, watchCache.version(key)));
        client.commit(guards, List.of(new Write(key, levels.toJson(), 0)), answer -> {});
    }

    /** Returns the hosts of the controllers that have not announced support for the feature. */
    public List<String> unaware(Feature feature) {
        List<String> unaware = new ArrayList<>();
        for (String controller : hosts) {
            if (levels(controller).of(feature) < LEVEL) {
                unaware.add(controller);
            }
        }
        return unaware;
    }

    /** Returns true if every controller has announced support for the feature. */
    public boolean all(Feature feature) {
        return unaware(feature).isEmpty();
    }
}
