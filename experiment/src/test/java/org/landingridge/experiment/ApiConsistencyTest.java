package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.crash;
import static org.landingridge.experiment.ClusterAssertions.everybodySaysTheSame;
import static org.landingridge.experiment.ClusterAssertions.kept;

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

/** What users are told when they look closely, call off at the worst moment, or ask for odd things; {@code docs/meetings.md}. */
class ApiConsistencyTest {
    private static final int FIRST = 100;
    private static final int JOBS = 40;

    /** What befalls the service while users look. */
    enum Trouble {
        NONE,
        LEADER_ENDS,
        ALL_END,
        LEADER_REFUSED,
        OTHER_REFUSED,
        ANSWERS_LOST,
        WRITES_LATE,
        READ_AGAIN,
        SLOW
    }

    /** Short jobs of one to three tasks, one each half second; a quarter is called off after a while. */
    private static List<String> jobs(SimulatedCluster w, long fromMs) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int n = FIRST + i;
            ids.add(SampleJobs.id(n));
            w.at(fromMs + i * 500L, () -> w.users.submit(SampleJobs.job(n, "blue", false, 1 + n % 3, 1, 2 + n % 4)));
            if (i % 4 == 3) {
                w.at(fromMs + i * 500L + 1_500 + 100 * i, () -> w.users.cancel(SampleJobs.id(n)));
            }
        }
        return ids;
    }

    private static void befalls(SimulatedCluster w, Trouble trouble) {
        switch (trouble) {
            case NONE -> {}
            case LEADER_ENDS -> {
                w.at(12_000, () -> crash(w.leader(), 150));
                w.at(18_000, () -> crash(w.leader(), 6_000));
            }
            case ALL_END -> w.at(14_000, () -> w.nodes.forEach(n -> crash(n, 200 + 700L * n.index)));
            case LEADER_REFUSED -> {
                w.at(12_000, () -> w.refuse(w.leader(), 9_000));
                w.at(24_000, () -> w.refuse(w.leader(), 4_000));
            }
            case OTHER_REFUSED -> w.at(12_000, () -> w.refuse(w.nodes.get((w.leader().index + 1) % 3), 9_000));
            case ANSWERS_LOST -> {
                w.at(8_000, () -> w.state.lostAnswers(0.5, w.sim.random));
                w.at(25_000, () -> w.state.lostAnswers(0, null));
            }
            case WRITES_LATE -> {
                w.at(8_000, () -> w.state.lateWrites(0.5, w.sim.random));
                w.at(25_000, () -> w.state.lateWrites(0, null));
            }
            case READ_AGAIN -> {
                // Few changes are kept, and one controller cannot read for a while: it reads everything again.
                w.state.keepChanges(10);
                w.at(10_000, () -> w.state.refuse("rig-1", true));
                w.at(22_000, () -> w.state.refuse("rig-1", false));
            }
            case SLOW -> {
                w.at(10_000, () -> w.sim.slow.put("state", 900L));
                w.at(24_000, w.sim.slow::clear);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    @DisplayName(
            "asked at all controllers within milliseconds of an acceptance, an end, a cancellation: nobody tells anything older")
    void closeLooks(Trouble trouble) {
        for (int seed = 0; seed < 3; seed++) {
            SimulatedCluster w = new SimulatedCluster(700 + 10 * trouble.ordinal() + seed, 0);
            w.users.askEverywhereAtOnce = true;
            List<String> ids = jobs(w, 6_000);
            befalls(w, trouble);
            w.sim.run(60_000);
            everybodySaysTheSame(w, ids);
        }
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    @DisplayName(
            "called off, asked for and submitted again at the moment at which the last task ends: one of done and cancelled, for good")
    void theLastTaskEnds(Trouble trouble) {
        for (int seed = 0; seed < 3; seed++) {
            SimulatedCluster w = new SimulatedCluster(800 + 10 * trouble.ordinal() + seed, 0);
            w.users.askEverywhereAtOnce = true;
            w.users.cancelAtEndShare = 0.6;
            List<String> ids = jobs(w, 6_000);
            befalls(w, trouble);
            w.sim.run(60_000);
            everybodySaysTheSame(w, ids);
        }
    }

    @Test
    @DisplayName(
            "with no trouble a job is called done at every controller three seconds after its last task, and who cancels then hears done")
    void doneInTime() {
        SimulatedCluster w = new SimulatedCluster(790, 0);
        List<String> late = new ArrayList<>();
        w.checker.allCompleted = id -> w.at(
                w.sim.now + 3_000,
                () -> w.nodes.forEach(n -> {
                    w.users.askOnce(id, "cancel", n.index);
                    w.at(w.sim.now + 500, () -> {
                        if (!"done".equals(w.checker.told.get(id)) && !w.checker.cancelAsked.contains(id)) {
                            late.add(id);
                        }
                    });
                }));
        List<String> ids = jobs(w, 6_000);
        w.sim.run(60_000);
        assertEquals(List.of(), late);
        everybodySaysTheSame(w, ids);
        assertTrue(w.over("done") > JOBS / 2, "some are");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    @DisplayName(
            "looked at while ended jobs move into the history, at controllers that keep few of them and one that was just started")
    void whileJobsMove(long seed) {
        SimulatedCluster w = new SimulatedCluster(880 + seed, 0);
        HistorySeeds.jobKeys(w, 3_000, 600, 1);
        w.users.askEverywhereAtOnce = true;
        List<String> ids = jobs(w, 36_000);
        for (int i = 0; i < 300; i++) {
            String id = SampleJobs.id(3_000 + i * 2);
            int node = i % 3;
            w.at(30_000 + i * 100L, () -> {
                w.users.askOnce(id, "poll", node);
                w.users.askOnce(id, "submit", (node + 1) % 3);
            });
        }
        w.at(45_000, () -> crash(w.nodes.get((w.leader().index + 1) % 3), 150));
        w.at(50_000, () -> crash(w.leader(), 300));
        w.sim.run(110_000);
        assertTrue(w.state.keys("lr/job/").size() < 560, "some have moved");
        everybodySaysTheSame(w, ids);
        everybodySaysTheSame(
                w,
                IntStream.range(0, 600).mapToObj(i -> SampleJobs.id(3_000 + i)).toList());
    }

    @Test
    @DisplayName(
            "what is malformed gets 400 and what can never run 422, at every controller; a known job its state, whatever comes under its id")
    void oddRequests() {
        SimulatedCluster w = new SimulatedCluster(890, 0);
        w.sim.run(5_000);
        w.checker.specs.put(SampleJobs.id(1), SampleJobs.job(1, "blue", false, 1, 1, 5));
        for (ControllerNode n : w.nodes) {
            assertEquals(
                    n.index == 0 ? 201 : 200,
                    answer(w, n, InvalidSubmissions.lawful(SampleJobs.id(1))),
                    "a lawful one is accepted");
        }
        int number = 2;
        for (InvalidSubmissions.Odd odd : InvalidSubmissions.all("")) {
            String id = SampleJobs.id(number++);
            for (ControllerNode n : w.nodes) {
                assertEquals(odd.status(), answer(w, n, odd.body().deepCopy().put("id", id)), odd.what());
                assertEquals(
                        200,
                        answer(w, n, odd.body().deepCopy().put("id", SampleJobs.id(1))),
                        odd.what() + " of a known job");
            }
        }
        assertEquals(1, w.state.keys("lr/job/").size());
        for (String body : List.of("", "[]", "null", "{", "{\"id\":\"x\"}", "{\"id\":7}")) {
            assertEquals(400, w.users.post(w.nodes.get(0), body.getBytes()), body);
        }
    }

    private static int answer(SimulatedCluster w, ControllerNode node, ObjectNode body) {
        return w.users.post(node, Json.bytes(body));
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 300", "3, 1500"})
    @DisplayName(
            "one-task jobs, four a second for two minutes, a quarter cancelled, on fifteen changes a second; leader and state service go meanwhile")
    void manySmallJobs(long seed, long back) {
        SimulatedCluster w = new SimulatedCluster(new ClusterSetup(
                900 + seed,
                3,
                20,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                ClusterSetup.small(0, 0, 3).teams(),
                new Settings.State(200, 15, 8, 8)));
        w.enforceLimits();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 480; i++) {
            int n = FIRST + i;
            ids.add(SampleJobs.id(n));
            w.at(
                    8_000 + i * 250L,
                    () -> w.users.submit(SampleJobs.job(n, n % 2 == 0 ? "red" : "blue", false, 1, 0.5, 3)));
            if (i % 4 == 1) {
                w.at(8_000 + i * 250L + 2_000 + n % 7 * 300L, () -> w.users.cancel(SampleJobs.id(n)));
            }
        }
        w.at(20_000, () -> w.users.submit(SampleJobs.job(50, "blue", false, 30, 1, 8)));
        w.at(40_000, () -> w.users.submit(SampleJobs.job(51, "red", false, 20, 1, 8)));
        ids.addAll(List.of(SampleJobs.id(50), SampleJobs.id(51)));
        if (back > 0) {
            w.at(50_000, () -> crash(w.leader(), back));
            w.at(70_000, () -> w.state.outage(true));
            w.at(78_000, () -> w.state.outage(false));
            w.at(100_000, () -> crash(w.leader(), back));
        }
        w.sim.run(190_000);
        everybodySaysTheSame(w, ids);
        assertEquals(482, w.users.admissions.result().accepted());
        if (back == 0) {
            assertEquals(
                    0,
                    w.users.admissions.result().late(),
                    w.users.admissions.result().toString());
        }
        assertEquals(482, w.over("done") + w.over("cancelled"));
        for (ControllerNode n : w.nodes) {
            assertTrue(w.status(n).path("activeJobs").asInt() == 0, "nothing is left");
        }
        kept(w);
    }

    @Test
    @DisplayName("stored values that cannot be read are named, never taken for empty, and the rest goes on")
    void whatCannotBeRead() {
        SimulatedCluster w = new SimulatedCluster(920, 0);
        List<String> stored = List.of(
                "{\"at\":1,\"spec\":{\"id\":\"job-000001\"}}",
                "{\"ended\":\"LOST\",\"takes\":1}",
                "\"x\"",
                "[]",
                "{\"ended\":\"ACCEPTED\"}");
        for (int i = 0; i < stored.size(); i++) {
            w.state.seed(
                    "lr/job/" + SampleJobs.id(1 + i), Json.parse(stored.get(i).getBytes()));
        }
        w.state.seed("lr/op/r-1-1", Json.parse("{\"kind\":\"BUY\",\"state\":\"UNKNOWN\",\"request\":{}}".getBytes()));
        w.state.seed("lr/op/b-1-2", Json.parse("7".getBytes()));
        w.state.seed("lr/op/b-1-3", Json.parse("{\"kind\":\"RENT\",\"state\":\"DISPATCHED\"}".getBytes()));
        List<String> ids = jobs(w, 6_000);
        w.at(15_000, () -> crash(w.leader(), 200));
        w.sim.run(60_000);
        everybodySaysTheSame(w, ids);
        for (ControllerNode n : w.nodes) {
            for (int i = 0; i < stored.size(); i++) {
                assertEquals(503, answer(w, n, InvalidSubmissions.lawful(SampleJobs.id(1 + i))), stored.get(i));
            }
        }
        assertEquals(
                3,
                w.state.keys("lr/op/").stream()
                        .filter(k -> k.endsWith("-1-1") || k.endsWith("-1-2") || k.endsWith("-1-3"))
                        .count(),
                "they stay");
    }
}
