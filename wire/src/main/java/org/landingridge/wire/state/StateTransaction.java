package org.landingridge.wire.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.landingridge.wire.Json;

/**
 * Writes that are carried out together if all guards hold, or not at all.
 *
 * @param guards what must hold
 * @param writes what is done then, in order
 */
public record StateTransaction(List<Guard> guards, List<Write> writes) {
    /** The version that a key must have; 0: it must not exist. */
    public record Guard(String key, long version) {}

    /** A put, or a delete where {@code value} is null; {@code lease} 0 means none. */
    public record Write(String key, JsonNode value, long lease) {
        private static Write read(JsonNode write) {
            return write.has(StateFields.DELETE)
                    ? new Write(write.get(StateFields.DELETE).textValue(), null, 0)
                    : new Write(
                            write.get(StateFields.PUT).textValue(),
                            write.get(StateFields.VALUE),
                            Json.integer(write, StateFields.LEASE, 0));
        }

        private void appendTo(ArrayNode writes) {
            ObjectNode write = writes.addObject();
            if (value == null) {
                write.put(StateFields.DELETE, key);
                return;
            }
            write.put(StateFields.PUT, key).set(StateFields.VALUE, value);
            if (lease != 0) {
                write.put(StateFields.LEASE, lease);
            }
        }
    }

    /** Reads a transaction; guards or writes that are missing are none. */
    public static StateTransaction read(JsonNode body) {
        List<Guard> guards = new ArrayList<>();
        for (JsonNode guard : body.path(StateFields.GUARDS)) {
            guards.add(new Guard(
                    guard.get(StateFields.KEY).textValue(),
                    guard.get(StateFields.VERSION).longValue()));
        }
        List<Write> writes = new ArrayList<>();
        for (JsonNode write : body.path(StateFields.WRITES)) {
            writes.add(Write.read(write));
        }
        return new StateTransaction(guards, writes);
    }

    /** The form on the wire. */
    public ObjectNode toJson() {
        ObjectNode body = Json.object();
        ArrayNode conditions = body.putArray(StateFields.GUARDS);
        for (Guard guard : guards) {
            conditions.addObject().put(StateFields.KEY, guard.key).put(StateFields.VERSION, guard.version);
        }
        ArrayNode changes = body.putArray(StateFields.WRITES);
        for (Write write : writes) {
            write.appendTo(changes);
        }
        return body;
    }
}
