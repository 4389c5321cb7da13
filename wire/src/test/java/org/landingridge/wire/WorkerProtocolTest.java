package org.landingridge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Heartbeats and commands have the protocol's form, and are read as they were written. */
class WorkerProtocolTest {
    private static final String HEARTBEAT =
            "{\"box\":\"m-1\",\"addr\":\"h:9\",\"rig\":\"g8\",\"yard\":\"a\",\"standby\":true,"
                    + "\"shift\":1,\"tally\":88,\"baton\":41,\"warningS\":30.5,\"takes\":["
                    + "{\"take\":\"job-000412/3\",\"try\":2,\"status\":\"running\"},"
                    + "{\"take\":\"job-000398/0\",\"try\":1,\"status\":\"ended\",\"cause\":\"done\"}]}";

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static Heartbeat heartbeat(String text) throws InvalidMessageException {
        return Heartbeat.parse(Json.parse(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static CommandBatch batch(String text) throws InvalidMessageException {
        return CommandBatch.parse(Json.parse(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    @DisplayName("a heartbeat is read field by field")
    void readsHeartbeat() throws InvalidMessageException {
        Heartbeat.Entry running =
                new Heartbeat.Entry("job-000412", 3, 2, Heartbeat.TaskStatus.RUNNING, ExitCause.UNSTATED);
        Heartbeat.Entry ended = new Heartbeat.Entry("job-000398", 0, 1, Heartbeat.TaskStatus.EXITED, ExitCause.DONE);
        assertEquals(
                new Heartbeat("m-1", "h:9", "g8", "a", true, 1, 88, 41, 30.5, List.of(running, ended)),
                heartbeat(HEARTBEAT));
    }

    @Test
    @DisplayName("a heartbeat is written as it was read, byte for byte; a notice of null may be left out")
    void writesHeartbeat() throws InvalidMessageException {
        assertEquals(HEARTBEAT, text(heartbeat(HEARTBEAT).bytes()));
        assertEquals(
                HEARTBEAT.replace("\"warningS\":30.5,", ""),
                text(heartbeat(HEARTBEAT.replace("30.5", "null")).bytes()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"done", "halted", "error", "full", "busy", "unknown"})
    @DisplayName("each cause of an exit is written as it was read")
    void causes(String cause) throws InvalidMessageException {
        String message = HEARTBEAT.replace("\"done\"", "\"" + cause + "\"");
        assertEquals(message, text(heartbeat(message).bytes()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"pulling", "running", "saving", "ended"})
    @DisplayName("each state of a task is written as it was read")
    void states(String state) throws InvalidMessageException {
        String message = HEARTBEAT.replace("\"running\"", "\"" + state + "\"");
        assertEquals(message, text(heartbeat(message).bytes()));
    }

    @Test
    @DisplayName("a cause that this version does not know is no reason to drop the heartbeat")
    void unknownCause() throws InvalidMessageException {
        Heartbeat read = heartbeat(HEARTBEAT.replace("\"done\"", "\"eaten\""));
        assertEquals(ExitCause.UNSTATED, read.tasks().get(1).cause());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"box\":\"m-1\"",
                "\"addr\":\"h:9\"",
                "\"rig\":\"g8\"",
                "\"yard\":\"a\"",
                "\"shift\":1",
                "\"tally\":88",
                "\"baton\":41",
                "\"take\":\"job-000412/3\"",
                "\"try\":2",
                "\"status\":\"running\""
            })
    @DisplayName("a heartbeat without one of its fields is refused")
    void missingField(String field) {
        String message = HEARTBEAT.replace(field, "\"other\":0");
        assertThrows(InvalidMessageException.class, () -> heartbeat(message));
    }

    @ParameterizedTest
    @ValueSource(strings = {"job-000412/x", "job-000412/", "job-000412", "/3"})
    @DisplayName("a task without job or number is refused")
    void badTaskName(String name) {
        String message = HEARTBEAT.replace("job-000412/3", name);
        assertThrows(InvalidMessageException.class, () -> heartbeat(message));
    }

    @Test
    @DisplayName("commands have the protocol's form and are read as they were given, in their order")
    void commands() throws InvalidMessageException {
        Commands commands = new Commands();
        commands.start("job-000412", 4, 2);
        commands.stop("job-000377", 1, 1, 10);
        commands.forget("job-000398", 0, 1);
        String list = "\"cues\":[{\"cue\":\"start\",\"take\":\"job-000412/4\",\"try\":2},"
                + "{\"cue\":\"halt\",\"take\":\"job-000377/1\",\"try\":1,\"wrapupS\":10.0},"
                + "{\"cue\":\"clear\",\"take\":\"job-000398/0\",\"try\":1}]}";
        assertEquals("{\"baton\":41," + list, text(commands.answer(41)));
        assertEquals("{\"baton\":41,\"shift\":7," + list, text(commands.direct(41, 7)));

        List<WorkerCommand> read = List.of(
                new WorkerCommand.Start("job-000412", 4, 2),
                new WorkerCommand.Stop("job-000377", 1, 1, 10),
                new WorkerCommand.Forget("job-000398", 0, 1));
        assertEquals(new CommandBatch(41, CommandBatch.ANY_SESSION, read), batch(text(commands.answer(41))));
        assertEquals(new CommandBatch(41, 7, read), batch(text(commands.direct(41, 7))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"cues\":[]}",
                "{\"baton\":1}",
                "{\"baton\":1,\"cues\":[{\"cue\":\"sing\",\"take\":\"j/0\",\"try\":1}]}",
                "{\"baton\":1,\"cues\":[{\"cue\":\"start\",\"try\":1}]}",
                "{\"baton\":1,\"cues\":[{\"cue\":\"start\",\"take\":\"j/0\"}]}",
                "no JSON"
            })
    @DisplayName("commands without token, list, kind, task or attempt are refused")
    void badCommands(String text) {
        assertThrows(InvalidMessageException.class, () -> batch(text));
    }

    @Test
    @DisplayName("a redirect names the leader, or nobody")
    void redirect() {
        assertEquals(Optional.of("c2"), LeaderRedirect.leaderHost(Json.parse(LeaderRedirect.bytes("c2"))));
        assertEquals("{\"desk\":\"c2\"}", text(LeaderRedirect.bytes("c2")));
        assertTrue(LeaderRedirect.leaderHost(null).isEmpty());
        assertTrue(LeaderRedirect.leaderHost(Json.object()).isEmpty());
    }
}
