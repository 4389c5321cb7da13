package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.net.Http;
import org.landingridge.wire.Json;

/** The configuration of teams changes while everything runs and fails; a plain model keeps what each change made. */
class LiveConfigurationTest {
    /** Within so long a change is in force everywhere. */
    private static final long IN_FORCE_MS = 7_000;

    private static final double NONE = -1;

    private final Map<String, Integer> acknowledged = new HashMap<>();
    private int asked;

    private static ObjectNode change(String key) {
        return Json.object().put("key", key).put("by", "test").put("why", "a test");
    }

    private static ObjectNode limit(String key, String team, double cpus, double cpusMax) {
        ObjectNode change = change(key);
        change.putObject("set").putObject(team).put("cpus", cpus).put("cpusMax", cpusMax);
        return change;
    }

    /** Asks until the change is known to be made, with the same key throughout. */
    private void ask(SimulatedCluster w, ObjectNode change, int tries) {
        String key = change.get("key").textValue();
        w.users.configure(w.sim.random.nextInt(w.nodes.size()), change, reply -> {
            if (reply.outcome() == Http.Outcome.ANSWERED && reply.status() == 200) {
                int number = Json.parse(reply.body()).get("number").intValue();
                Integer before = acknowledged.put(key, number);
                assertTrue(before == null || before == number, key + " was made as " + before + " and as " + number);
            } else if (tries > 1) {
                w.at(w.sim.now + 700, () -> ask(w, change, tries - 1));
            }
        });
    }

    /** Every change that was acknowledged is in the log once, and every controller shows what all of them make together. */
    private void agrees(SimulatedCluster w) {
        Map<String, double[]> model = new TreeMap<>();
        JsonNode first = w.users.configuration(w.nodes.get(0));
        first.get("teams").properties().forEach(e -> model.put(e.getKey(), new double[] {NONE, NONE}));
        Map<Integer, String> numbers = new HashMap<>();
        Set<String> keys = new HashSet<>();
        JsonNode log = w.users.configurationLog(w.nodes.get(0));
        for (int i = log.size() - 1; i >= 0; i--) {
            JsonNode entry = log.get(i);
            assertTrue(keys.add(entry.get("key").textValue()), entry + " stands twice");
            assertEquals(
                    null,
                    numbers.put(entry.get("number").intValue(), entry.get("key").textValue()));
            entry.get("after")
                    .properties()
                    .forEach(e -> model.put(e.getKey(), new double[] {
                        e.getValue().get(0).doubleValue(), e.getValue().get(1).doubleValue()
                    }));
        }
        acknowledged.forEach((key, number) -> assertEquals(key, numbers.get(number)));
        assertEquals(numbers.size(), first.get("number").intValue());
        for (ControllerNode n : w.nodes) {
            JsonNode shown = w.users.configuration(n);
            assertEquals(first.get("number"), shown.get("number"));
            model.forEach((team, limits) -> {
                if (limits[0] != NONE) {
                    assertEquals(
                            limits[0], shown.get("teams").get(team).get("cpus").doubleValue(), team);
                    assertEquals(
                            limits[1],
                            shown.get("teams").get(team).get("cpusMax").doubleValue(),
                            team);
                }
            });
        }
    }

    /** Two operators at once, answers lost, writes late, controllers killed at any step. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void everyChangeIsMadeOnce(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 0);
        w.users.submit(SampleJobs.job(1, "blue", false, 40, 1, 20));
        for (int i = 0; i < 40; i++) {
            ObjectNode change =
                    limit("k-" + i, i % 2 == 0 ? "red" : "blue", w.sim.random.nextInt(8), 8 + w.sim.random.nextInt(20));
            w.at(5_000 + w.sim.random.nextInt(80_000), () -> ask(w, change, 40));
        }
        w.at(15_000, () -> w.sim.lostAnswers.put("state", 0.3));
        w.at(40_000, () -> w.sim.lostAnswers.clear());
        w.at(40_000, () -> w.state.lateWrites(0.2, w.sim.random));
        w.at(60_000, () -> w.state.lateWrites(0, null));
        w.at(25_000 + seed * 71, () -> ClusterAssertions.crash(w.leader(), 700));
        w.at(62_000, () -> w.nodes.forEach(n -> ClusterAssertions.crash(n, 900)));
        w.sim.run(180_000);
        assertEquals(40, acknowledged.size());
        agrees(w);
        ClusterAssertions.kept(w);
    }

    /** No start beyond a lowered limit from the moment in force, and the excess is gone within half a minute. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void aLoweredLimitHolds(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 0);
        for (int i = 0; i < 6; i++) {
            w.users.submit(SampleJobs.job(10 + i, "blue", false, 12, 1, 500));
        }
        w.users.submit(SampleJobs.job(1, "blue", true, 4, 2, 0));
        w.sim.run(30_000);
        assertTrue(used(w) > 20, used(w) + " used before");
        ask(w, limit("lower", "blue", 4, 12), 5);
        w.at(30_000 + IN_FORCE_MS, () -> w.checker.limits.put("blue", Math.max(12, used(w))));
        w.at(60_000, () -> w.checker.limits.put("blue", 12.0));
        w.sim.run(60_000);
        assertTrue(used(w) <= 12, used(w) + " used 30 s after");
        assertTrue(w.running(SampleJobs.id(1), 4), "of the least priority first: the service keeps its replicas");
        w.sim.run(90_000);
        ClusterAssertions.kept(w);
    }

    private static double used(SimulatedCluster w) {
        return w.checker.places.keySet().stream()
                .mapToDouble(t ->
                        w.checker.specs.get(t.substring(0, t.lastIndexOf('/'))).cpus())
                .sum();
    }

    /** The leader is refused by the state service alone, or reads nothing of it, while another controller takes the change. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLeaderThatCannotReadStartsNothingForbidden(boolean refused) {
        // A cancellation may take so long here that it would let the leader go on for far longer without news.
        SimulatedCluster w = new SimulatedCluster(new ClusterSetup(
                21,
                3,
                20,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                60_000,
                Map.of("blue", new Settings.Team("blue", 8, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        ask(w, limit("first", "blue", 4, 60), 5);
        for (int i = 0; i < 30; i++) {
            int n = i;
            w.at(8_000 + i * 1_000L, () -> w.users.submit(SampleJobs.job(10 + n, "blue", false, 2, 1, 4)));
        }
        w.sim.run(15_000);
        ControllerNode leader = w.leader();
        if (refused) {
            w.refuse(leader, 20_000);
        } else {
            w.state.withholdWatches(leader.host.name);
        }
        ControllerNode other =
                w.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        w.at(15_500, () -> w.users.configure(other.index, limit("none", "blue", 0, 1), reply -> {}));
        long[] startsThen = new long[1];
        w.at(15_500 + IN_FORCE_MS, () -> startsThen[0] = w.checker.starts);
        w.sim.run(34_000);
        assertTrue(
                w.checker.starts - startsThen[0] <= 4,
                (w.checker.starts - startsThen[0]) + " starts of two processors' limit 1");
        w.state.answerWatches();
        w.sim.run(40_000);
        assertEquals(2, w.users.configuration(w.nodes.get(0)).get("number").intValue());
    }

    /** A team that is added may submit; one that is removed may not, and what it had runs to its end. */
    @Test
    void teamsComeAndGo() {
        SimulatedCluster w = new SimulatedCluster(31, 0);
        ObjectNode add = change("add");
        add.putObject("add").putObject("green").put("cpus", 4).put("cpusMax", 8);
        ask(w, add, 5);
        w.checker.limits.put("green", 8.0);
        w.at(5_000, () -> w.users.submit(SampleJobs.job(1, "green", false, 30, 1, 3)));
        w.sim.run(12_000);
        ObjectNode remove = change("remove");
        remove.putArray("remove").add("green");
        ask(w, remove, 5);
        w.sim.run(14_000);
        assertEquals(
                422,
                w.users.post(
                        w.nodes.get(1),
                        Json.bytes(SampleJobs.job(2, "green", false, 1, 1, 1).json())));
        w.sim.run(60_000);
        assertEquals("done", w.checker.told.get(SampleJobs.id(1)));
        ask(w, change("back").put("rollback", 0), 5);
        w.sim.run(65_000);
        assertEquals(
                422,
                w.users.post(
                        w.nodes.get(2),
                        Json.bytes(SampleJobs.job(2, "green", false, 1, 1, 1).json())));
        ClusterAssertions.kept(w);
    }

    /** Bad input changes nothing and names the field. */
    @Test
    void badInputIsNamed() {
        SimulatedCluster w = new SimulatedCluster(41, 0);
        w.sim.run(5_000);
        Map<ObjectNode, String> bad = new HashMap<>();
        bad.put(change("k"), "expected either");
        bad.put(limit("k", "nobody", 1, 2), "set.nobody");
        bad.put(limit("k", "blue", 3, 2), "set.blue.cpus");
        bad.put(limit("k", "blue", -1, 2), "set.blue.cpus");
        bad.put(limit("k", "blue", 1, 2).put("rollback", 0), "either");
        bad.put(change("k").put("rollback", 0), "rollback");
        bad.put(change("k").put("cpus", 3), "field cpus");
        bad.put(limit("", "blue", 1, 2), "field key");
        bad.forEach((body, field) -> {
            asked++;
            w.users.configure(0, body, reply -> {
                assertEquals(400, reply.status(), body.toString());
                assertTrue(Json.parse(reply.body()).get("error").textValue().contains(field), field);
                asked--;
            });
        });
        w.sim.run(10_000);
        assertEquals(0, asked);
        assertEquals(0, w.state.keys(Keys.ROOT + "config/").size());
    }
}
