package org.landingridge.controller.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.Mirror;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.net.Loop;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which controllers know that ended jobs may stand in the history. One that does not would take a late retry of such a
 * job for a new one and run it again; so each controller says, once, under a key of its own, that it knows, and nothing
 * moves before all have.
 */
public final class Roll {
    public static final String ROOT = Keys.ROOT + "node/";
    /** What this version knows: segments of form 1. */
    private static final int LEVEL = 1;
    private static final String FIELD = "history";
    private static final long RETRY_MS = 5_000;
    private static final Logger LOG = LoggerFactory.getLogger(Roll.class);
    private final StateClient client;
    private final Mirror mirror;
    private final Loop loop;
    private final String host;
    private final TreeSet<String> hosts;
    private final Map<String, Integer> levels = new HashMap<>();

    /** @param others the other controllers' hosts */
    public Roll(StateClient client, Mirror mirror, Loop loop, String host, List<String> others) {
        this.client = client;
        this.mirror = mirror;
        this.loop = loop;
        this.host = host;
        this.hosts = new TreeSet<>(others);
        hosts.add(host);
    }

    /** The mirror's news of one controller's word. */
    public void changed(String key, JsonNode value) {
        levels.put(key.substring(ROOT.length()), value == null ? 0 : (int) Json.integer(value, FIELD, 0));
    }

    /** Says what this version knows, where that has not been said by an earlier process of this host. */
    public void announce() {
        String key = ROOT + host;
        int before = levels.getOrDefault(host, 0);
        if (before > LEVEL) {
            LOG.error("a later version has run on {}: what it wrote about ended jobs may not be readable here", host);
        }
        if (before == LEVEL) {
            return;
        }
        if (mirror.following()) {
            client.commit(List.of(new Guard(key, mirror.version(key))),
                    List.of(new Write(key, Json.object().put(FIELD, LEVEL), 0)), answer -> { });
        }
        // Until the mirror brings it back: an answer that got lost and a refusal are the same from here.
        loop.after(RETRY_MS, this::announce);
    }

    /** The controllers that have not said that they know; the history stands still for them. */
    public List<String> unknowing() {
        List<String> all = new ArrayList<>();
        for (String h : hosts) {
            if (levels.getOrDefault(h, 0) < LEVEL) {
                all.add(h);
            }
        }
        return all;
    }
}
