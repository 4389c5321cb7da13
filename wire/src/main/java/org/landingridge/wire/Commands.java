package org.landingridge.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Commands to a worker, in the order in which it will execute them. */
public final class Commands {
    private final ArrayNode cues = Json.array();

    public void start(String job, int task, long attempt) {
        cue("start", job, task, attempt);
    }

    public void stop(String job, int task, long attempt, double graceS) {
        cue("halt", job, task, attempt).put("wrapupS", graceS);
    }

    public void forget(String job, int task, long attempt) {
        cue("clear", job, task, attempt);
    }

    public boolean isEmpty() {
        return cues.isEmpty();
    }

    public ArrayNode list() {
        return cues;
    }

    /** The answer to a report. */
    public byte[] answer(long token) {
        ObjectNode n = Json.object();
        n.put("baton", token).set("cues", cues);
        return Json.bytes(n);
    }

    /** The body of a direct call, good for one session only. */
    public byte[] direct(long token, long session) {
        ObjectNode n = Json.object();
        n.put("baton", token).put("shift", session).set("cues", cues);
        return Json.bytes(n);
    }

    private ObjectNode cue(String name, String job, int task, long attempt) {
        ObjectNode n = cues.addObject();
        return n.put("cue", name).put("take", job + "/" + task).put("try", attempt);
    }
}
