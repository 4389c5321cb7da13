package org.landingridge.wire.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.landingridge.wire.Json;

/**
 * One page of the keys under a prefix.
 *
 * @param entries  in the order of their keys
 * @param more     whether keys follow that are not in the page
 * @param revision at which the page was read; -1 where the answer has none
 */
public record StateListing(List<StateEntry> entries, boolean more, long revision) {
    /** Reads an answer; empty where it has no entries at all. */
    public static Optional<StateListing> read(JsonNode answer) {
        JsonNode all = answer.get(StateFields.ENTRIES);
        if (all == null || !all.isArray()) {
            return Optional.empty();
        }
        List<StateEntry> entries = new ArrayList<>(all.size());
        for (JsonNode element : all) {
            entries.add(StateEntry.read(element));
        }
        return Optional.of(
                new StateListing(entries, Json.flag(answer, StateFields.MORE), StateAnswer.revision(answer)));
    }

    /** The form on the wire. */
    public ObjectNode toJson() {
        ObjectNode answer = Json.object();
        ArrayNode all = answer.putArray(StateFields.ENTRIES);
        for (StateEntry entry : entries) {
            all.add(entry.toJson());
        }
        return answer.put(StateFields.MORE, more).put(StateFields.REVISION, revision);
    }
}
