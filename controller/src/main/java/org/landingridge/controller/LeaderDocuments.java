package org.landingridge.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.landingridge.net.EventLoop;

/**
 * The leader's documents as the state service has them: machine registry, completed tasks, operations. Every controller
 * follows them, so that a new leader takes over from what is here already.
 */
final class LeaderDocuments {
    private final EventLoop loop;
    private final Map<String, JsonNode> values = new TreeMap<>();
    /** By key: loop time at which the present value came to be known here. */
    private final Map<String, Long> seenAt = new TreeMap<>();

    LeaderDocuments(EventLoop loop) {
        this.loop = loop;
    }

    /** Takes a new value over; null removes the key. */
    void changed(String key, JsonNode value) {
        if (value == null) {
            values.remove(key);
            seenAt.remove(key);
        } else {
            values.put(key, value);
            seenAt.put(key, loop.now());
        }
    }

    /** The values by key, in the order of the keys. */
    Map<String, JsonNode> values() {
        return Collections.unmodifiableMap(values);
    }

    /** By key: loop time at which the present value came to be known here. */
    Map<String, Long> seenAt() {
        return Collections.unmodifiableMap(seenAt);
    }
}
