package org.landingridge.wire.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The answer to a watch.
 *
 * @param revision up to which the changes reach
 * @param changes  in order
 */
public record StateChanges(long revision, List<StateChange> changes) {
    /** Reads an answer; empty where it is malformed. */
    public static Optional<StateChanges> read(JsonNode answer) {
        long revision = StateAnswer.revision(answer);
        JsonNode all = answer.get(StateFields.CHANGES);
        if (revision < 0 || all == null || !all.isArray()) {
            return Optional.empty();
        }
        List<StateChange> changes = new ArrayList<>(all.size());
        for (JsonNode element : all) {
            StateChange change = StateChange.read(element);
            if (change != null) {
                changes.add(change);
            }
        }
        return Optional.of(new StateChanges(revision, changes));
    }

    /** The form on the wire. */
    public ObjectNode toJson() {
        ObjectNode answer = StateAnswer.ofRevision(revision);
        ArrayNode all = answer.putArray(StateFields.CHANGES);
        for (StateChange change : changes) {
            all.add(change.toJson());
        }
        return answer;
    }
}
