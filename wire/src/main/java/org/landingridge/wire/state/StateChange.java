package org.landingridge.wire.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.landingridge.wire.Json;

/**
 * A change of a key, as a watch brings it.
 *
 * @param kind    whether the key was put or deleted
 * @param key     the key
 * @param value   the value that was put; null for a deletion
 * @param version revision of the change; -1 where the answer has none
 */
public record StateChange(Kind kind, String key, JsonNode value, long version) {
    /** What happened to the key. */
    public enum Kind {
        PUT,
        DELETE
    }

    /** Reads a change; null where it says neither what was put nor what was deleted. */
    static StateChange read(JsonNode change) {
        long version = Json.integer(change, StateFields.VERSION, -1);
        String put = Json.text(change, StateFields.PUT);
        if (put != null) {
            return new StateChange(Kind.PUT, put, change.get(StateFields.VALUE), version);
        }
        String deleted = Json.text(change, StateFields.DELETE);
        return deleted == null ? null : new StateChange(Kind.DELETE, deleted, null, version);
    }

    ObjectNode toJson() {
        ObjectNode change = Json.object();
        switch (kind) {
            case PUT -> change.put(StateFields.PUT, key).set(StateFields.VALUE, value);
            case DELETE -> change.put(StateFields.DELETE, key);
        }
        return change.put(StateFields.VERSION, version);
    }
}
