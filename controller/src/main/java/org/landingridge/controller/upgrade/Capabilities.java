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

        private final String jsonField;

        Feature(String jsonField) {
            this.jsonField = jsonField;
        }
    }

    /** Prefix of the announcements' keys; the controller's host name is appended. */
    public static final String ROOT = Keys.ROOT + "node/";
    /** Level at which this version supports every feature. */
    private static final int SUPPORTED_LEVEL = 1;

    private static final long ANNOUNCE_RETRY_MS = 5_000;
    private static final Logger LOG = LoggerFactory.getLogger(Capabilities.class);
    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final String host;
    private final TreeSet<String> controllerHosts;
    /** Announced levels by host. */
    private final Map<String, Levels> levelsByHost = new HashMap<>();

    /** The stored announcement of one controller: a level for each feature; 0 means not supported. */
    private static final class Levels {
        private final Map<Feature, Integer> levelByFeature = new EnumMap<>(Feature.class);

        /** Reads an announcement; null means that the controller has announced nothing. */
        static Levels read(JsonNode announcement) {
            Levels result = new Levels();
            for (Feature feature : Feature.values()) {
                result.levelByFeature.put(
                        feature, announcement == null ? 0 : (int) Json.integer(announcement, feature.jsonField, 0));
            }
            return result;
        }

        int level(Feature feature) {
            return levelByFeature.get(feature);
        }

        /** Returns these levels, each raised to at least the level of this version. */
        Levels raisedToSupported() {
            Levels result = new Levels();
            for (Feature feature : Feature.values()) {
                result.levelByFeature.put(feature, Math.max(level(feature), SUPPORTED_LEVEL));
            }
            return result;
        }

        JsonNode toJson() {
            ObjectNode announcement = Json.object();
            levelByFeature.forEach((feature, level) -> announcement.put(feature.jsonField, level));
            return announcement;
        }
    }

    /**
     * Creates the tracker; {@link #announce} stores this controller's announcement.
     *
     * @param host       host name of this controller
     * @param otherHosts host names of the other controllers
     */
    public Capabilities(
            StateClient client, WatchCache watchCache, EventLoop loop, String host, List<String> otherHosts) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.host = host;
        this.controllerHosts = new TreeSet<>(otherHosts);
        controllerHosts.add(host);
    }

    /** Applies a change to a controller's announcement; {@code value} is null if it has been removed. */
    public void announcementChanged(String key, JsonNode value) {
        levelsByHost.put(key.substring(ROOT.length()), Levels.read(value));
    }

    private Levels levelsOf(String controllerHost) {
        Levels levels = levelsByHost.get(controllerHost);
        return levels == null ? Levels.read(null) : levels;
    }

    /** Announces the features of this version, unless an earlier process on this host has already done so. */
    public void announce() {
        Levels stored = levelsOf(host);
        boolean incomplete = false;
        for (Feature feature : Feature.values()) {
            if (stored.level(feature) > SUPPORTED_LEVEL) {
                LOG.error(
                        "later version has run on this host and its data may be unreadable, host={} feature={}",
                        host,
                        feature);
            }
            incomplete |= stored.level(feature) < SUPPORTED_LEVEL;
        }
        if (!incomplete) {
            return;
        }
        if (watchCache.isFollowing()) {
            store(stored.raisedToSupported());
        }
        // Repeated until the watch delivers the announcement: a lost answer and a refusal look the same.
        loop.after(ANNOUNCE_RETRY_MS, this::announce);
    }

    private void store(Levels levels) {
        String key = ROOT + host;
        List<Guard> guards = List.of(new Guard(key, watchCache.version(key)));
        client.commit(guards, List.of(new Write(key, levels.toJson(), 0)), answer -> {});
    }

    /** Returns the hosts of the controllers that have not announced support for the feature. */
    public List<String> hostsWithout(Feature feature) {
        List<String> unawareHosts = new ArrayList<>();
        for (String controllerHost : controllerHosts) {
            if (levelsOf(controllerHost).level(feature) < SUPPORTED_LEVEL) {
                unawareHosts.add(controllerHost);
            }
        }
        return unawareHosts;
    }

    /** Returns true if every controller has announced support for the feature. */
    public boolean isSupportedByAll(Feature feature) {
        return hostsWithout(feature).isEmpty();
    }
}
