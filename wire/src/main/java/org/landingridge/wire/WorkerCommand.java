package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** One command to a worker, about one attempt of a task. */
public sealed interface WorkerCommand {
    /** Identifier of the task's job. */
    String job();

    /** Number of the task in its job. */
    int task();

    /** Number of the attempt. */
    long attempt();

    /** Start the attempt; nothing is done where the worker knows it already. */
    record Start(String job, int task, long attempt) implements WorkerCommand {}

    /**
     * End the attempt.
     *
     * @param graceS seconds that it may take to save its progress
     */
    record Stop(String job, int task, long attempt, double graceS) implements WorkerCommand {}

    /** Leave the ended attempt out of the heartbeats from now on. */
    record Forget(String job, int task, long attempt) implements WorkerCommand {}

    /** Reads one element of the list of commands. */
    static WorkerCommand parse(JsonNode node) throws InvalidMessageException {
        String kind = Json.text(node, "cue");
        long attempt = Json.integer(node, "try", -1);
        if (kind == null || attempt < 0) {
            throw new InvalidMessageException("a command lacks its kind or attempt");
        }
        TaskName name = TaskName.parse(Json.text(node, "take"));
        return switch (kind) {
            case "start" -> new Start(name.job(), name.task(), attempt);
            case "halt" -> new Stop(name.job(), name.task(), attempt, Json.number(node, "wrapupS", 0));
            case "clear" -> new Forget(name.job(), name.task(), attempt);
            default -> throw new InvalidMessageException("unknown command " + kind);
        };
    }
}
