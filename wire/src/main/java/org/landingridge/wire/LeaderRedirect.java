package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** The answer (421) of a controller that does not lead: it may name the one that does. */
public final class LeaderRedirect {
    private LeaderRedirect() {}

    /** The body that names the leader. */
    public static byte[] bytes(String leaderHost) {
        return Json.bytes(Json.object().put("desk", leaderHost));
    }

    /**
     * Host of the controller that leads, empty where the answer names none.
     *
     * @param node the body, null where it was no JSON
     */
    public static Optional<String> leaderHost(JsonNode node) {
        return node == null ? Optional.empty() : Optional.ofNullable(Json.text(node, "desk"));
    }
}
