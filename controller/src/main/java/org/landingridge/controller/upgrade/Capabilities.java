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
 * Which features each controller's version knows. What a controller of an earlier version would misread is not written before
 * all controllers have announced that they know it: each does so once, under a key of its own, which outlasts the process.
 */
public final class Capabilities {
    /** What a version may know; the field names its level in the stored announcement. */
    public enum Feature {
        /** Ended jobs may stand in segments of the history: without knowing them a late retry is taken for a new job. */
        HISTORY("history"),
        /** Jobs may await others: who ignores that starts their tasks too early. */
        PIPELINES("pipelines");

        private final String field;

        Feature(String field) {
            this.field = field;
        }
    }

    /** The announcements' keys are this and the controller's host name. */
    public static final String ROOT = Keys.ROOT + "node/";
    /** The level of every feature that this version knows. */
    private static final int LEVEL = 1;

    private static final long RETRY_MS = 5_000;
    private static final Logger LOG = LoggerFactory.getLogger(Capabilities.class);
    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final String host;
    private final TreeSet<String> hosts;
    /** What each controller has announced, by host. */
    private final Map<String, Levels> announced = new HashMap<>();

    /** The stored announcement of one controller: a level for each feature, 0 for one that it does not know. */
    private static final class Levels {
        private final Map<Feature, Integer> levels = new EnumMap<>(Feature.class);

        /** A controller that has announced nothing is read from null. */
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

        /** These levels, raised to what this version knows. */
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

    /** @param others the other controllers' hosts */
    public Capabilities(StateClient client, WatchCache watchCache, EventLoop loop, String host, List<String> others) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.host = host;
        this.hosts = new TreeSet<>(others);
        hosts.add(host);
    }

    /** The watch's news of one controller's announcement; null: it has been removed. */
    public void changed(String key, JsonNode value) {
        announced.put(key.substring(ROOT.length()), Levels.read(value));
    }

    private Levels levels(String of) {
        Levels levels = announced.get(of);
        return levels == null ? Levels.read(null) : levels;
    }

    /** Announces what this version knows, where an earlier process of this host has not done so. */
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
        // Until the watch brings it back: an answer that got lost and a refusal are the same from here.
        loop.after(RETRY_MS, this::announce);
    }

    private void store(Levels levels) {
        String key = ROOT + host;
        List<Guard> guards = List.of(new Guard(key, watchCache.version(key)));
        client.commit(guards, List.of(new Write(key, levels.toJson(), 0)), answer -> {});
    }

    /** The controllers that have not announced that they know the feature. */
    public List<String> unaware(Feature feature) {
        List<String> unaware = new ArrayList<>();
        for (String controller : hosts) {
            if (levels(controller).of(feature) < LEVEL) {
                unaware.add(controller);
            }
        }
        return unaware;
    }

    /** True if every controller has announced that it knows the feature. */
    public boolean all(Feature feature) {
        return unaware(feature).isEmpty();
    }
}
