package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.store.Keys;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/**
 * What is stored and what is sent has the recorded form, byte for byte; what the production version stored is read. A change
 * that is meant replaces the recorded files by those that a failing test writes beside the test classes.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RecordedFormatsTest {
    private static final long CRASH_AT = 70_000;
    private static final long END_AT = 260_000;
    private FormatRecorder recorder;
    private String storedAtCrash;

    @BeforeAll
    void play() {
        recorder = new FormatRecorder();
        SimulatedCluster w = scenario(recorder);
        w.sim.run(CRASH_AT - 1);
        storedAtCrash = recorder.stored();
        w.sim.run(END_AT);
        ClusterAssertions.assertInvariantsHold(w);
    }

    /** Services, arrays, a pipeline, cancellations, a lost machine, an outage, a failover, the history, a change of teams. */
    static SimulatedCluster scenario(FormatRecorder recorder) {
        SimulatedCluster w = new SimulatedCluster(7, 0);
        w.sim.observer = recorder;
        Simulation.Host visitor = w.sim.host("visitor");
        HistorySeeds.jobKeys(w, 100_000, 300, 1);
        for (int i = 0; i < 4; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 2, 2, 0));
            w.users.submit(SampleJobs.job(10 + i, "red", false, 6, 1, 8 + i));
        }
        w.users.submit(SampleJobs.job(20, "blue", false, 3, 1, 10));
        w.users.submit(SampleJobs.job(21, "red", false, 2, 1, 60));
        w.at(
                12_000,
                () -> w.users.submitWhenAwaitedAreAccepted(
                        following(SampleJobs.job(22, "blue", false, 2, 1, 5), "job-000020")));
        w.at(
                14_000,
                () -> w.users.submitWhenAwaitedAreAccepted(
                        following(SampleJobs.job(23, "blue", false, 2, 1, 5), "job-000021")));
        w.at(25_000, () -> w.users.cancel("job-000021"));
        w.at(30_000, () -> w.workers.get(0).hang(true));
        w.at(35_000, () -> w.users.cancel("job-000001"));
        w.at(40_000, () -> w.users.configure(0, limit("red", 6), reply -> {}));
        w.at(45_000, () -> w.state.outage(true));
        w.at(55_000, () -> w.state.outage(false));
        w.at(62_000, () -> w.restart(w.workers.get(1), 500));
        w.at(CRASH_AT, () -> w.leader().crash(2_000));
        w.at(90_000, () -> w.refuse(w.leader(), 20_000));
        for (int i = 0; i < 12; i++) {
            w.at(120_000 + i * 500L, () -> w.users.oddRequest());
        }
        for (String path :
                List.of("/ready", "/metrics", "/api/status", "/api/config", "/api/config/history", "/none")) {
            w.at(
                    130_000,
                    () -> w.sim.client(visitor).call(ControllerNode.address(1), "GET", path, null, 1_000, reply -> {}));
        }
        return w;
    }

    private static ObjectNode limit(String team, double cpus) {
        ObjectNode change = Json.object().put("key", "k-1").put("by", "ann").put("why", "a test");
        change.putObject("set").putObject(team).put("cpus", cpus).put("cpusMax", cpus + 2);
        return change;
    }

    private static JobSpec following(JobSpec spec, String awaited) {
        return spec.awaiting(List.of(awaited));
    }

    @Test
    @DisplayName("every message and stored value has the recorded fields, with the recorded types")
    void fields() throws IOException {
        matches("fields.txt", recorder.fields());
    }

    @Test
    @DisplayName("the first messages and stored values of each kind are the recorded ones, byte for byte")
    void samples() throws IOException {
        matches("samples.txt", recorder.samples());
    }

    @Test
    @DisplayName("the store as it stands right before the leader ends is the recorded one, byte for byte")
    void stored() throws IOException {
        matches("stored.txt", storedAtCrash);
    }

    private static void matches(String name, String actual) throws IOException {
        String expected = text(name);
        if (!expected.equals(actual)) {
            Path written = Path.of(System.getProperty("java.io.tmpdir"), "actual-" + name);
            Files.writeString(written, actual);
            List<String> before = expected.lines().toList();
            List<String> after = actual.lines().toList();
            assertEquals(
                    List.of(), after.stream().filter(l -> !before.contains(l)).toList(), "new; all is in " + written);
            assertEquals(
                    List.of(),
                    before.stream().filter(l -> !after.contains(l)).toList(),
                    "missing; all is in " + written);
        }
    }

    private static String text(String name) throws IOException {
        try (var in = RecordedFormatsTest.class.getResourceAsStream("/formats/" + name)) {
            return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Records between controllers: of this version, and of the one in production. */
    @ParameterizedTest
    @ValueSource(strings = {"samples.txt", "production-samples.txt"})
    void recordsBetweenControllersAreReadAndWrittenBack(String name) throws IOException {
        List<String> records =
                text(name).lines().filter(l -> l.startsWith("record ")).toList();
        assertTrue(
                records.stream()
                                .map(l -> l.substring(0, l.indexOf('\t')))
                                .distinct()
                                .count()
                        >= 6,
                records.toString());
        for (String line : records) {
            byte[] bytes = HexFormat.of().parseHex(line.substring(line.indexOf('\t') + 1));
            PeerMessage message = PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(bytes)));
            assertArrayEquals(bytes, message.encode(), line);
        }
    }

    /** A store as it stood, while work ran, right before all controllers are replaced by this version's. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "stored.txt",
                "production-stored.txt",
                "production-stored-early.txt",
                "production-stored-running.txt"
            })
    void aStoreAsItStoodIsTakenOver(String name) throws IOException {
        Map<String, JsonNode> before = new TreeMap<>();
        text(name)
                .lines()
                .forEach(l -> before.put(
                        l.substring(0, l.indexOf('\t')),
                        Json.parse(l.substring(l.indexOf('\t') + 1).getBytes(StandardCharsets.UTF_8))));
        assertFalse(before.isEmpty(), name);
        SimulatedCluster w = new SimulatedCluster(9, 0);
        before.forEach((key, value) -> {
            if (!key.equals(Keys.LEADER)) {
                w.state.seed(key, value);
            }
        });
        while (w.leader() == null || !w.status(w.leader()).has("machines")) {
            w.sim.run(w.sim.now + 10);
            assertTrue(w.sim.now < 10_000, "nobody leads");
        }
        JsonNode status = w.status(w.leader());
        assertEquals(
                machines(before.entrySet().stream()),
                status.get("machines").properties().stream()
                        .mapToInt(e -> e.getValue().intValue())
                        .sum(),
                status.toString());
        for (Map.Entry<String, JsonNode> e : before.entrySet()) {
            if (e.getKey().startsWith(Keys.JOBS)) {
                String id = e.getKey().substring(Keys.JOBS.length());
                String ended = e.getValue().path("ended").asText("");
                JsonNode shown = show(w, id);
                assertEquals(ended.equals("DONE"), shown.path("status").asText().equals("done"), id + ": " + shown);
                assertEquals(
                        ended.equals("CANCELLED"),
                        shown.path("status").asText().equals("cancelled"),
                        id + ": " + shown);
            }
        }
        assertEquals(tasksDone(before), tasksDone(w, before));
    }

    /** What the first controller answers to a poll. */
    private static JsonNode show(SimulatedCluster w, String id) {
        JsonNode[] shown = new JsonNode[1];
        w.sim.client(w.sim.host("visitor"))
                .call(
                        ControllerNode.address(0),
                        "GET",
                        "/api/jobs/" + id,
                        null,
                        2_000,
                        reply -> shown[0] = Json.parse(reply.body()));
        while (shown[0] == null || shown[0].has("error")) {
            w.sim.run(w.sim.now + 10);
            assertTrue(w.sim.now < 20_000, id + ": " + shown[0]);
        }
        return shown[0];
    }

    private static int machines(Stream<Map.Entry<String, JsonNode>> stored) {
        return stored.filter(e -> e.getKey().startsWith(Keys.ROOT + "fleet/"))
                .mapToInt(e -> e.getValue().size() - 1)
                .sum();
    }

    private static int tasksDone(Map<String, JsonNode> stored) {
        int done = 0;
        for (Map.Entry<String, JsonNode> row : liveChunks(stored)) {
            done += BitSet.valueOf(Base64.getDecoder().decode(row.getValue().textValue()))
                    .cardinality();
        }
        return done;
    }

    private static int tasksDone(SimulatedCluster w, Map<String, JsonNode> stored) {
        int done = 0;
        for (Map.Entry<String, JsonNode> row : liveChunks(stored)) {
            done += show(w, job(row)).path("done").asInt();
        }
        return done;
    }

    /** Finished tasks of jobs that have not ended. */
    private static List<Map.Entry<String, JsonNode>> liveChunks(Map<String, JsonNode> stored) {
        return stored.entrySet().stream()
                .filter(e -> e.getKey().startsWith(Keys.ROOT + "done/"))
                .flatMap(e -> e.getValue().properties().stream())
                .filter(row -> !stored.get(Keys.JOBS + job(row)).has("ended"))
                .toList();
    }

    private static String job(Map.Entry<String, JsonNode> chunk) {
        return chunk.getKey().substring(0, chunk.getKey().indexOf('#'));
    }
}
