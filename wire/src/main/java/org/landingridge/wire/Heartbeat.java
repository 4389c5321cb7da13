package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** What a worker says of its machine, in a report or in answer to commands. */
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

    /** States of a task on a machine. */
    public enum TaskStatus {
        FETCHING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** One task of a report; {@code why} is set for exited tasks. */
    public record Entry(String job, int task, long attempt, TaskStatus status, String why) {}

    public static Heartbeat parse(JsonNode n) throws InvalidMessageException {
        if (n == null || !n.isObject()) {
            throw new InvalidMessageException("a report is a JSON object");
        }
        String machine = Json.text(n, "box");
        String addr = Json.text(n, "addr");
        String type = Json.text(n, "rig");
        String zone = Json.text(n, "yard");
        long session = Json.integer(n, "shift", -1);
        long seq = Json.integer(n, "tally", -1);
        long token = Json.integer(n, "baton", -1);
        JsonNode takes = n.get("takes");
        if (machine == null
                || addr == null
                || type == null
                || zone == null
                || session < 0
                || seq < 0
                || token < 0
                || takes != null && !takes.isArray()) {
            throw new InvalidMessageException("a field of the report is missing or invalid");
        }
        JsonNode warning = n.get("warningS");
        List<Entry> tasks = new ArrayList<>(takes == null ? 0 : takes.size());
        if (takes != null) {
            for (JsonNode t : takes) {
                tasks.add(entry(t));
            }
        }
        return new Heartbeat(
                machine,
                addr,
                type,
                zone,
                Json.flag(n, "standby"),
                session,
                seq,
                token,
                warning != null && warning.isNumber() ? Double.valueOf(warning.doubleValue()) : null,
                tasks);
    }

    private static Entry entry(JsonNode t) throws InvalidMessageException {
        String name = Json.text(t, "take");
        int slash = name == null ? -1 : name.lastIndexOf('/');
        String status = Json.text(t, "status");
        long attempt = Json.integer(t, "try", -1);
        if (slash < 1 || status == null || attempt < 0) {
            throw new InvalidMessageException("a task of the report lacks its name, attempt or state");
        }
        TaskStatus state = switch (status) {
            case "pulling" -> TaskStatus.FETCHING;
            case "running" -> TaskStatus.RUNNING;
            case "saving" -> TaskStatus.SAVING;
            case "ended" -> TaskStatus.EXITED;
            default -> throw new InvalidMessageException("unknown task state " + status);
        };
        try {
            return new Entry(
                    name.substring(0, slash),
                    Integer.parseInt(name, slash + 1, name.length(), 10),
                    attempt,
                    state,
                    Json.text(t, "cause"));
        } catch (NumberFormatException e) {
            throw new InvalidMessageException("task name " + name + " has no number");
        }
    }
}
