package org.landingridge.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes commands to a worker, in the order in which it will execute them; {@link CommandBatch} reads them. A message takes as
 * many commands as the protocol's size limit permits; the others are left to the next message.
 */
public final class Commands {
    /** Size of a message without its commands, with the largest token and session. */
    private static final int EMPTY_MESSAGE_BYTES = new Commands().direct(Long.MAX_VALUE, Long.MAX_VALUE).length;

    private static final int SEPARATOR_BYTES = 1;

    private final ArrayNode list = Json.array();
    private int commandBytes;

    /** Has an attempt started; returns false, adding nothing, if the message is full. */
    public boolean start(String job, int task, long attempt) {
        return add(command("start", job, task, attempt));
    }

    /**
     * Has an attempt stopped; it may take {@code graceS} seconds to save its progress. Returns false, adding nothing, if the
     * message is full.
     */
    public boolean stop(String job, int task, long attempt, double graceS) {
        return add(command("halt", job, task, attempt).put("wrapupS", graceS));
    }

    /** Has an ended attempt left out of the heartbeats; returns false, adding nothing, if the message is full. */
    public boolean forget(String job, int task, long attempt) {
        return add(command("clear", job, task, attempt));
    }

    /** True if there is nothing to do. */
    public boolean isEmpty() {
        return list.isEmpty();
    }

    /** The answer to a heartbeat. */
    public byte[] answer(long token) {
        ObjectNode node = Json.object();
        node.put("baton", token).set("cues", list);
        return Json.bytes(node);
    }

    /** The body of a direct call, good for one session only. */
    public byte[] direct(long token, long session) {
        ObjectNode node = Json.object();
        node.put("baton", token).put("shift", session).set("cues", list);
        return Json.bytes(node);
    }

    private static ObjectNode command(String kind, String job, int task, long attempt) {
        return Json.object()
                .put("cue", kind)
                .put("take", TaskName.of(job, task))
                .put("try", attempt);
    }

    private boolean add(ObjectNode command) {
        int bytes = Json.bytes(command).length + SEPARATOR_BYTES;
        if (EMPTY_MESSAGE_BYTES + commandBytes + bytes > MessageLimits.MAX_MESSAGE_BYTES) {
            return false;
        }
        commandBytes += bytes;
        list.add(command);
        return true;
    }
}
