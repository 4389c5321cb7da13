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

/**
 * Changes the teams' configuration in a running cluster under failures. Guards against a change that is lost or applied
 * twice (an answer is lost and the operator retries) and against a leader that schedules by an old limit. The expected
 * limits are computed from the log.
 */
class LiveConfigurationTest {
    /** Time limit for a change to take effect on every controller, in milliseconds. */
    private static final long EFFECTIVE_WITHIN_MS = 7_000;

    private static final double UNCHANGED = -1;

    private final Map<String, Integer> acknowledgedNumbersByKey = new HashMap<>();
    private int openRequests;

    private static ObjectNode newChange(String key) {
        return Json.object().put("key", key).put("by", "test").put("why", "a test");
    }

    private static ObjectNode limitChange(String key, String team, double cpus, double cpusMax) {
        ObjectNode change = newChange(key);
        change.putObject("set").putObject(team).put("cpus", cpus).put("cpusMax", cpusMax);
        return change;
    }

    /** Submits the change, always with the same idempotency key, until it is acknowledged or no attempts are left. */
    private void submitUntilAcknowledged(SimulatedCluster cluster, ObjectNode change, int attempts) {
        String key = change.get("key").textValue();
        cluster.users.configure(cluster.sim.random.nextInt(cluster.nodes.size()), change, reply -> {
            if (reply.outcome() == Http.Outcome.ANSWERED && reply.status() == 200) {
                int number = Json.parse(reply.body()).get("number").intValue();
                Integer earlierNumber = acknowledgedNumbersByKey.put(key, number);
                assertTrue(
                        earlierNumber == null || earlierNumber == number,
                        "change " + key + " has the numbers " + earlierNumber + " and " + number);
            } else if (attempts > 1) {
                cluster.at(cluster.sim.now + 700, () -> submitUntilAcknowledged(cluster, change, attempts - 1));
            }
        });
    }

    /** Checks that the log has every acknowledged change once, and that every controller shows the result of all changes. */
    private void assertControllersMatchLog(SimulatedCluster cluster) {
        Map<String, double[]> expected = new TreeMap<>();
        JsonNode first = cluster.users.configuration(cluster.nodes.get(0));
        first.get("teams")
                .properties()
                .forEach(team -> expected.put(team.getKey(), new double[] {UNCHANGED, UNCHANGED}));
        Map<Integer, String> keysByNumber = new HashMap<>();
        Set<String> keys = new HashSet<>();
        JsonNode log = cluster.users.configurationLog(cluster.nodes.get(0));
        for (int i = log.size() - 1; i >= 0; i--) {
            JsonNode entry = log.get(i);
            assertTrue(keys.add(entry.get("key").textValue()), "the log has two changes with the key of " + entry);
            assertEquals(
                    null,
                    keysByNumber.put(
                            entry.get("number").intValue(), entry.get("key").textValue()));
            entry.get("after")
                    .properties()
                    .forEach(team -> expected.put(team.getKey(), new double[] {
                        team.getValue().get(0).doubleValue(),
                        team.getValue().get(1).doubleValue()
                    }));
        }
        acknowledgedNumbersByKey.forEach((key, number) -> assertEquals(key, keysByNumber.get(number)));
        assertEquals(keysByNumber.size(), first.get("number").intValue());
        for (ControllerNode controller : cluster.nodes) {
            JsonNode view = cluster.users.configuration(controller);
            assertEquals(first.get("number"), view.get("number"));
            expected.forEach((team, limits) -> {
                if (limits[0] != UNCHANGED) {
                    assertEquals(
                            limits[0], view.get("teams").get(team).get("cpus").doubleValue(), team);
                    assertEquals(
                            limits[1],
                            view.get("teams").get(team).get("cpusMax").doubleValue(),
                            team);
                }
            });
        }
    }

    /** Changes overlap while answers are lost, writes are applied late and controllers crash at any step. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void everyChangeIsAppliedOnceDespiteLostAnswersLateWritesAndCrashes(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0);
        cluster.users.submit(SampleJobs.job(1, "blue", false, 40, 1, 20));
        for (int i = 0; i < 40; i++) {
            ObjectNode change = limitChange(
                    "k-" + i,
                    i % 2 == 0 ? "red" : "blue",
                    cluster.sim.random.nextInt(8),
                    8 + cluster.sim.random.nextInt(20));
            cluster.at(5_000 + cluster.sim.random.nextInt(80_000), () -> submitUntilAcknowledged(cluster, change, 40));
        }
        cluster.at(15_000, () -> cluster.sim.lostAnswerShareByHost.put("state", 0.3));
        cluster.at(40_000, () -> cluster.sim.lostAnswerShareByHost.clear());
        cluster.at(40_000, () -> cluster.state.lateWrites(0.2, cluster.sim.random));
        cluster.at(60_000, () -> cluster.state.lateWrites(0, null));
        cluster.at(25_000 + seed * 71, () -> ClusterAssertions.crashIfUp(cluster.leader(), 700));
        cluster.at(62_000, () -> cluster.nodes.forEach(controller -> ClusterAssertions.crashIfUp(controller, 900)));
        cluster.sim.run(180_000);
        assertEquals(40, acknowledgedNumbersByKey.size());
        assertControllersMatchLog(cluster);
        ClusterAssertions.assertInvariantsHold(cluster);
    }

    /** No task starts beyond a lowered limit once the limit is in effect, and the excess is gone 30 s after the change. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void noTaskStartsBeyondLoweredLimitAndExcessIsGoneWithin30Seconds(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0);
        for (int i = 0; i < 6; i++) {
            cluster.users.submit(SampleJobs.job(10 + i, "blue", false, 12, 1, 500));
        }
        cluster.users.submit(SampleJobs.job(1, "blue", true, 4, 2, 0));
        cluster.sim.run(30_000);
        assertTrue(cpusInUse(cluster) > 20, cpusInUse(cluster) + " CPUs in use before the change");
        submitUntilAcknowledged(cluster, limitChange("lower", "blue", 4, 12), 5);
        cluster.at(
                30_000 + EFFECTIVE_WITHIN_MS,
                () -> cluster.checker.limits.put("blue", Math.max(12, cpusInUse(cluster))));
        cluster.at(60_000, () -> cluster.checker.limits.put("blue", 12.0));
        cluster.sim.run(60_000);
        assertTrue(cpusInUse(cluster) <= 12, cpusInUse(cluster) + " CPUs in use 30 s after the change");
        assertTrue(
                cluster.allTasksRun(SampleJobs.id(1), 4),
                "a replica of the service was stopped before tasks of lower priority");
        cluster.sim.run(90_000);
        ClusterAssertions.assertInvariantsHold(cluster);
    }

    private static double cpusInUse(SimulatedCluster cluster) {
        return cluster.checker.locationByTask.keySet().stream()
                .mapToDouble(taskName -> cluster.checker
                        .specs
                        .get(taskName.substring(0, taskName.lastIndexOf('/')))
                        .cpus())
                .sum();
    }

    /**
     * Another controller accepts a change while the state service refuses the leader alone or withholds the leader's
     * watches. The time limit of a cancellation is 60 s here, which would let the leader continue for far longer
     * without news.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leaderThatCannotReadStateServiceStartsNoTaskBeyondNewLimit(boolean isStateServiceRefusing) {
        SimulatedCluster cluster = new SimulatedCluster(new ClusterSetup(
                21,
                3,
                20,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                60_000,
                Map.of("blue", new Settings.Team("blue", 8, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        submitUntilAcknowledged(cluster, limitChange("first", "blue", 4, 60), 5);
        for (int i = 0; i < 30; i++) {
            int job = i;
            cluster.at(
                    8_000 + i * 1_000L, () -> cluster.users.submit(SampleJobs.job(10 + job, "blue", false, 2, 1, 4)));
        }
        cluster.sim.run(15_000);
        ControllerNode leader = cluster.leader();
        if (isStateServiceRefusing) {
            cluster.refuse(leader, 20_000);
        } else {
            cluster.state.withholdWatches(leader.host.name);
        }
        ControllerNode peer =
                cluster.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        cluster.at(15_500, () -> cluster.users.configure(peer.index, limitChange("none", "blue", 0, 1), reply -> {}));
        long[] startsWhenEffective = new long[1];
        cluster.at(15_500 + EFFECTIVE_WITHIN_MS, () -> startsWhenEffective[0] = cluster.checker.starts);
        cluster.sim.run(34_000);
        assertTrue(
                cluster.checker.starts - startsWhenEffective[0] <= 4,
                (cluster.checker.starts - startsWhenEffective[0]) + " starts of 2-CPU tasks beyond the limit of 1 CPU");
        cluster.state.answerWatches();
        cluster.sim.run(40_000);
        assertEquals(
                2,
                cluster.users.configuration(cluster.nodes.get(0)).get("number").intValue());
    }

    /** A team can submit after it is added. After it is removed it cannot, but its accepted jobs run to their end. */
    @Test
    void addedTeamMaySubmitAndRemovedTeamIsRejectedWhileItsJobsFinish() {
        SimulatedCluster cluster = new SimulatedCluster(31, 0);
        ObjectNode add = newChange("add");
        add.putObject("add").putObject("green").put("cpus", 4).put("cpusMax", 8);
        submitUntilAcknowledged(cluster, add, 5);
        cluster.checker.limits.put("green", 8.0);
        cluster.at(5_000, () -> cluster.users.submit(SampleJobs.job(1, "green", false, 30, 1, 3)));
        cluster.sim.run(12_000);
        ObjectNode remove = newChange("remove");
        remove.putArray("remove").add("green");
        submitUntilAcknowledged(cluster, remove, 5);
        cluster.sim.run(14_000);
        assertEquals(
                422,
                cluster.users.post(
                        cluster.nodes.get(1),
                        Json.bytes(SampleJobs.job(2, "green", false, 1, 1, 1).json())));
        cluster.sim.run(60_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get(SampleJobs.id(1)));
        submitUntilAcknowledged(cluster, newChange("back").put("rollback", 0), 5);
        cluster.sim.run(65_000);
        assertEquals(
                422,
                cluster.users.post(
                        cluster.nodes.get(2),
                        Json.bytes(SampleJobs.job(2, "green", false, 1, 1, 1).json())));
        ClusterAssertions.assertInvariantsHold(cluster);
    }

    /** Invalid input stores nothing, and the error names the field or the expected content. */
    @Test
    void invalidChangeIsRejectedWithItsFieldAndStoresNothing() {
        SimulatedCluster cluster = new SimulatedCluster(41, 0);
        cluster.sim.run(5_000);
        Map<ObjectNode, String> expectedErrorByChange = new HashMap<>();
        expectedErrorByChange.put(newChange("k"), "expected either");
        expectedErrorByChange.put(limitChange("k", "nobody", 1, 2), "set.nobody");
        expectedErrorByChange.put(limitChange("k", "blue", 3, 2), "set.blue.cpus");
        expectedErrorByChange.put(limitChange("k", "blue", -1, 2), "set.blue.cpus");
        expectedErrorByChange.put(limitChange("k", "blue", 1, 2).put("rollback", 0), "either");
        expectedErrorByChange.put(newChange("k").put("rollback", 0), "rollback");
        expectedErrorByChange.put(newChange("k").put("cpus", 3), "field cpus");
        expectedErrorByChange.put(limitChange("", "blue", 1, 2), "field key");
        expectedErrorByChange.forEach((body, expectedError) -> {
            openRequests++;
            cluster.users.configure(0, body, reply -> {
                assertEquals(400, reply.status(), body.toString());
                assertTrue(Json.parse(reply.body()).get("error").textValue().contains(expectedError), expectedError);
                openRequests--;
            });
        });
        cluster.sim.run(10_000);
        assertEquals(0, openRequests);
        assertEquals(0, cluster.state.keys(Keys.ROOT + "config/").size());
    }
}
