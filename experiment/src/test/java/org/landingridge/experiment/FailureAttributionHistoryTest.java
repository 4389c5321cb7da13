package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.GroundTruth;

/**
 * Attribution of failures to jobs or machines. Guards against sound machines that are returned because a faulty job's
 * tasks fail on them, against faulty machines that stay because faulty jobs hide them, and against repeated rents for
 * machines that boot late or never.
 */
class FailureAttributionHistoryTest {
    private final Map<String, Integer> startsByJob = new HashMap<>();
    private int rentRequests;

    private SimulatedCluster newCluster(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(new ClusterSetup(
                seed,
                3,
                40,
                5_000,
                2_000,
                20_000,
                Map.of("blue", new Settings.Team("blue", 16, 0, 0, 0), "red", new Settings.Team("red", 8, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        cluster.checker.orders = (order, machine, attempt, pool, repeated) -> {
            if (order == GroundTruth.Order.START && !repeated) {
                startsByJob.merge(attempt.substring(0, attempt.indexOf('/')), 1, Integer::sum);
            }
            rentRequests += order == GroundTruth.Order.RENT && !repeated ? 1 : 0;
        };
        return cluster;
    }

    private static void submitServices(SimulatedCluster cluster) {
        for (int i = 0; i < 6; i++) {
            cluster.users.submit(SampleJobs.job(i, "blue", true, 1, 2, 0));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("faulty jobs do not affect sound machines or sound jobs until they are cancelled")
    void alwaysFailingJobsAffectNoSoundMachineOrJobUntilCancelled(long seed) {
        SimulatedCluster cluster = newCluster(500 + seed);
        submitServices(cluster);
        cluster.sim.run(20_000);
        for (int i = 0; i < 4; i++) {
            int jobNumber = 10 + i;
            cluster.checker.mistaken.add(SampleJobs.id(jobNumber));
            cluster.at(
                    20_000 + i * 5_000L, () -> cluster.users.submit(SampleJobs.job(jobNumber, "red", false, 30, 1, 5)));
        }
        for (int i = 0; i < 20; i++) {
            int jobNumber = 20 + i;
            cluster.at(
                    22_000 + i * 3_000L, () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", false, 4, 1, 4)));
        }
        cluster.sim.run(110_000);
        assertEquals(
                0,
                cluster.checker.lastStatusByJob.entrySet().stream()
                        .filter(statusEntry -> cluster.checker.mistaken.contains(statusEntry.getKey())
                                && !statusEntry.getValue().equals("accepted"))
                        .count(),
                "faulty jobs reported as ended although no user cancelled them");
        assertEquals(20, cluster.jobCountWithStatus("done"));
        for (String id : cluster.checker.mistaken) {
            // All 30 tasks may have started before the first two fail. After that, one task starts at a time,
            // at growing intervals.
            assertTrue(
                    startsByJob.get(id) <= 30 + 12,
                    "tasks of " + id + " were started " + startsByJob.get(id) + " times");
            cluster.users.cancel(id);
        }
        assertTrue(cluster.status(cluster.leader()).path("incidents").toString().contains("looks like a mistake"));
        assertTrue(
                !cluster.status(cluster.leader()).path("incidents").toString().contains("fails its tasks"),
                "a sound machine was returned");
        startsByJob.clear();
        cluster.sim.run(140_000);
        assertEquals(4, cluster.jobCountWithStatus("cancelled"));
        assertEquals(Map.of(), startsByJob);
        assertInvariantsHold(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("a faulty machine is recognized among faulty jobs and returned")
    void faultyMachineIsReturnedWhenSomeJobsAlsoAlwaysFail(long seed) {
        SimulatedCluster cluster = newCluster(510 + seed);
        submitServices(cluster);
        cluster.sim.run(20_000);
        EmulatedWorker faultyMachine = cluster.workers.get(cluster.workers.size() - 1);
        faultyMachine.spoil();
        for (int i = 0; i < 30; i++) {
            int jobNumber = 20 + i;
            if (i % 6 == 0) {
                cluster.checker.mistaken.add(SampleJobs.id(jobNumber));
            }
            cluster.at(
                    20_000 + i * 2_000L, () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", false, 8, 1, 4)));
        }
        cluster.sim.run(130_000);
        assertEquals(25, cluster.jobCountWithStatus("done"));
        assertTrue(faultyMachine.box().deleted, "the faulty machine was not returned");
        assertInvariantsHold(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("machines that never come up are replaced once others of their type are up, without a rent per wait")
    void machinesThatNeverComeUpAreReplacedWithFewRentRequests(long seed) {
        SimulatedCluster cluster = newCluster(520 + seed);
        cluster.cloud.neverUp = 0.3;
        for (int i = 0; i < 20; i++) {
            cluster.users.submit(SampleJobs.job(i, "blue", true, 1, 4, 0));
        }
        cluster.sim.run(30_000);
        assertTrue(
                cluster.checker.locationByTask.size() >= 18,
                "only " + cluster.checker.locationByTask.size() + " of 20 services run after four boot times");
        cluster.sim.run(90_000);
        assertEquals(20, cluster.checker.locationByTask.size());
        assertTrue(rentRequests <= 60, rentRequests + " machines rented for 20 services");
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("a machine that reports before its rent is answered and before any list contains it is used at once")
    void machineThatReportsBeforeItsRentIsAnsweredIsUsedAtOnce() {
        SimulatedCluster cluster = newCluster(530);
        cluster.cloud.bootMs = 1;
        for (int i = 0; i < 8; i++) {
            cluster.users.submit(SampleJobs.job(i, "blue", true, 1, 4, 0));
        }
        cluster.sim.run(6_000);
        assertEquals(8, cluster.checker.locationByTask.size());
        assertInvariantsHold(cluster);
    }
}
