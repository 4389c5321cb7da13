package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** One row of the cloud's machine list. */
public record CloudMachine(String id, String addr, String type, String zone, boolean spot, String status, double ageS) {

    public static CloudMachine parse(JsonNode n) throws InvalidMessageException {
        String id = Json.text(n, "id");
        String type = Json.text(n, "rig");
        String zone = Json.text(n, "yard");
        String status = Json.text(n, "status");
        if (id == null || type == null || zone == null || status == null) {
            throw new InvalidMessageException("a listed machine lacks id, rig, yard or status");
        }
        return new CloudMachine(
                id, Json.text(n, "addr"), type, zone, Json.flag(n, "standby"), status, Json.number(n, "heldS", 0));
    }
}
