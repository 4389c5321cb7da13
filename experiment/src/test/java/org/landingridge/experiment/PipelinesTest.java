package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.upgrade.Capabilities;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/** Pipelines of jobs that await each other, through failures of every part; every rule is checked throughout. */
class PipelinesTest {
    private static final int FIRST = 100_000;
    private static final Settings.State BEFORE = new Settings.State(200, 20, 4, 8);
    private static final Settings.State AFTER = new Settings.State(200, 15, 2, 4);

    private static final Map<String, Settings.Team> TEAMS = Map.of("blue", new Settings.Team("blue", 800, 0, 0, 0));

    private final List<String> ids = new ArrayList<>();
    private int number = FIRST;

    private JobSpec stage(int tasks, List<String> awaits) {
        JobSpec spec = SampleJobs.job(number++, "blue", false, tasks, 1, 3).awaiting(awaits);
        ids.add(spec.id());
        return spec;
    }

    /** One pipeline: a first job, two or three that need it, one that needs these; its user may call one of them off. */
    private void pipeline(SimulatedCluster w, long atMs) {
        JobSpec first = stage(3, List.of());
        List<String> middle = new ArrayList<>();
        List<JobSpec> all = new ArrayList<>(List.of(first));
        for (int i = 0; i < 2 + w.sim.random.nextInt(2); i++) {
            JobSpec spec = stage(4, List.of(first.id()));
            middle.add(spec.id());
            all.add(spec);
        }
        all.add(stage(2, middle));
        all.forEach(spec -> w.at(atMs, () -> w.users.submitWhenAwaitedAreAccepted(spec)));
        if (w.sim.random.nextInt(4) == 0) {
            String called = all.get(w.sim.random.nextInt(all.size())).id();
            w.at(atMs + w.sim.random.nextInt(12_000), () -> cancelOnceAccepted(w, called));
        }
    }

    private static void cancelOnceAccepted(SimulatedCluster w, String id) {
        if (w.checker.told.containsKey(id)) {
            w.users.cancel(id);
        } else {
            w.at(w.sim.now + 100, () -> cancelOnceAccepted(w, id));
        }
    }

    private SimulatedCluster world(long seed, int pipelines, long everyMs) {
        SimulatedCluster w = new SimulatedCluster(seed, 0);
        for (int i = 0; i < pipelines; i++) {
            pipeline(w, 2_000 + i * everyMs);
        }
        return w;
    }

    private void allOver(SimulatedCluster w, long untilMs) {
        w.sim.run(untilMs);
        ClusterAssertions.everybodySaysTheSame(w, ids);
        assertTrue(w.over("done") > ids.size() / 3, w.over("done") + " of " + ids.size() + " done");
        assertTrue(w.over("cancelled") > 0, "some are cancelled");
        for (String id : w.state.keys(Keys.JOBS)) {
            assertTrue(w.state.value(id).has("ended"), id + " states its end");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void stagesFollowEachOther(long seed) {
        SimulatedCluster w = world(seed, 20, 4_000);
        allOver(w, 240_000);
    }

    /** The leader ends at moments spread over every step of a stage's end and the next one's beginning. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void leadersEndInBetween(long seed) {
        SimulatedCluster w = world(seed, 20, 4_000);
        for (int i = 0; i < 9; i++) {
            w.at(
                    9_000 + i * 9_000L + seed * 131 + i * 17L,
                    () -> ClusterAssertions.crash(w.leader(), 500 + w.sim.random.nextInt(3_000)));
        }
        allOver(w, 300_000);
    }

    /** Everything is down, and then the state service for longer than a cancellation may take. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void outagesAndCrashesOfAll(long seed) {
        SimulatedCluster w = world(seed, 20, 4_000);
        w.at(14_000 + seed * 100, () -> w.nodes.forEach(n -> ClusterAssertions.crash(n, 1_500)));
        w.at(32_000, () -> w.state.outage(true));
        w.at(32_000 + ClusterSetup.CANCEL_MS + 6_000, () -> w.state.outage(false));
        w.at(70_000, () -> w.refuse(w.leader(), 9_000));
        allOver(w, 300_000);
    }

    /** Writes are carried out late and answers get lost, of the users' as of the leader's. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33})
    void lateWritesAndLostAnswers(long seed) {
        SimulatedCluster w = world(seed, 16, 5_000);
        w.at(5_000, () -> w.state.lateWrites(0.15, w.sim.random));
        w.at(60_000, () -> w.state.lateWrites(0, null));
        w.at(60_000, () -> w.sim.lostAnswers.put("state", 0.2));
        w.at(95_000, () -> w.sim.lostAnswers.clear());
        w.at(50_000, () -> ClusterAssertions.crash(w.leader(), 800));
        allOver(w, 360_000);
    }

    /** An earlier version has filled its pages up to larger limits; they are split by the next, which meets the fall of the limits. */
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void limitsFallAfterAnUpgrade(long seed) {
        SimulatedCluster w = new SimulatedCluster(
                new ClusterSetup(seed, 3, 160, 3_000, ClusterSetup.REPORT_MS, ClusterSetup.LEASE_MS, TEAMS, BEFORE));
        w.enforceLimits();
        for (int i = 0; i < 40; i++) {
            JobSpec service = SampleJobs.job(i, "blue", true, 3, 4, 0);
            w.at(200 + i * 100L, () -> w.users.submit(service));
        }
        w.sim.run(39_000);
        long larger = w.state.keys(Keys.ROOT).stream()
                .filter(k -> Json.bytes(w.state.value(k)).length > AFTER.valueBytes())
                .count();
        assertTrue(larger > 0, "the earlier version fills its pages");
        w.upgrade(40_000, 8_000, 1_000, AFTER);
        for (int i = 0; i < 10; i++) {
            pipeline(w, 75_000 + i * 4_000L);
        }
        w.at(62_000 + seed * 37, () -> ClusterAssertions.crash(w.leader(), 1_500));
        w.at(70_000, () -> w.limitsFall(AFTER));
        w.at(90_000, () -> ClusterAssertions.crash(w.leader(), 1_500));
        w.at(110_000, () -> w.nodes.forEach(n -> ClusterAssertions.crash(n, 1_000)));
        w.sim.run(260_000);
        ClusterAssertions.everybodySaysTheSame(w, ids);
        assertEquals(120, w.checker.places.size(), "every replica runs");
        for (String key : w.state.keys(Keys.ROOT)) {
            assertTrue(Json.bytes(w.state.value(key)).length <= AFTER.valueBytes(), key + " fits");
        }
    }

    /** Until every controller is known to heed what a job awaits, no such job is accepted; all others are. */
    @Test
    void noPipelinesBeforeAllKnowThem() {
        SimulatedCluster w = new SimulatedCluster(51, 0);
        w.state.seed(Capabilities.ROOT + "rig-2", Json.object().put("history", 1));
        w.nodes.get(2).crash(60_000);
        JobSpec first = stage(1, List.of());
        JobSpec second = stage(1, List.of(first.id()));
        w.at(1_000, () -> w.users.submit(first));
        w.at(20_000, () -> w.users.submitWhenAwaitedAreAccepted(second));
        w.sim.run(60_000);
        assertEquals("done", w.checker.told.get(first.id()));
        assertTrue(w.state.value(Keys.JOBS + second.id()) == null, "not accepted yet");
        w.sim.run(120_000);
        assertEquals("done", w.checker.told.get(second.id()));
        ClusterAssertions.kept(w);
    }

    /** What a submission names: nothing known, itself, a service, a cancelled job, one that is done and in the history. */
    @Test
    void whatMayBeNamed() {
        SimulatedCluster w = new SimulatedCluster(61, 0);
        HistorySeeds.segments(w.state, 500_000, 8);
        JobSpec service = SampleJobs.job(1, "blue", true, 1, 1, 0);
        JobSpec called = SampleJobs.job(2, "blue", false, 1, 1, 60);
        w.at(1_000, () -> w.users.submit(service));
        w.at(1_000, () -> w.users.submit(called));
        w.at(9_000, () -> w.users.cancel(called.id()));
        w.sim.run(20_000);
        assertEquals(422, post(w, 3, SampleJobs.id(99)));
        assertEquals(422, post(w, 4, SampleJobs.id(4)));
        assertEquals(422, post(w, 5, service.id()));
        w.checker.cancelAsked.add(SampleJobs.id(6));
        assertEquals(201, post(w, 6, called.id()));
        assertEquals(201, post(w, 7, SampleJobs.id(500_001)));
        w.checker.cancelAsked.add(SampleJobs.id(8));
        assertEquals(201, post(w, 8, SampleJobs.id(500_000)));
        // Known by now: 200, whatever it names.
        assertEquals(200, post(w, 7, SampleJobs.id(99)));
        w.sim.run(40_000);
        for (int i = 6; i <= 8; i++) {
            w.users.poll(SampleJobs.id(i));
        }
        w.sim.run(43_000);
        assertEquals("cancelled", w.checker.told.get(SampleJobs.id(6)));
        assertEquals("done", w.checker.told.get(SampleJobs.id(7)));
        assertEquals("cancelled", w.checker.told.get(SampleJobs.id(8)));
        ClusterAssertions.kept(w);
    }

    /**
     * What a job awaits was cancelled and has moved into the history before the controllers began: whoever is asked says so from its
     * first answer on, although no table keeps the awaited job.
     */
    @Test
    void whatATableDoesNotKeepIsLookedUpBeforeAnAnswer() {
        SimulatedCluster w = new SimulatedCluster(71, 0);
        HistorySeeds.segments(w.state, 500_000, 8);
        JobSpec waiting = SampleJobs.job(9, "blue", false, 1, 1, 1).awaiting(List.of(SampleJobs.id(500_000)));
        w.state.seed(Keys.JOBS + waiting.id(), StoredJobCodec.accepted(waiting, 0));
        w.checker.specs.put(waiting.id(), waiting);
        w.checker.cancelAsked.add(waiting.id());
        for (long t = 200; t < 3_000; t += 20) {
            int node = (int) (t / 20 % 3);
            w.at(t, () -> w.users.askOnce(waiting.id(), "poll", node));
            w.at(t, () -> assertTrue(!"accepted".equals(w.checker.told.get(waiting.id())), "called queued"));
        }
        w.sim.run(10_000);
        assertEquals("cancelled", w.checker.told.get(waiting.id()));
        ClusterAssertions.kept(w);
    }

    private static int post(SimulatedCluster w, int number, String awaited) {
        JobSpec spec = SampleJobs.job(number, "blue", false, 1, 1, 1);
        w.checker.specs.putIfAbsent(spec.id(), spec);
        return w.users.post(
                w.nodes.get(number % 3),
                Json.bytes(spec.awaiting(List.of(awaited)).json()));
    }
}
