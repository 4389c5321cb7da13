package org.landingridge.wire.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.landingridge.wire.Json;

/**
 * A key with its value, as it is read.
 *
 * @param key     the key; null where the answer names none
 * @param value   the value; null where the answer has none
 * @param version revision of the key's last change; 0 where the answer has none
 */
public record StateEntry(String key, JsonNode value, long version) {
    /** Reads an entry; what is missing is null or 0. */
    public static StateEntry read(JsonNode entry) {
        return new StateEntry(
                Json.text(entry, StateFields.KEY),
                entry.get(StateFields.VALUE),
                Json.integer(entry, StateFields.VERSION, 0));
    }

    /** The form on the wire. */
    public ObjectNode toJson() {
        ObjectNode entry = Json.object().put(StateFields.KEY, key).put(StateFields.VERSION, version);
        entry.set(StateFields.VALUE, value);
        return entry;
    }
}
