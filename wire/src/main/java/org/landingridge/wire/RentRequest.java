package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Asks the cloud for machines of one pool.
 *
 * @param spot  spot instances are asked for
 * @param count how many machines are wanted; the cloud may have fewer
 */
public record RentRequest(String type, String zone, boolean spot, int count) implements CloudRequest {
    /** The path to which the call is posted. */
    public static final String PATH = "/hosts";

    /** Reads the fields of a request; a field that is missing is empty, false or 0, and the cloud refuses the call. */
    public static RentRequest parse(JsonNode node) {
        return new RentRequest(
                node.path("rig").asText(),
                node.path("yard").asText(),
                node.path("standby").asBoolean(),
                node.path("count").asInt());
    }

    /** The idempotency key of a call, or null where it has none. */
    public static String key(JsonNode call) {
        return Json.text(call, "booking");
    }

    @Override
    public String path() {
        return PATH;
    }

    @Override
    public ObjectNode toJson() {
        return Json.object()
                .put("rig", type)
                .put("yard", zone)
                .put("standby", spot)
                .put("count", count);
    }

    @Override
    public ObjectNode toCall(String key) {
        return toJson().put("booking", key);
    }
}
