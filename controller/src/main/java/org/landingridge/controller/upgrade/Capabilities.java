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
    private final Map<String, Map<Feature, Integer>> announced = new HashMap<>();

    /** @param others the other controllers' hosts */
    public Capabilities(StateClient client, WatchCache watchCache, EventLoop loop, String host, List<String> others) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.host = host;
        this.hosts = new TreeSet<>(others);
        hosts.add(host);
    }

    /** The mirror's news of one controller's announcement; null: it has been removed. */
    public void changed(String key, JsonNode value) {
        Map<Feature, Integer> levels = new EnumMap<>(Feature.class);
        for (Feature feature : Feature.values()) {
            levels.put(feature, value == null ? 0 : (int) Json.integer(value, feature.field, 0));
        }
        announced.put(key.substring(ROOT.length()), levels);
    }

    private int level(String of, Feature feature) {
        Map<Feature, Integer> levels = announced.get(of);
        return levels == null ? 0 : levels.get(feature);
    }

    /** Announces what this version knows, where an earlier process of this host has not done so. */
    public void announce() {
        boolean missing = false;
        ObjectNode levels = Json.object();
        for (Feature feature : Feature.values()) {
            int before = level(host, feature);
            if (before > LEVEL) {
                LOG.error("a later version has run on {}: what it wrote may not be readable here ({})", host, feature);
            }
            missing |= before < LEVEL;
            levels.put(feature.field, Math.max(before, LEVEL));
        }
        if (!missing) {
            return;
        }
        if (watchCache.following()) {
            String key = ROOT + host;
            client.commit(
                    List.of(new Guard(key, watchCache.version(key))), List.of(new Write(key, levels, 0)), answer -> {});
        }
        // Until the mirror brings it back: an answer that got lost and a refusal are the same from here.
        loop.after(RETRY_MS, this::announce);
    }

    /** The controllers that have not announced that they know the feature. */
    public List<String> unaware(Feature feature) {
        List<String> all = new ArrayList<>();
        for (String h : hosts) {
            if (level(h, feature) < LEVEL) {
                all.add(h);
            }
        }
        return all;
    }

    /** True if every controller has announced that it knows the feature. */
    public boolean all(Feature feature) {
        return unaware(feature).isEmpty();
    }
}
