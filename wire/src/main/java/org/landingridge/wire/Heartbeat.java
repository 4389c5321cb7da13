package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * What a worker says of its machine, by itself or in answer to commands.
 *
 * @param machine identifier of the machine
 * @param addr    where the worker takes direct calls, {@code host:port}
 * @param type    name of the machine type
 * @param zone    name of the zone
 * @param spot    true for a spot instance
 * @param session from 1; a new one begins whenever the worker's lease has run out
 * @param seq     grows with every heartbeat and every answer to a call
 * @param token   the highest fencing token that the worker has seen, 0 if none
 * @param noticeS seconds until the cloud takes the machine away, null if it has not said so
 * @param tasks   all attempts on the machine, ended ones included
 */
public record Heartbeat(
        String machine,
        String addr,
        String type,
        String zone,
        boolean spot,
        long session,
        long seq,
        long token,
        Double noticeS,
        List<Entry> tasks) {

    /**
     * Bytes of a heartbeat that the list of its attempts may take. The rest of the largest message is left to the other fields:
     * names of machine, type and zone, the address, and numbers of up to 20 digits.
     */
    public static final int MAX_ENTRIES_BYTES = MessageLimits.MAX_MESSAGE_BYTES - 1024;

    /**
     * Size of the largest entry, without the job's identifier. Workers choose how they write JSON, so it has a space after each
     * colon and comma, every number has all its digits, and every field its longest value.
     */
    private static final int MAX_ENTRY_BYTES_WITHOUT_JOB =
            ("{\"take\": \"/99999\", \"try\": 18446744073709551615, \"status\": \"running\", \"cause\": \"unknown\", "
                            + "\"saved\": false}, ")
                    .length();

    /** Returns the size that the entry of one attempt of this job has at most, in bytes, in whatever state the attempt is. */
    public static int maxEntryBytes(String job) {
        return MAX_ENTRY_BYTES_WITHOUT_JOB + job.length();
    }

    /** States of a task on a machine. */
    public enum TaskStatus {
        /** Its image is fetched. */
        FETCHING("pulling"),
        /** It runs. */
        RUNNING("running"),
        /** It was told to stop and saves its progress. */
        SAVING("saving"),
        /** It has ended, or was refused. */
        EXITED("ended");

        private final String wireName;

        TaskStatus(String wireName) {
            this.wireName = wireName;
        }

        private static TaskStatus parse(String wireName) throws InvalidMessageException {
            return switch (wireName) {
                case "pulling" -> FETCHING;
                case "running" -> RUNNING;
                case "saving" -> SAVING;
                case "ended" -> EXITED;
                default -> throw new InvalidMessageException("unknown task state " + wireName);
            };
        }
    }

    /**
     * One attempt of a heartbeat.
     *
     * @param job     identifier of the job
     * @param task    number of the task in its job
     * @param attempt number of the attempt
     * @param cause   why it ended; {@link ExitCause#UNSTATED} while it has not
     */
    public record Entry(String job, int task, long attempt, TaskStatus status, ExitCause cause) {}

    /**
     * Reads a heartbeat.
     *
     * @param node null where the message was no JSON
     */
    public static Heartbeat parse(JsonNode node) throws InvalidMessageException {
        if (node == null || !node.isObject()) {
            throw new InvalidMessageException("a report is a JSON object");
        }
        JsonNode entries = node.get("takes");
        Heartbeat heartbeat = new Heartbeat(
                Json.text(node, "box"),
                Json.text(node, "addr"),
                Json.text(node, "rig"),
                Json.text(node, "yard"),
                Json.flag(node, "standby"),
                Json.integer(node, "shift", -1),
                Json.integer(node, "tally", -1),
                Json.integer(node, "baton", -1),
                notice(node.get("warningS")),
                new ArrayList<>(entries == null ? 0 : entries.size()));
        if (heartbeat.incomplete() || entries != null && !entries.isArray()) {
            throw new InvalidMessageException("a field of the report is missing or invalid");
        }
        if (entries != null) {
            for (JsonNode entry : entries) {
                heartbeat.tasks.add(entry(entry));
            }
        }
        return heartbeat;
    }

    private boolean incomplete() {
        return machine == null || addr == null || type == null || zone == null || session < 0 || seq < 0 || token < 0;
    }

    private static Double notice(JsonNode value) {
        return value != null && value.isNumber() ? Double.valueOf(value.doubleValue()) : null;
    }

    private static Entry entry(JsonNode node) throws InvalidMessageException {
        String status = Json.text(node, "status");
        long attempt = Json.integer(node, "try", -1);
        if (status == null || attempt < 0) {
            throw new InvalidMessageException("a task of the report lacks its attempt or state");
        }
        TaskName name = TaskName.parse(Json.text(node, "take"));
        ExitCause cause = ExitCause.of(Json.text(node, "cause"));
        return new Entry(name.job(), name.task(), attempt, TaskStatus.parse(status), cause);
    }

    /** The heartbeat as it is sent; a notice and causes that are not there are left out. */
    public byte[] bytes() {
        ObjectNode node = Json.object();
        node.put("box", machine)
                .put("addr", addr)
                .put("rig", type)
                .put("yard", zone)
                .put("standby", spot)
                .put("shift", session)
                .put("tally", seq)
                .put("baton", token);
        if (noticeS != null) {
            node.put("warningS", noticeS);
        }
        ArrayNode list = node.putArray("takes");
        for (Entry entry : tasks) {
            ObjectNode element = list.addObject()
                    .put("take", TaskName.of(entry.job, entry.task))
                    .put("try", entry.attempt)
                    .put("status", entry.status.wireName);
            if (entry.cause != ExitCause.UNSTATED) {
                element.put("cause", entry.cause.wireName());
            }
        }
        return Json.bytes(node);
    }
}
