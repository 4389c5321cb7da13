package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The cloud's 200 to a {@link RentRequest}.
 *
 * @param machines names of the machines that were rented: as many as were wanted, or fewer
 */
public record RentResponse(List<String> machines) {
    /** Reads a body; one that is no JSON names no machines. */
    public static RentResponse parse(byte[] body) {
        JsonNode node = Json.parse(body);
        return new RentResponse(node == null ? List.of() : names(node));
    }

    static List<String> names(JsonNode node) {
        List<String> names = new ArrayList<>();
        node.path("boxes").forEach(name -> names.add(name.asText()));
        return names;
    }

    /** The body of the answer. */
    public ObjectNode toJson() {
        ObjectNode node = Json.object();
        ArrayNode boxes = node.putArray("boxes");
        machines.forEach(boxes::add);
        return node;
    }
}
