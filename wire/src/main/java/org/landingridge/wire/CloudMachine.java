package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One row of the cloud's machine list.
 *
 * @param addr   where the worker takes commands; null until the machine has booted
 * @param status in the cloud's words, for instance {@code booting}, {@code running} or {@code failed}
 * @param ageS   seconds since it was rented
 */
public record CloudMachine(String id, String addr, String type, String zone, boolean spot, String status, double ageS) {
    private static final String FAILED = "failed";

    /**
     * Reads a row.
     *
     * @throws InvalidMessageException where it lacks its name, type, zone or status
     */
    public static CloudMachine parse(JsonNode node) throws InvalidMessageException {
        String id = Json.text(node, "id");
        String type = Json.text(node, "rig");
        String zone = Json.text(node, "yard");
        String status = Json.text(node, "status");
        if (id == null || type == null || zone == null || status == null) {
            throw new InvalidMessageException("a listed machine lacks id, rig, yard or status");
        }
        return new CloudMachine(
                id,
                Json.text(node, "addr"),
                type,
                zone,
                Json.flag(node, "standby"),
                status,
                Json.number(node, "heldS", 0));
    }

    /** True where the machine stopped on its own. */
    public boolean failed() {
        return status.equals(FAILED);
    }

    ObjectNode toJson() {
        ObjectNode node = Json.object()
                .put("id", id)
                .put("rig", type)
                .put("yard", zone)
                .put("standby", spot)
                .put("status", status)
                .put("heldS", ageS);
        if (addr != null) {
            node.put("addr", addr);
        }
        return node;
    }
}
