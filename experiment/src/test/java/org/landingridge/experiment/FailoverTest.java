package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.kept;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.emulator.EmulatedWorker;

/**
 * Runs three controllers with an emulated cloud, state service and workers through one kind of fault each: crashes, outages,
 * cuts, hanging machines and lost answers. Guards against lost, repeated and duplicate tasks; the invariants are checked throughout.
 */
class FailoverTest {
    /** Submits a mixed load: 4 services, and 16 batch jobs of which some are cancelled. */
    private static void load(SimulatedCluster w) {
        for (int i = 0; i < 4; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 1, 1, 0));
        }
        for (int i = 10; i < 26; i++) {
            int n = i;
            w.at(
                    500L + (i - 10) * 1_500,
                    () -> w.users.submit(
                            SampleJobs.job(n, n % 2 == 0 ? "red" : "blue", false, 1 + n % 5, 2, 2 + n % 4)));
            if (i % 5 == 0) {
                w.at(3_000L + (i - 10) * 1_500, () -> w.users.cancel(String.format("job-%06d", n)));
            }
        }
    }

    private static void allOver(SimulatedCluster w) {
        kept(w);
        for (int i = 10; i < 26; i++) {
            String told = w.checker.told.get(String.format("job-%06d", i));
            assertTrue("done".equals(told) || "cancelled".equals(told), "job " + i + " is " + told);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(w.running(String.format("job-%06d", i), 1), "service " + i + " runs");
        }
    }

    @Test
    void quietDay() {
        SimulatedCluster w = new SimulatedCluster(1, 10);
        load(w);
        w.sim.run(90_000);
        allOver(w);
        assertTrue(w.over("done") >= 12);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void leaderCrashesAgainAndAgain(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        load(w);
        for (int i = 1; i <= 4; i++) {
            w.at(i * 9_000L + seed * 313, () -> {
                if (w.leader() != null && w.leader().host.up) {
                    w.leader().crash(2_500);
                }
            });
        }
        w.sim.run(150_000);
        allOver(w);
    }

    /** Guards against a restarted controller that reads finished tasks before their jobs and starts all of them again. */
    @Test
    void aFreshLeaderKnowsWhatIsDone() {
        SimulatedCluster w = new SimulatedCluster(5, 10);
        w.cloud.capacity = 1;
        w.users.submit(SampleJobs.job(50, "red", false, 10, 2, 4));
        w.at(16_000, () -> w.nodes.forEach(n -> n.crash(4_000)));
        w.at(15_900, () -> assertTrue(w.checker.completed.size() >= 4, w.checker.completed + " by now"));
        w.sim.run(120_000);
        kept(w);
        assertEquals("done", w.checker.told.get("job-000050"));
        assertEquals(0, w.checker.repeats, "finished tasks that were started again");
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void allControllersCrashWithinAnOutage(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        load(w);
        w.at(15_000, () -> w.state.outage(true));
        w.at(20_000 + seed * 100, () -> w.nodes.forEach(n -> n.crash(2_000)));
        w.at(26_000, () -> w.state.outage(false));
        w.sim.run(150_000);
        allOver(w);
    }

    @Test
    @DisplayName("an outage of the state service longer than the lease loses no task")
    void outageLongerThanTheLease() {
        SimulatedCluster w = new SimulatedCluster(21, 0);
        for (int i = 0; i < 4; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 1, 1, 0));
        }
        w.sim.run(20_000);
        int starts = w.checker.starts;
        assertEquals(4, w.checker.places.size());
        w.state.outage(true);
        w.sim.run(20_000 + 3 * ClusterSetup.LEASE_MS);
        w.state.outage(false);
        w.sim.run(60_000 + 3 * ClusterSetup.LEASE_MS);
        assertEquals(starts, w.checker.starts, "nothing was lost, so nothing was started again");
        kept(w);
    }

    @Test
    @DisplayName("a leader refused by the state service alone hands over, and no task is lost")
    void refusedAlone() {
        SimulatedCluster w = new SimulatedCluster(22, 0);
        for (int i = 0; i < 4; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 1, 1, 0));
        }
        w.sim.run(20_000);
        ControllerNode before = w.leader();
        int starts = w.checker.starts;
        w.state.refuse(before.host.name, true);
        w.sim.run(26_000);
        assertNotNull(w.leader());
        assertNotEquals(before, w.leader());
        w.sim.run(50_000);
        assertEquals(starts, w.checker.starts);
        kept(w);
    }

    @Test
    @DisplayName("a leader that only the workers cannot reach keeps their leases through the others")
    void cutFromWorkers() {
        SimulatedCluster w = new SimulatedCluster(23, 0);
        for (int i = 0; i < 4; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 1, 1, 0));
        }
        w.sim.run(20_000);
        int starts = w.checker.starts;
        w.workers.forEach(x -> w.sim.cut(w.leader().host.name, x.box().id));
        w.sim.run(20_000 + 4 * ClusterSetup.LEASE_MS);
        assertEquals(starts, w.checker.starts);
        w.sim.heal();
        w.sim.run(40_000 + 4 * ClusterSetup.LEASE_MS);
        assertEquals(starts, w.checker.starts);
        kept(w);
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void leaderIsCutOffAndItsMessagesArriveLate(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        load(w);
        w.at(12_000 + seed * 97, () -> {
            ControllerNode leader = w.leader();
            if (leader != null) {
                w.sim.cut(leader.host.name, "state");
                w.nodes.forEach(n -> w.sim.cut(leader.host.name, n.host.name));
                if (seed % 2 == 0) {
                    w.workers.forEach(x -> w.sim.cut(leader.host.name, x.box().id));
                }
            }
        });
        w.at(34_000, w.sim::heal);
        w.sim.run(150_000);
        allOver(w);
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44})
    void answersOfStateAndCloudGetLost(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        w.sim.lostAnswers.put("state", 0.1);
        w.sim.lostAnswers.put("cloud", 0.4);
        load(w);
        w.at(60_000, w.sim.lostAnswers::clear);
        w.sim.run(180_000);
        allOver(w);
    }

    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53, 54})
    void workersHangAndGoOn(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        load(w);
        for (int i = 0; i < 5; i++) {
            int n = i;
            w.at(9_000 + i * 6_000L, () -> {
                if (!w.workers.isEmpty()) {
                    EmulatedWorker x = w.workers.get((int) ((seed + n) % w.workers.size()));
                    x.hang(true);
                    w.at(w.sim.now + 3_000 + n * 3_500L, () -> x.hang(false));
                }
            });
        }
        w.sim.run(150_000);
        allOver(w);
    }

    @ParameterizedTest
    @ValueSource(longs = {55, 56, 57})
    @DisplayName("what runs on a machine that hangs through a takeover is not started elsewhere")
    void workerHangsThroughATakeover(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 0);
        for (int i = 0; i < 6; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 1, 2, 0));
        }
        w.at(20_000, () -> {
            w.workers.stream()
                    .filter(x -> w.checker.places.values().stream().anyMatch(p -> p.startsWith(x.box().id + "@")))
                    .forEach(x -> x.hang(true));
            w.leader().crash(20_000);
        });
        w.at(26_500, () -> w.workers.forEach(x -> x.hang(false)));
        w.sim.run(80_000);
        kept(w);
        assertEquals(6, w.checker.places.size());
    }

    @ParameterizedTest
    @ValueSource(longs = {58, 59, 60})
    @DisplayName("what this leader has seen on a fenced machine is placed again while the census waits for another")
    void censusWaitsOnlyForWhatItDoesNotKnow(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 24);
        for (int i = 0; i < 8; i++) {
            w.users.submit(SampleJobs.job(i, "red", true, 1, 1, 0));
        }
        w.sim.run(20_000);
        EmulatedWorker silent = w.workers.get(0);
        EmulatedWorker failing = w.workers.stream()
                .filter(x -> x != silent && x.running() != null)
                .findFirst()
                .orElseThrow();
        silent.hang(true);
        w.leader().crash(2_000);
        w.sim.run(24_500);
        String task = failing.running();
        failing.fail(task);
        w.sim.run(26_500);
        assertTrue(w.running(task.substring(0, task.indexOf('/')), 1), task + " runs again before the lease is over");
        silent.hang(false);
        w.sim.run(60_000);
        kept(w);
    }

    @Test
    void machinesAreTakenInAWaveWhileTheLeaderCrashes() {
        SimulatedCluster w = new SimulatedCluster(61, 10);
        load(w);
        w.at(16_000, () -> {
            List.copyOf(w.cloud.boxes.values()).stream().filter(b -> b.spot).forEach(b -> w.cloud.delete(b.id));
            w.leader().crash(3_000);
        });
        w.sim.run(150_000);
        allOver(w);
    }

    @Test
    @DisplayName("a rent whose answer was lost when its leader crashed brings its machines once")
    void crashBetweenRentAndRecord() {
        SimulatedCluster w = new SimulatedCluster(71, 0);
        w.at(3_000, () -> w.sim.lostAnswers.put("cloud", 1.0));
        w.at(3_000, () -> w.users.submit(SampleJobs.job(1, "blue", false, 2, 4, 3)));
        w.at(5_000, () -> {
            w.leader().crash(2_000);
            w.sim.lostAnswers.clear();
        });
        w.sim.run(60_000);
        assertEquals("done", w.checker.told.get("job-000001"));
        assertEquals(2, w.cloud.boxes.size(), "one machine for each task, although the rent was sent twice");
        kept(w);
    }

    @Test
    @DisplayName("a start that arrives minutes late, after its job was cancelled and cleared away, starts nothing")
    void lateStartOfACancelledJob() {
        SimulatedCluster w = new SimulatedCluster(73, 0);
        w.users.submit(SampleJobs.job(1, "blue", true, 1, 1, 0));
        w.sim.run(20_000);
        w.workers.forEach(x -> w.sim.cut(w.leader().host.name, x.box().id));
        w.users.submit(SampleJobs.job(2, "blue", true, 1, 1, 0));
        w.sim.run(32_000);
        assertTrue(w.running("job-000002", 1), "it was started by the answer to a carried report");
        w.sim.dropping = true;
        w.users.cancel("job-000002");
        w.sim.run(40_000 + 2 * ClusterSetup.CANCEL_MS);
        w.sim.heal();
        w.sim.run(60_000 + 2 * ClusterSetup.CANCEL_MS);
        kept(w);
    }

    @ParameterizedTest
    @ValueSource(longs = {83, 84, 85})
    @DisplayName("a new leader starts a service where its image is, although nothing with that image runs there")
    void imagesAreKnownAfterATakeover(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 0);
        for (int i = 1; i <= 6; i++) {
            int n = i;
            w.at(100 + i * 10, () -> w.users.submit(SampleJobs.job(n, "blue", true, 1, 4, 0)));
        }
        w.at(15_000, () -> w.users.submit(SampleJobs.job(9, "blue", true, 1, 4, 0)));
        w.at(24_000, () -> w.users.cancel("job-000001"));
        w.at(24_000, () -> w.users.cancel("job-000002"));
        w.at(25_000, () -> w.leader().crash(30_000));
        w.sim.run(31_000);
        int images = w.workers.stream().mapToInt(EmulatedWorker::images).sum();
        w.users.submit(SampleJobs.job(10, "blue", true, 1, 4, 0));
        w.users.submit(SampleJobs.job(11, "blue", true, 1, 4, 0));
        w.sim.run(40_000);
        assertTrue(w.running("job-000010", 1) && w.running("job-000011", 1));
        assertEquals(images, w.workers.stream().mapToInt(EmulatedWorker::images).sum(), "no image was fetched again");
        kept(w);
    }

    @Test
    void idleMachinesGoBack() {
        SimulatedCluster w = new SimulatedCluster(81, 0);
        w.users.submit(SampleJobs.job(1, "blue", false, 4, 4, 2));
        w.sim.run(150_000);
        assertEquals("done", w.checker.told.get("job-000001"));
        assertTrue(w.cloud.boxes.values().stream().allMatch(b -> b.deleted));
        kept(w);
    }

    @Test
    @DisplayName("a job of many tasks fits the stored values and the write rate")
    void manyTasks() {
        SimulatedCluster w = new SimulatedCluster(91, 0);
        w.users.submit(SampleJobs.job(1, "blue", false, 600, 0.1, 1));
        w.sim.run(120_000);
        assertEquals("done", w.checker.told.get("job-000001"));
        kept(w);
    }
}
