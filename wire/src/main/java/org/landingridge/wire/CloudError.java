package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The body of an answer of the cloud other than 200.
 *
 * @param error what went wrong, in the cloud's words; null where the body does not say
 */
public record CloudError(String error) {
    private static final String NO_CAPACITY = "no capacity";

    /** The pool has no machine to give. */
    public static CloudError noCapacity() {
        return new CloudError(NO_CAPACITY);
    }

    /** Reads a body, which may be empty or no JSON. */
    public static CloudError parse(byte[] body) {
        JsonNode node = Json.parse(body);
        return new CloudError(node == null ? null : Json.text(node, "error"));
    }

    /** True where the pool has no machine to give. */
    public boolean isNoCapacity() {
        return NO_CAPACITY.equals(error);
    }

    /** The body of the answer. */
    public ObjectNode toJson() {
        return Json.object().put("error", error);
    }
}
