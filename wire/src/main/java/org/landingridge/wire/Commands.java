package org.landingridge.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes commands to a worker, in the order in which it will execute them; {@link CommandBatch} reads them. */
public final class Commands {
    private final ArrayNode list = Json.array();

    /** Has an attempt started. */
    public void start(String job, int task, long attempt) {
        add("start", job, task, attempt);
    }

    /** Has an attempt stopped; it may take {@code graceS} seconds to save its progress. */
    public void stop(String job, int task, long attempt, double graceS) {
        add("halt", job, task, attempt).put("wrapupS", graceS);
    }

    /** Has an ended attempt left out of the heartbeats. */
    public void forget(String job, int task, long attempt) {
        add("clear", job, task, attempt);
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

    private ObjectNode add(String kind, String job, int task, long attempt) {
        ObjectNode node = list.addObject();
        return node.put("cue", kind).put("take", TaskName.of(job, task)).put("try", attempt);
    }
}
