package org.landingridge.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.landingridge.net.EventLoop;

/**
 * Cache of the leader's documents in the state service: machine registry, completed tasks, operations. Every controller
 * keeps it up to date from the watch, so that a new leader need not read the documents first.
 */
final class LeaderDocuments {
    private final EventLoop loop;
    private final Map<String, JsonNode> valuesByKey = new TreeMap<>();
    /** Loop time at which this controller received the current value, by key. */
    private final Map<String, Long> receivedAtByKey = new TreeMap<>();

    LeaderDocuments(EventLoop loop) {
        this.loop = loop;
    }

    /** Stores the new value of a key; null removes the key. */
    void update(String key, JsonNode value) {
        if (value == null) {
            valuesByKey.remove(key);
            receivedAtByKey.remove(key);
        } else {
            valuesByKey.put(key, value);
            receivedAtByKey.put(key, loop.now());
        }
    }

    /** Returns the values by key, in the order of the keys. */
    Map<String, JsonNode> valuesByKey() {
        return Collections.unmodifiableMap(valuesByKey);
    }

    /** Returns the loop time at which this controller received the current value, by key. */
    Map<String, Long> receivedAtByKey() {
        return Collections.unmodifiableMap(receivedAtByKey);
    }
}
