package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;
import static org.landingridge.experiment.ClusterAssertions.crashIfUp;
import static org.landingridge.experiment.ClusterAssertions.startServices;

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

/**
 * Guards against state from before a restart or a pause being taken as current. Machines and controllers return within fractions
 * of a second under the same name, copies of old messages arrive late, and leaders pause for less or more than their hold time.
 */
class RapidRestartTest {
    private static final long LEASE_MS = 20_000;

    private static SimulatedCluster newCluster(long seed, int controllers) {
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

    /** Schedules array jobs that are submitted, end, fail and are cancelled all the time, in addition to the services. */
    private static void scheduleLoad(SimulatedCluster cluster) {
        for (int i = 20; i < 60; i++) {
            int number = i;
            cluster.at(
                    1_000L + (i - 20) * 2_000,
                    () -> cluster.users.submit(SampleJobs.job(
                            number, number % 2 == 0 ? "red" : "blue", false, 1 + number % 5, 2, 2 + number % 4)));
            if (i % 4 == 0) {
                cluster.at(4_000L + (i - 20) * 2_000, () -> cluster.users.cancel(SampleJobs.id(number)));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {50, 300, 2_500})
    @DisplayName("a machine that restarts under its old name is not taken for the holder of its former tasks")
    void tasksRunAgainBeforeLeaseExpiryWhenTheirMachineRestarts(long backAfterMs) {
        SimulatedCluster cluster = newCluster(401, 3);
        startServices(cluster, 12);
        EmulatedWorker restartedWorker = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .findFirst()
                .orElseThrow();
        cluster.restart(restartedWorker, backAfterMs);
        cluster.sim.run(30_000 + backAfterMs + 8_000);
        assertEquals(
                12, cluster.checker.locationByTask.size(), "all tasks should run again long before a lease expires");
        assertEquals(0, cluster.metric(cluster.leader(), "landingridge_lapses"));
        cluster.sim.run(90_000);
        assertInvariantsHold(cluster);
        assertEquals(12, cluster.checker.locationByTask.size());
    }

    @Test
    @DisplayName("tasks run again after one machine restarts five times in a row, also during a takeover")
    void tasksRunAgainWhenMachineRestartsFiveTimesDuringTakeover() {
        SimulatedCluster cluster = newCluster(402, 3);
        startServices(cluster, 12);
        String machineId = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .findFirst()
                .orElseThrow()
                .box()
                .id;
        for (int i = 0; i < 5; i++) {
            cluster.at(
                    31_000 + i * 700L,
                    () -> cluster.workers.stream()
                            .filter(worker -> worker.box().id.equals(machineId))
                            .findFirst()
                            .ifPresent(worker -> cluster.restart(worker, 100)));
        }
        cluster.at(32_500, () -> cluster.leader().crash(100));
        cluster.sim.run(60_000);
        assertInvariantsHold(cluster);
        assertEquals(12, cluster.checker.locationByTask.size());
    }

    @ParameterizedTest
    @CsvSource({"1, 3, 50", "2, 3, 300", "3, 7, 120", "4, 7, 500", "5, 3, 80", "6, 7, 50"})
    @DisplayName(
            "all jobs end when one controller, the leader or all of them restart unnoticed, also in elections and outages")
    void allJobsEndWhenControllersRestartWithinMilliseconds(long seed, int controllers, long backAfterMs) {
        SimulatedCluster cluster = newCluster(410 + seed, controllers);
        startServices(cluster, 8);
        scheduleLoad(cluster);
        for (int i = 0; i < 5; i++) {
            cluster.at(34_000 + i * 400L, () -> crashIfUp(cluster.leader(), backAfterMs));
            cluster.at(
                    46_000 + i * 2_100L,
                    () -> cluster.nodes.forEach(node -> crashIfUp(node, backAfterMs + node.index * 30L)));
        }
        cluster.at(62_000, () -> cluster.state.outage(true));
        for (int i = 0; i < 3; i++) {
            cluster.at(64_000 + i * 1_700L, () -> crashIfUp(cluster.nodes.get(1), backAfterMs));
        }
        cluster.at(70_000, () -> crashIfUp(cluster.leader(), backAfterMs));
        cluster.at(74_000, () -> cluster.state.outage(false));
        cluster.sim.run(180_000);
        assertInvariantsHold(cluster);
        for (int i = 20; i < 60; i++) {
            String status = cluster.checker.lastStatusByJob.get(SampleJobs.id(i));
            assertTrue("done".equals(status) || "cancelled".equals(status), "job " + i + " is " + status);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "late copies of 30% of the messages between any hosts but users break no invariant, with takeovers and lost machines")
    void invariantsHoldWhenLateCopiesOfMessagesArrive(long seed) {
        SimulatedCluster cluster = newCluster(420 + seed, 3);
        cluster.sim.copyShareByHost.put("", 0.3);
        cluster.sim.copyShareByHost.put("users", 0.0);
        startServices(cluster, 8);
        scheduleLoad(cluster);
        cluster.at(40_000, () -> crashIfUp(cluster.leader(), 200));
        cluster.at(55_000, () -> cluster.restart(cluster.workers.get(0), 200));
        cluster.at(60_000, () -> cluster.workers.get(1).hang(true));
        cluster.at(70_000, () -> cluster.workers.get(1).hang(false));
        cluster.at(80_000, () -> cluster.nodes.forEach(node -> crashIfUp(node, 1_000)));
        cluster.sim.run(200_000);
        assertInvariantsHold(cluster);
    }

    /**
     * A start is the only command that must not be repeated: a copy that arrives after the attempt was cleared would run the task
     * once more. Attempts fail, are cleared and are placed elsewhere while copies of their start commands, with matching token
     * and session, are still in transit.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void lateCopyOfStartDoesNotRunClearedTaskAgain(long seed) {
        SimulatedCluster cluster = newCluster(430 + seed, 3);
        startServices(cluster, 4);
        cluster.workers.forEach(worker -> cluster.sim.copyShareByHost.put(worker.box().id, 1.0));
        cluster.sim.maxCopyDelayMs = 40_000;
        for (int i = 0; i < 16; i++) {
            cluster.users.submit(SampleJobs.job(60 + i, "blue", false, 1, 1, 60));
        }
        for (int i = 0; i < 16; i++) {
            String task = SampleJobs.id(60 + i) + "/0";
            cluster.at(36_000 + i * 300L, () -> cluster.workers.forEach(worker -> worker.fail(task)));
        }
        cluster.sim.run(140_000);
        assertInvariantsHold(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    @DisplayName("late heartbeats from before a machine's restart don't count as reports of its current tasks")
    void lateHeartbeatsFromBeforeRestartAreIgnored(long seed) {
        SimulatedCluster cluster = newCluster(440 + seed, 3);
        startServices(cluster, 12);
        cluster.nodes.forEach(node -> cluster.sim.copyShareByHost.put(node.host.name, 1.0));
        cluster.sim.maxCopyDelayMs = 12_000;
        List<EmulatedWorker> busyWorkers = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .toList();
        for (int i = 0; i < busyWorkers.size(); i++) {
            EmulatedWorker worker = busyWorkers.get(i);
            cluster.at(42_000 + i * 1_500L, () -> cluster.restart(worker, 100));
        }
        cluster.sim.run(120_000);
        assertInvariantsHold(cluster);
        assertEquals(12, cluster.checker.locationByTask.size());
    }

    @Test
    @DisplayName("a late refusal does not end leadership in an outage that all controllers have promised to wait out")
    void leaderKeepsLeadershipWhenRefusalArrivesLateInOutage() {
        SimulatedCluster cluster = newCluster(445, 3);
        startServices(cluster, 12);
        int startsBefore = cluster.checker.starts;
        ControllerNode leader = cluster.leader();
        cluster.state.outage(true);
        String follower = cluster.nodes.get((leader.index + 1) % 3).host.name;
        cluster.at(
                40_000,
                () -> leader.controller.handleMessage(new PeerMessage.PromiseRefusal(
                        follower, cluster.status(leader).path("token").asLong(), 1)));
        cluster.at(30_000 + 3 * LEASE_MS, () -> cluster.state.outage(false));
        cluster.sim.run(60_000 + 3 * LEASE_MS);
        assertInvariantsHold(cluster);
        assertEquals(startsBefore, cluster.checker.starts, "no task should start again");
    }

    @Test
    @DisplayName("heartbeats are still forwarded to the current leader when old messages of a former leader arrive")
    void heartbeatsAreForwardedToLeaderWhenOldPeerMessagesArrive() {
        SimulatedCluster cluster = newCluster(446, 3);
        startServices(cluster, 12);
        int startsBefore = cluster.checker.starts;
        ControllerNode leader = cluster.leader();
        cluster.workers.forEach(worker -> cluster.sim.cut(leader.host.name, worker.box().id));
        cluster.nodes.stream().filter(node -> node != leader).forEach(node -> {
            PeerMessage staleMessage = new PeerMessage.RunningCounts(
                    cluster.nodes.stream()
                            .filter(other -> other != node && other != leader)
                            .findFirst()
                            .orElseThrow()
                            .host
                            .name,
                    Map.of(),
                    false);
            for (long atMs = 30_000; atMs < 30_000 + 2 * LEASE_MS; atMs += 50) {
                cluster.at(atMs, () -> node.controller.handleMessage(staleMessage));
            }
        });
        cluster.sim.run(30_000 + 2 * LEASE_MS);
        assertInvariantsHold(cluster);
        assertEquals(startsBefore, cluster.checker.starts, "no lease should expire and no task should start again");
    }

    @Test
    @DisplayName("a leader that pauses for less than its hold time treats no machine as silent")
    void machinesAreNotTreatedAsSilentWhenLeaderPausesForLessThanHold() {
        SimulatedCluster cluster = newCluster(450, 3);
        startServices(cluster, 12);
        int startsBefore = cluster.checker.starts;
        int[] calls = new int[1];
        cluster.checker.orders =
                (order, machine, attempt, pool, repeated) -> calls[0] += order == GroundTruth.Order.CALL ? 1 : 0;
        for (int i = 0; i < 6; i++) {
            cluster.at(31_000 + i * 5_290L, () -> cluster.leader().host.freeze(2_300));
        }
        cluster.sim.run(80_000);
        assertEquals(0, calls[0], "the leader called machines as silent after its own pause");
        assertInvariantsHold(cluster);
        assertEquals(startsBefore, cluster.checker.starts, "no task should start again");
        assertEquals(0, cluster.metric(cluster.leader(), "landingridge_settled"));
    }

    @ParameterizedTest
    @ValueSource(longs = {4_000, 12_000, 30_000})
    @DisplayName(
            "a leader that pauses for longer than its hold time grants nothing under its expired leadership, others pausing too")
    void invariantsHoldWhenLeaderPausesForLongerThanHold(long pauseMs) {
        SimulatedCluster cluster = newCluster(451, 3);
        startServices(cluster, 8);
        scheduleLoad(cluster);
        cluster.at(33_300, () -> cluster.leader().host.freeze(pauseMs));
        cluster.at(70_100, () -> cluster.nodes.forEach(node -> node.host.freeze(pauseMs / 2)));
        cluster.sim.run(180_000);
        assertInvariantsHold(cluster);
        assertNotEquals(null, cluster.leader());
    }
}
