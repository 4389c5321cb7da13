package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.allJobsEndedAndControllersAgree;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;
import static org.landingridge.experiment.ClusterAssertions.crashIfUp;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.Json;

/**
 * Guards against controllers that give users contradictory, older or wrong answers: right after a change, when a job is cancelled
 * at the worst moment, or for invalid requests. The combinations of faults are listed in {@code docs/meetings.md}.
 */
class ApiConsistencyTest {
    private static final int FIRST_JOB = 100;
    private static final int JOB_COUNT = 40;

    /** Fault that is injected while users query the service. */
    enum Fault {
        NONE,
        LEADER_CRASHES,
        ALL_CONTROLLERS_CRASH,
        STATE_SERVICE_REFUSES_LEADER,
        STATE_SERVICE_REFUSES_FOLLOWER,
        ANSWERS_LOST,
        WRITES_LATE,
        FULL_RELOAD,
        STATE_SERVICE_SLOW
    }

    /** Schedules short jobs of one to three tasks, one every 500 ms; a quarter of them are cancelled 1.8 to 5.4 s later. */
    private static List<String> scheduleJobs(SimulatedCluster cluster, long fromMs) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOB_COUNT; i++) {
            int number = FIRST_JOB + i;
            ids.add(SampleJobs.id(number));
            cluster.at(
                    fromMs + i * 500L,
                    () -> cluster.users.submit(
                            SampleJobs.job(number, "blue", false, 1 + number % 3, 1, 2 + number % 4)));
            if (i % 4 == 3) {
                cluster.at(fromMs + i * 500L + 1_500 + 100 * i, () -> cluster.users.cancel(SampleJobs.id(number)));
            }
        }
        return ids;
    }

    private static void scheduleFault(SimulatedCluster cluster, Fault fault) {
        switch (fault) {
            case NONE -> {}
            case LEADER_CRASHES -> {
                cluster.at(12_000, () -> crashIfUp(cluster.leader(), 150));
                cluster.at(18_000, () -> crashIfUp(cluster.leader(), 6_000));
            }
            case ALL_CONTROLLERS_CRASH ->
                cluster.at(14_000, () -> cluster.nodes.forEach(node -> crashIfUp(node, 200 + 700L * node.index)));
            case STATE_SERVICE_REFUSES_LEADER -> {
                cluster.at(12_000, () -> cluster.refuse(cluster.leader(), 9_000));
                cluster.at(24_000, () -> cluster.refuse(cluster.leader(), 4_000));
            }
            case STATE_SERVICE_REFUSES_FOLLOWER ->
                cluster.at(12_000, () -> cluster.refuse(cluster.nodes.get((cluster.leader().index + 1) % 3), 9_000));
            case ANSWERS_LOST -> {
                cluster.at(8_000, () -> cluster.state.lostAnswers(0.5, cluster.sim.random));
                cluster.at(25_000, () -> cluster.state.lostAnswers(0, null));
            }
            case WRITES_LATE -> {
                cluster.at(8_000, () -> cluster.state.lateWrites(0.5, cluster.sim.random));
                cluster.at(25_000, () -> cluster.state.lateWrites(0, null));
            }
            case FULL_RELOAD -> {
                // The state service retains few changes, and one controller can't read for a while: it must reload
                // everything.
                cluster.state.keepChanges(10);
                cluster.at(10_000, () -> cluster.state.refuse("rig-1", true));
                cluster.at(22_000, () -> cluster.state.refuse("rig-1", false));
            }
            case STATE_SERVICE_SLOW -> {
                cluster.at(10_000, () -> cluster.sim.maxExtraDelayMsByHost.put("state", 900L));
                cluster.at(24_000, cluster.sim.maxExtraDelayMsByHost::clear);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    @DisplayName("no controller returns an older status within milliseconds of an acceptance, end or cancellation")
    void controllersReturnNothingOlderWhenAskedRightAfterChange(Fault fault) {
        for (int seed = 0; seed < 3; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(700 + 10 * fault.ordinal() + seed, 0);
            cluster.users.askEverywhereAtOnce = true;
            List<String> ids = scheduleJobs(cluster, 6_000);
            scheduleFault(cluster, fault);
            cluster.sim.run(60_000);
            allJobsEndedAndControllersAgree(cluster, ids);
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    @DisplayName("a job cancelled, queried and resubmitted as its last task ends stays either done or cancelled")
    void jobHasOneFinalStatusWhenCancelledAsLastTaskEnds(Fault fault) {
        for (int seed = 0; seed < 3; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(800 + 10 * fault.ordinal() + seed, 0);
            cluster.users.askEverywhereAtOnce = true;
            cluster.users.cancelAtEndShare = 0.6;
            List<String> ids = scheduleJobs(cluster, 6_000);
            scheduleFault(cluster, fault);
            cluster.sim.run(60_000);
            allJobsEndedAndControllersAgree(cluster, ids);
        }
    }

    @Test
    @DisplayName("without faults every controller reports done 3 s after a job's last task, also to cancellations")
    void jobIsDoneAtEveryControllerThreeSecondsAfterLastTask() {
        SimulatedCluster cluster = new SimulatedCluster(790, 0);
        List<String> lateJobs = new ArrayList<>();
        cluster.checker.allCompleted = id -> cluster.at(
                cluster.sim.now + 3_000,
                () -> cluster.nodes.forEach(node -> {
                    cluster.users.askOnce(id, "cancel", node.index);
                    cluster.at(cluster.sim.now + 500, () -> {
                        if (!"done".equals(cluster.checker.lastStatusByJob.get(id))
                                && !cluster.checker.cancelAsked.contains(id)) {
                            lateJobs.add(id);
                        }
                    });
                }));
        List<String> ids = scheduleJobs(cluster, 6_000);
        cluster.sim.run(60_000);
        assertEquals(List.of(), lateJobs);
        allJobsEndedAndControllersAgree(cluster, ids);
        assertTrue(cluster.jobCountWithStatus("done") > JOB_COUNT / 2, "more than half of the jobs should be done");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    @DisplayName("controllers agree while ended jobs move into the history, also with few cached or after a restart")
    void controllersAgreeWhileEndedJobsMoveIntoHistory(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(880 + seed, 0);
        HistorySeeds.jobKeys(cluster, 3_000, 600, 1);
        cluster.users.askEverywhereAtOnce = true;
        List<String> ids = scheduleJobs(cluster, 36_000);
        for (int i = 0; i < 300; i++) {
            String id = SampleJobs.id(3_000 + i * 2);
            int nodeIndex = i % 3;
            cluster.at(30_000 + i * 100L, () -> {
                cluster.users.askOnce(id, "poll", nodeIndex);
                cluster.users.askOnce(id, "submit", (nodeIndex + 1) % 3);
            });
        }
        cluster.at(45_000, () -> crashIfUp(cluster.nodes.get((cluster.leader().index + 1) % 3), 150));
        cluster.at(50_000, () -> crashIfUp(cluster.leader(), 300));
        cluster.sim.run(110_000);
        assertTrue(cluster.state.keys("lr/job/").size() < 560, "some ended jobs should have moved into the history");
        allJobsEndedAndControllersAgree(cluster, ids);
        allJobsEndedAndControllersAgree(
                cluster,
                IntStream.range(0, 600).mapToObj(i -> SampleJobs.id(3_000 + i)).toList());
    }

    @Test
    @DisplayName("at every controller malformed jobs get 400, impossible ones 422, known ids their status for any body")
    void invalidSubmissionsGet400Or422AndKnownJobsKeepTheirStatus() {
        SimulatedCluster cluster = new SimulatedCluster(890, 0);
        cluster.sim.run(5_000);
        cluster.checker.specs.put(SampleJobs.id(1), SampleJobs.job(1, "blue", false, 1, 1, 5));
        for (ControllerNode node : cluster.nodes) {
            assertEquals(
                    node.index == 0 ? 201 : 200,
                    submit(cluster, node, InvalidSubmissions.validJob(SampleJobs.id(1))),
                    "a valid job should be accepted");
        }
        int number = 2;
        for (InvalidSubmissions.InvalidSubmission invalid : InvalidSubmissions.all("")) {
            String id = SampleJobs.id(number++);
            for (ControllerNode node : cluster.nodes) {
                assertEquals(
                        invalid.status(),
                        submit(cluster, node, invalid.body().deepCopy().put("id", id)),
                        invalid.what());
                assertEquals(
                        200,
                        submit(cluster, node, invalid.body().deepCopy().put("id", SampleJobs.id(1))),
                        invalid.what() + " of a known job");
            }
        }
        assertEquals(1, cluster.state.keys("lr/job/").size());
        for (String body : List.of("", "[]", "null", "{", "{\"id\":\"x\"}", "{\"id\":7}")) {
            assertEquals(400, cluster.users.post(cluster.nodes.get(0), body.getBytes()), body);
        }
    }

    private static int submit(SimulatedCluster cluster, ControllerNode node, ObjectNode body) {
        return cluster.users.post(node, Json.bytes(body));
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 300", "3, 1500"})
    @DisplayName(
            "480 one-task jobs, 4 a second, a quarter cancelled, all end at 15 writes/s, also with leader crashes and an outage")
    void allJobsEndWhenManySmallJobsMeetLowWriteRate(long seed, long backAfterMs) {
        SimulatedCluster cluster = new SimulatedCluster(new ClusterSetup(
                900 + seed,
                3,
                20,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                ClusterSetup.small(0, 0, 3).teams(),
                new Settings.State(200, 15, 8, 8)));
        cluster.enforceLimits();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 480; i++) {
            int number = FIRST_JOB + i;
            ids.add(SampleJobs.id(number));
            cluster.at(
                    8_000 + i * 250L,
                    () -> cluster.users.submit(
                            SampleJobs.job(number, number % 2 == 0 ? "red" : "blue", false, 1, 0.5, 3)));
            if (i % 4 == 1) {
                cluster.at(
                        8_000 + i * 250L + 2_000 + number % 7 * 300L,
                        () -> cluster.users.cancel(SampleJobs.id(number)));
            }
        }
        cluster.at(20_000, () -> cluster.users.submit(SampleJobs.job(50, "blue", false, 30, 1, 8)));
        cluster.at(40_000, () -> cluster.users.submit(SampleJobs.job(51, "red", false, 20, 1, 8)));
        ids.addAll(List.of(SampleJobs.id(50), SampleJobs.id(51)));
        if (backAfterMs > 0) {
            cluster.at(50_000, () -> crashIfUp(cluster.leader(), backAfterMs));
            cluster.at(70_000, () -> cluster.state.outage(true));
            cluster.at(78_000, () -> cluster.state.outage(false));
            cluster.at(100_000, () -> crashIfUp(cluster.leader(), backAfterMs));
        }
        cluster.sim.run(190_000);
        allJobsEndedAndControllersAgree(cluster, ids);
        assertEquals(482, cluster.users.admissions.result().accepted());
        if (backAfterMs == 0) {
            assertEquals(
                    0,
                    cluster.users.admissions.result().late(),
                    cluster.users.admissions.result().toString());
        }
        assertEquals(482, cluster.jobCountWithStatus("done") + cluster.jobCountWithStatus("cancelled"));
        for (ControllerNode node : cluster.nodes) {
            assertTrue(cluster.status(node).path("activeJobs").asInt() == 0, "no active job should be left");
        }
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("unreadable stored values are reported, never treated as empty, and other jobs continue")
    void unreadableStoredValuesAreReportedAndOtherJobsEnd() {
        SimulatedCluster cluster = new SimulatedCluster(920, 0);
        List<String> values = List.of(
                "{\"at\":1,\"spec\":{\"id\":\"job-000001\"}}",
                "{\"ended\":\"LOST\",\"takes\":1}",
                "\"x\"",
                "[]",
                "{\"ended\":\"ACCEPTED\"}");
        for (int i = 0; i < values.size(); i++) {
            cluster.state.seed(
                    "lr/job/" + SampleJobs.id(1 + i), Json.parse(values.get(i).getBytes()));
        }
        cluster.state.seed(
                "lr/op/r-1-1", Json.parse("{\"kind\":\"BUY\",\"state\":\"UNKNOWN\",\"request\":{}}".getBytes()));
        cluster.state.seed("lr/op/b-1-2", Json.parse("7".getBytes()));
        cluster.state.seed("lr/op/b-1-3", Json.parse("{\"kind\":\"RENT\",\"state\":\"DISPATCHED\"}".getBytes()));
        List<String> ids = scheduleJobs(cluster, 6_000);
        cluster.at(15_000, () -> crashIfUp(cluster.leader(), 200));
        cluster.sim.run(60_000);
        allJobsEndedAndControllersAgree(cluster, ids);
        for (ControllerNode node : cluster.nodes) {
            for (int i = 0; i < values.size(); i++) {
                assertEquals(
                        503, submit(cluster, node, InvalidSubmissions.validJob(SampleJobs.id(1 + i))), values.get(i));
            }
        }
        assertEquals(
                3,
                cluster.state.keys("lr/op/").stream()
                        .filter(key -> key.endsWith("-1-1") || key.endsWith("-1-2") || key.endsWith("-1-3"))
                        .count(),
                "unreadable operations should stay in the state service");
    }
}
