package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Returns machines to the cloud. Names of machines are never used again, so the call needs no key to be repeated.
 *
 * @param machines names of the machines
 */
public record ReturnRequest(List<String> machines) implements CloudRequest {
    /** The path to which the call is posted. */
    public static final String PATH = "/hosts/return";

    /** Copies the list. */
    public ReturnRequest {
        machines = List.copyOf(machines);
    }

    /** Reads the fields of a request; without a list of machines it names none. */
    public static ReturnRequest parse(JsonNode node) {
        return new ReturnRequest(RentResponse.names(node));
    }

    @Override
    public String path() {
        return PATH;
    }

    @Override
    public ObjectNode toJson() {
        ObjectNode node = Json.object();
        ArrayNode boxes = node.putArray("boxes");
        machines.forEach(boxes::add);
        return node;
    }

    @Override
    public ObjectNode toCall(String key) {
        return toJson();
    }
}
