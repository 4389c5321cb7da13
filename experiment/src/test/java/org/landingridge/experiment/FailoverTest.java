package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.emulator.EmulatedWorker;

/**
 * Runs three controllers with an emulated cloud, state service and workers through one kind of fault each: crashes, outages,
 * cuts, hanging machines and lost answers. Guards against lost, repeated and duplicate tasks; the invariants are checked
 * throughout.
 */
class FailoverTest {
    /** Submits a mixed load: 4 services, and 16 batch jobs of which some are cancelled. */
    private static void submitMixedLoad(SimulatedCluster cluster) {
        for (int i = 0; i < 4; i++) {
            cluster.users.submit(SampleJobs.job(i, "blue", true, 1, 1, 0));
        }
        for (int i = 10; i < 26; i++) {
            int jobNumber = i;
            cluster.at(
                    500L + (i - 10) * 1_500,
                    () -> cluster.users.submit(SampleJobs.job(
                            jobNumber,
                            jobNumber % 2 == 0 ? "red" : "blue",
                            false,
                            1 + jobNumber % 5,
                            2,
                            2 + jobNumber % 4)));
            if (i % 5 == 0) {
                cluster.at(3_000L + (i - 10) * 1_500, () -> cluster.users.cancel(String.format("job-%06d", jobNumber)));
            }
        }
    }

    private static void assertAllJobsEndedAndServicesRun(SimulatedCluster cluster) {
        assertInvariantsHold(cluster);
        for (int i = 10; i < 26; i++) {
            String status = cluster.checker.lastStatusByJob.get(String.format("job-%06d", i));
            assertTrue(
                    "done".equals(status) || "cancelled".equals(status),
                    "job " + i + " should be done or cancelled, status is " + status);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(cluster.allTasksRun(String.format("job-%06d", i), 1), "service " + i + " should run");
        }
    }

    @Test
    void allJobsEndAndServicesRunWithoutFaults() {
        SimulatedCluster cluster = new SimulatedCluster(1, 10);
        submitMixedLoad(cluster);
        cluster.sim.run(90_000);
        assertAllJobsEndedAndServicesRun(cluster);
        assertTrue(cluster.jobCountWithStatus("done") >= 12);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void allJobsEndWhenLeaderCrashesRepeatedly(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        submitMixedLoad(cluster);
        for (int i = 1; i <= 4; i++) {
            cluster.at(i * 9_000L + seed * 313, () -> {
                if (cluster.leader() != null && cluster.leader().host.up) {
                    cluster.leader().crash(2_500);
                }
            });
        }
        cluster.sim.run(150_000);
        assertAllJobsEndedAndServicesRun(cluster);
    }

    /** Guards against a restarted controller that reads finished tasks before their jobs and starts all of them again. */
    @Test
    void finishedTasksAreNotStartedAgainWhenAllControllersRestart() {
        SimulatedCluster cluster = new SimulatedCluster(5, 10);
        cluster.cloud.capacity = 1;
        cluster.users.submit(SampleJobs.job(50, "red", false, 10, 2, 4));
        cluster.at(16_000, () -> cluster.nodes.forEach(node -> node.crash(4_000)));
        cluster.at(
                15_900,
                () -> assertTrue(
                        cluster.checker.completed.size() >= 4,
                        cluster.checker.completed + " should hold at least 4 finished tasks"));
        cluster.sim.run(120_000);
        assertInvariantsHold(cluster);
        assertEquals("done", cluster.checker.lastStatusByJob.get("job-000050"));
        assertEquals(0, cluster.checker.repeats, "no finished task should start again");
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void allJobsEndWhenAllControllersCrashDuringStateOutage(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        submitMixedLoad(cluster);
        cluster.at(15_000, () -> cluster.state.outage(true));
        cluster.at(20_000 + seed * 100, () -> cluster.nodes.forEach(node -> node.crash(2_000)));
        cluster.at(26_000, () -> cluster.state.outage(false));
        cluster.sim.run(150_000);
        assertAllJobsEndedAndServicesRun(cluster);
    }

    @Test
    @DisplayName("an outage of the state service longer than the lease loses no task")
    void noTaskIsLostWhenStateOutageOutlastsLease() {
        SimulatedCluster cluster = new SimulatedCluster(21, 0);
        for (int i = 0; i < 4; i++) {
            cluster.users.submit(SampleJobs.job(i, "blue", true, 1, 1, 0));
        }
        cluster.sim.run(20_000);
        int starts = cluster.checker.starts;
        assertEquals(4, cluster.checker.locationByTask.size());
        cluster.state.outage(true);
        cluster.sim.run(20_000 + 3 * ClusterSetup.LEASE_MS);
        cluster.state.outage(false);
        cluster.sim.run(60_000 + 3 * ClusterSetup.LEASE_MS);
        assertEquals(starts, cluster.checker.starts, "no task should start again, as none was lost");
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("a leader that alone is refused by the state service hands over, and no task is lost")
    void leaderHandsOverWhenStateServiceRefusesItAlone() {
        SimulatedCluster cluster = new SimulatedCluster(22, 0);
        for (int i = 0; i < 4; i++) {
            cluster.users.submit(SampleJobs.job(i, "blue", true, 1, 1, 0));
        }
        cluster.sim.run(20_000);
        ControllerNode formerLeader = cluster.leader();
        int starts = cluster.checker.starts;
        cluster.state.refuse(formerLeader.host.name, true);
        cluster.sim.run(26_000);
        assertNotNull(cluster.leader());
        assertNotEquals(formerLeader, cluster.leader());
        cluster.sim.run(50_000);
        assertEquals(starts, cluster.checker.starts);
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("a leader that only the workers cannot reach keeps their leases through the others")
    void leasesAreKeptWhenLeaderIsCutOffFromWorkers() {
        SimulatedCluster cluster = new SimulatedCluster(23, 0);
        for (int i = 0; i < 4; i++) {
            cluster.users.submit(SampleJobs.job(i, "blue", true, 1, 1, 0));
        }
        cluster.sim.run(20_000);
        int starts = cluster.checker.starts;
        cluster.workers.forEach(worker -> cluster.sim.cut(cluster.leader().host.name, worker.box().id));
        cluster.sim.run(20_000 + 4 * ClusterSetup.LEASE_MS);
        assertEquals(starts, cluster.checker.starts);
        cluster.sim.heal();
        cluster.sim.run(40_000 + 4 * ClusterSetup.LEASE_MS);
        assertEquals(starts, cluster.checker.starts);
        assertInvariantsHold(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void allJobsEndWhenLeaderIsCutOffAndItsMessagesArriveLate(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        submitMixedLoad(cluster);
        cluster.at(12_000 + seed * 97, () -> {
            ControllerNode leader = cluster.leader();
            if (leader != null) {
                cluster.sim.cut(leader.host.name, "state");
                cluster.nodes.forEach(node -> cluster.sim.cut(leader.host.name, node.host.name));
                if (seed % 2 == 0) {
                    cluster.workers.forEach(worker -> cluster.sim.cut(leader.host.name, worker.box().id));
                }
            }
        });
        cluster.at(34_000, cluster.sim::heal);
        cluster.sim.run(150_000);
        assertAllJobsEndedAndServicesRun(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44})
    void allJobsEndWhenAnswersOfStateServiceAndCloudAreLost(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        cluster.sim.lostAnswerShareByHost.put("state", 0.1);
        cluster.sim.lostAnswerShareByHost.put("cloud", 0.4);
        submitMixedLoad(cluster);
        cluster.at(60_000, cluster.sim.lostAnswerShareByHost::clear);
        cluster.sim.run(180_000);
        assertAllJobsEndedAndServicesRun(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53, 54})
    void allJobsEndWhenWorkersHangAndResume(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        submitMixedLoad(cluster);
        for (int i = 0; i < 5; i++) {
            int hangNumber = i;
            cluster.at(9_000 + i * 6_000L, () -> {
                if (!cluster.workers.isEmpty()) {
                    EmulatedWorker worker = cluster.workers.get((int) ((seed + hangNumber) % cluster.workers.size()));
                    worker.hang(true);
                    cluster.at(cluster.sim.now + 3_000 + hangNumber * 3_500L, () -> worker.hang(false));
                }
            });
        }
        cluster.sim.run(150_000);
        assertAllJobsEndedAndServicesRun(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {55, 56, 57})
    @DisplayName("tasks on machines that hang during a takeover are not started elsewhere")
    void tasksAreNotStartedElsewhereWhenTheirMachinesHangDuringTakeover(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0);
        for (int i = 0; i < 6; i++) {
            cluster.users.submit(SampleJobs.job(i, "blue", true, 1, 2, 0));
        }
        cluster.at(20_000, () -> {
            cluster.workers.stream()
                    .filter(worker -> cluster.checker.locationByTask.values().stream()
                            .anyMatch(place -> place.startsWith(worker.box().id + "@")))
                    .forEach(worker -> worker.hang(true));
            cluster.leader().crash(20_000);
        });
        cluster.at(26_500, () -> cluster.workers.forEach(worker -> worker.hang(false)));
        cluster.sim.run(80_000);
        assertInvariantsHold(cluster);
        assertEquals(6, cluster.checker.locationByTask.size());
    }

    @ParameterizedTest
    @ValueSource(longs = {58, 59, 60})
    @DisplayName(
            "a task that failed on a fenced machine is placed again while the census still waits for another machine")
    void failedTaskIsRestartedWhileCensusWaitsForAnotherMachine(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 24);
        for (int i = 0; i < 8; i++) {
            cluster.users.submit(SampleJobs.job(i, "red", true, 1, 1, 0));
        }
        cluster.sim.run(20_000);
        EmulatedWorker silent = cluster.workers.get(0);
        EmulatedWorker failing = cluster.workers.stream()
                .filter(worker -> worker != silent && worker.running() != null)
                .findFirst()
                .orElseThrow();
        silent.hang(true);
        cluster.leader().crash(2_000);
        cluster.sim.run(24_500);
        String task = failing.running();
        failing.fail(task);
        cluster.sim.run(26_500);
        assertTrue(
                cluster.allTasksRun(task.substring(0, task.indexOf('/')), 1),
                task + " should run again before the lease expires");
        silent.hang(false);
        cluster.sim.run(60_000);
        assertInvariantsHold(cluster);
    }

    @Test
    void allJobsEndWhenSpotMachinesAreLostAsLeaderCrashes() {
        SimulatedCluster cluster = new SimulatedCluster(61, 10);
        submitMixedLoad(cluster);
        cluster.at(16_000, () -> {
            List.copyOf(cluster.cloud.boxes.values()).stream()
                    .filter(machine -> machine.spot)
                    .forEach(machine -> cluster.cloud.delete(machine.id));
            cluster.leader().crash(3_000);
        });
        cluster.sim.run(150_000);
        assertAllJobsEndedAndServicesRun(cluster);
    }

    @Test
    @DisplayName("a rent request whose answer is lost as the leader crashes creates its machines only once")
    void machinesAreRentedOnceWhenLeaderCrashesBeforeItLearnsOfRent() {
        SimulatedCluster cluster = new SimulatedCluster(71, 0);
        cluster.at(3_000, () -> cluster.sim.lostAnswerShareByHost.put("cloud", 1.0));
        cluster.at(3_000, () -> cluster.users.submit(SampleJobs.job(1, "blue", false, 2, 4, 3)));
        cluster.at(5_000, () -> {
            cluster.leader().crash(2_000);
            cluster.sim.lostAnswerShareByHost.clear();
        });
        cluster.sim.run(60_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get("job-000001"));
        assertEquals(
                2,
                cluster.cloud.boxes.size(),
                "there should be one machine per task although the rent request was sent twice");
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("a start that arrives minutes late, after its job was cancelled and removed, starts nothing")
    void lateStartOfCancelledJobStartsNothing() {
        SimulatedCluster cluster = new SimulatedCluster(73, 0);
        cluster.users.submit(SampleJobs.job(1, "blue", true, 1, 1, 0));
        cluster.sim.run(20_000);
        cluster.workers.forEach(worker -> cluster.sim.cut(cluster.leader().host.name, worker.box().id));
        cluster.users.submit(SampleJobs.job(2, "blue", true, 1, 1, 0));
        cluster.sim.run(32_000);
        assertTrue(
                cluster.allTasksRun("job-000002", 1), "job 2 should be started by the answer to a forwarded heartbeat");
        cluster.sim.dropping = true;
        cluster.users.cancel("job-000002");
        cluster.sim.run(40_000 + 2 * ClusterSetup.CANCEL_MS);
        cluster.sim.heal();
        cluster.sim.run(60_000 + 2 * ClusterSetup.CANCEL_MS);
        assertInvariantsHold(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {83, 84, 85})
    @DisplayName(
            "a new leader starts a service on a machine that stores its image although no task with that image runs there")
    void newLeaderStartsServicesWhereTheirImageIsStored(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0);
        for (int i = 1; i <= 6; i++) {
            int jobNumber = i;
            cluster.at(100 + i * 10, () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", true, 1, 4, 0)));
        }
        cluster.at(15_000, () -> cluster.users.submit(SampleJobs.job(9, "blue", true, 1, 4, 0)));
        cluster.at(24_000, () -> cluster.users.cancel("job-000001"));
        cluster.at(24_000, () -> cluster.users.cancel("job-000002"));
        cluster.at(25_000, () -> cluster.leader().crash(30_000));
        cluster.sim.run(31_000);
        int images = cluster.workers.stream().mapToInt(EmulatedWorker::images).sum();
        cluster.users.submit(SampleJobs.job(10, "blue", true, 1, 4, 0));
        cluster.users.submit(SampleJobs.job(11, "blue", true, 1, 4, 0));
        cluster.sim.run(40_000);
        assertTrue(cluster.allTasksRun("job-000010", 1) && cluster.allTasksRun("job-000011", 1));
        assertEquals(
                images,
                cluster.workers.stream().mapToInt(EmulatedWorker::images).sum(),
                "no image should be fetched again");
        assertInvariantsHold(cluster);
    }

    @Test
    void idleMachinesAreReturnedToTheCloud() {
        SimulatedCluster cluster = new SimulatedCluster(81, 0);
        cluster.users.submit(SampleJobs.job(1, "blue", false, 4, 4, 2));
        cluster.sim.run(150_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get("job-000001"));
        assertTrue(cluster.cloud.boxes.values().stream().allMatch(machine -> machine.deleted));
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("a job of many tasks fits the stored values and the write rate")
    void jobOf600TasksEndsWithinStorageAndWriteLimits() {
        SimulatedCluster cluster = new SimulatedCluster(91, 0);
        cluster.users.submit(SampleJobs.job(1, "blue", false, 600, 0.1, 1));
        cluster.sim.run(120_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get("job-000001"));
        assertInvariantsHold(cluster);
    }
}
