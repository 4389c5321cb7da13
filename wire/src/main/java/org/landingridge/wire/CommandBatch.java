package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Commands as a worker receives them.
 *
 * @param token    fencing token of the leader that sent them
 * @param session  the worker's session that they are meant for; {@link #ANY_SESSION} in the answer to a heartbeat
 * @param commands in the order of execution
 */
public record CommandBatch(long token, long session, List<WorkerCommand> commands) {
    /** The session of a batch that names none. */
    public static final long ANY_SESSION = 0;

    /**
     * Reads the answer to a heartbeat, or the body of a direct call.
     *
     * @param node null where the message was no JSON
     */
    public static CommandBatch parse(JsonNode node) throws InvalidMessageException {
        long token = node == null ? -1 : Json.integer(node, "baton", -1);
        if (token < 0) {
            throw new InvalidMessageException("a message with commands lacks its token");
        }
        JsonNode list = node.get("cues");
        if (list == null || !list.isArray()) {
            throw new InvalidMessageException("a message with commands lacks their list");
        }
        List<WorkerCommand> commands = new ArrayList<>(list.size());
        for (JsonNode command : list) {
            commands.add(WorkerCommand.parse(command));
        }
        return new CommandBatch(token, Json.integer(node, "shift", ANY_SESSION), commands);
    }
}
