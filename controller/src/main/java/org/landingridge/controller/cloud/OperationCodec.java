package org.landingridge.controller.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.landingridge.controller.cloud.Operation.Kind;
import org.landingridge.controller.cloud.Operation.State;
import org.landingridge.wire.CloudRequest;
import org.landingridge.wire.Json;
import org.landingridge.wire.RentRequest;
import org.landingridge.wire.ReturnRequest;

/** Converts an {@link Operation} to and from its stored JSON form. */
final class OperationCodec {
    private OperationCodec() {}

    static ObjectNode encode(Operation operation) {
        ObjectNode node = Json.object();
        node.put("kind", operation.kind().name())
                .put("state", operation.state().name())
                .put("seen", operation.lastOutcome())
                .put("dispatchedAt", operation.dispatchedAt())
                .put("claimedBy", operation.claimedBy())
                .set("request", operation.request().toJson());
        return node;
    }

    /** Decodes a stored record; returns empty if its kind or state is unknown or its request is missing. */
    static Optional<StoredOperation> decode(JsonNode record) {
        Kind kind = constantByName(Kind.values(), Json.text(record, "kind"));
        State state = constantByName(State.values(), Json.text(record, "state"));
        if (kind == null || state == null || !(record.get("request") instanceof ObjectNode request)) {
            return Optional.empty();
        }
        return Optional.of(new StoredOperation(
                decodeRequest(kind, request),
                state,
                Json.text(record, "seen"),
                Json.integer(record, "dispatchedAt", 0)));
    }

    private static CloudRequest decodeRequest(Kind kind, ObjectNode node) {
        return switch (kind) {
            case RENT -> RentRequest.parse(node);
            case GIVE_BACK -> ReturnRequest.parse(node);
        };
    }

    private static <E extends Enum<E>> E constantByName(E[] constants, String name) {
        for (E candidate : constants) {
            if (candidate.name().equals(name)) {
                return candidate;
            }
        }
        return null;
    }
}
