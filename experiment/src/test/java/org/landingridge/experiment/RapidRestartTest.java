package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.crash;
import static org.landingridge.experiment.ClusterAssertions.kept;
import static org.landingridge.experiment.ClusterAssertions.services;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.GroundTruth;

/** Processes and machines that are back within a fraction of a second, late copies of what was sent, pauses. */
class RapidRestartTest {
    private static final long LEASE_MS = 20_000;

    private static SimulatedCluster world(long seed, int controllers) {
        return new SimulatedCluster(new ClusterSetup(
                seed,
                controllers,
                40,
                3_000,
                2_000,
                LEASE_MS,
                Map.of("blue", new Settings.Team("blue", 8, 0, 0, 0), "red", new Settings.Team("red", 8, 10, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
    }

    /** Arrays that come, end, fail and are cancelled all the time, beside the services. */
    private static void load(SimulatedCluster w) {
        for (int i = 20; i < 60; i++) {
            int n = i;
            w.at(
                    1_000L + (i - 20) * 2_000,
                    () -> w.users.submit(
                            SampleJobs.job(n, n % 2 == 0 ? "red" : "blue", false, 1 + n % 5, 2, 2 + n % 4)));
            if (i % 4 == 0) {
                w.at(4_000L + (i - 20) * 2_000, () -> w.users.cancel(SampleJobs.id(n)));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {50, 300, 2_500})
    @DisplayName("a machine that is back under its old name is not taken for the one that held the tasks")
    void aMachineBeginsAnew(long back) {
        SimulatedCluster w = world(401, 3);
        services(w, 12);
        EmulatedWorker lost =
                w.workers.stream().filter(x -> x.running() != null).findFirst().orElseThrow();
        w.restart(lost, back);
        w.sim.run(30_000 + back + 8_000);
        assertEquals(12, w.checker.places.size(), "everything runs again long before a lease is over");
        assertEquals(0, w.metric(w.leader(), "landingridge_lapses"));
        w.sim.run(90_000);
        kept(w);
        assertEquals(12, w.checker.places.size());
    }

    @Test
    @DisplayName("the same machine five times in a row, in the middle of a takeover too")
    void aMachineAgainAndAgain() {
        SimulatedCluster w = world(402, 3);
        services(w, 12);
        String id = w.workers.stream()
                .filter(x -> x.running() != null)
                .findFirst()
                .orElseThrow()
                .box()
                .id;
        for (int i = 0; i < 5; i++) {
            w.at(
                    31_000 + i * 700L,
                    () -> w.workers.stream()
                            .filter(x -> x.box().id.equals(id))
                            .findFirst()
                            .ifPresent(x -> w.restart(x, 100)));
        }
        w.at(32_500, () -> w.leader().crash(100));
        w.sim.run(60_000);
        kept(w);
        assertEquals(12, w.checker.places.size());
    }

    @ParameterizedTest
    @CsvSource({"1, 3, 50", "2, 3, 300", "3, 7, 120", "4, 7, 500", "5, 3, 80", "6, 7, 50"})
    @DisplayName("controllers end and are back before anybody notices: one, the leader, all, in elections and outages")
    void controllersAreBackAtOnce(long seed, int controllers, long back) {
        SimulatedCluster w = world(410 + seed, controllers);
        services(w, 8);
        load(w);
        for (int i = 0; i < 5; i++) {
            w.at(34_000 + i * 400L, () -> crash(w.leader(), back));
            w.at(46_000 + i * 2_100L, () -> w.nodes.forEach(n -> crash(n, back + n.index * 30L)));
        }
        w.at(62_000, () -> w.state.outage(true));
        for (int i = 0; i < 3; i++) {
            w.at(64_000 + i * 1_700L, () -> crash(w.nodes.get(1), back));
        }
        w.at(70_000, () -> crash(w.leader(), back));
        w.at(74_000, () -> w.state.outage(false));
        w.sim.run(180_000);
        kept(w);
        for (int i = 20; i < 60; i++) {
            String told = w.checker.told.get(SampleJobs.id(i));
            assertTrue("done".equals(told) || "cancelled".equals(told), "job " + i + " is " + told);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "a third of all messages comes again late, between any two parties, with takeovers and lost machines beside")
    void lateCopiesOfEverything(long seed) {
        SimulatedCluster w = world(420 + seed, 3);
        w.sim.copied.put("", 0.3);
        w.sim.copied.put("users", 0.0);
        services(w, 8);
        load(w);
        w.at(40_000, () -> crash(w.leader(), 200));
        w.at(55_000, () -> w.restart(w.workers.get(0), 200));
        w.at(60_000, () -> w.workers.get(1).hang(true));
        w.at(70_000, () -> w.workers.get(1).hang(false));
        w.at(80_000, () -> w.nodes.forEach(n -> crash(n, 1_000)));
        w.sim.run(200_000);
        kept(w);
    }

    /**
     * The one command that may not be repeated: a start after the clear of its attempt runs the task once more. Attempts fail,
     * are cleared and placed elsewhere while copies of their starts are still on the way, token and session matching.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aStartComesAgainAfterItsClear(long seed) {
        SimulatedCluster w = world(430 + seed, 3);
        services(w, 4);
        w.workers.forEach(x -> w.sim.copied.put(x.box().id, 1.0));
        w.sim.copiedWithinMs = 40_000;
        for (int i = 0; i < 16; i++) {
            w.users.submit(SampleJobs.job(60 + i, "blue", false, 1, 1, 60));
        }
        for (int i = 0; i < 16; i++) {
            String task = SampleJobs.id(60 + i) + "/0";
            w.at(36_000 + i * 300L, () -> w.workers.forEach(x -> x.fail(task)));
        }
        w.sim.run(140_000);
        kept(w);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    @DisplayName("late reports of a machine's earlier life say nothing of what its present life runs")
    void lateReportsOfAnEarlierLife(long seed) {
        SimulatedCluster w = world(440 + seed, 3);
        services(w, 12);
        w.nodes.forEach(n -> w.sim.copied.put(n.host.name, 1.0));
        w.sim.copiedWithinMs = 12_000;
        List<EmulatedWorker> busy =
                w.workers.stream().filter(x -> x.running() != null).toList();
        for (int i = 0; i < busy.size(); i++) {
            EmulatedWorker x = busy.get(i);
            w.at(42_000 + i * 1_500L, () -> w.restart(x, 100));
        }
        w.sim.run(120_000);
        kept(w);
        assertEquals(12, w.checker.places.size());
    }

    @Test
    @DisplayName("a refusal that comes late does not cost the lead in an outage that all have promised to wait out")
    void aRefusalComesLate() {
        SimulatedCluster w = world(445, 3);
        services(w, 12);
        int starts = w.checker.starts;
        ControllerNode leader = w.leader();
        w.state.outage(true);
        String other = w.nodes.get((leader.index + 1) % 3).host.name;
        w.at(
                40_000,
                () -> leader.controller.handleMessage(new PeerMessage.PromiseRefusal(
                        other, w.status(leader).path("token").asLong(), 1)));
        w.at(30_000 + 3 * LEASE_MS, () -> w.state.outage(false));
        w.sim.run(60_000 + 3 * LEASE_MS);
        kept(w);
        assertEquals(starts, w.checker.starts, "nothing was lost");
    }

    @Test
    @DisplayName("signs of life of a leader of the past do not hide the present one: reports are still carried to it")
    void aSignOfLifeOfThePast() {
        SimulatedCluster w = world(446, 3);
        services(w, 12);
        int starts = w.checker.starts;
        ControllerNode leader = w.leader();
        w.workers.forEach(x -> w.sim.cut(leader.host.name, x.box().id));
        w.nodes.stream().filter(n -> n != leader).forEach(n -> {
            PeerMessage late = new PeerMessage.RunningCounts(
                    w.nodes.stream()
                            .filter(o -> o != n && o != leader)
                            .findFirst()
                            .orElseThrow()
                            .host
                            .name,
                    Map.of(),
                    false);
            for (long t = 30_000; t < 30_000 + 2 * LEASE_MS; t += 50) {
                w.at(t, () -> n.controller.handleMessage(late));
            }
        });
        w.sim.run(30_000 + 2 * LEASE_MS);
        kept(w);
        assertEquals(starts, w.checker.starts, "no lease ran out");
    }

    @Test
    @DisplayName("a leader that stood still for less than its hold takes nobody for silent")
    void aLeaderStandsStill() {
        SimulatedCluster w = world(450, 3);
        services(w, 12);
        int starts = w.checker.starts;
        int[] asked = new int[1];
        w.checker.orders =
                (order, machine, attempt, pool, repeated) -> asked[0] += order == GroundTruth.Order.CALL ? 1 : 0;
        for (int i = 0; i < 6; i++) {
            w.at(31_000 + i * 5_290L, () -> w.leader().host.freeze(2_300));
        }
        w.sim.run(80_000);
        assertEquals(0, asked[0], "machines that were asked for a silence that was the leader's own");
        kept(w);
        assertEquals(starts, w.checker.starts, "nothing was run again");
        assertEquals(0, w.metric(w.leader(), "landingridge_settled"));
    }

    @ParameterizedTest
    @ValueSource(longs = {4_000, 12_000, 30_000})
    @DisplayName(
            "a leader that stood still for longer than its hold, and others too, gives nothing from its former right")
    void longerThanTheHold(long ms) {
        SimulatedCluster w = world(451, 3);
        services(w, 8);
        load(w);
        w.at(33_300, () -> w.leader().host.freeze(ms));
        w.at(70_100, () -> w.nodes.forEach(n -> n.host.freeze(ms / 2)));
        w.sim.run(180_000);
        kept(w);
        assertNotEquals(null, w.leader());
    }
}
