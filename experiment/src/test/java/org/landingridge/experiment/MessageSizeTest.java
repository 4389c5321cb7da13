package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;
import static org.landingridge.experiment.ClusterAssertions.crashIfUp;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.wire.JobSpec;

/**
 * Jobs of many small tasks. Guards against calls, answers and heartbeats beyond 64 KiB, which their receivers drop: no task
 * starts, and the machine's lease expires with all that runs on it.
 */
class MessageSizeTest {
    private static final String SERVICE = SampleJobs.id(1);
    private static final int MANY_TASKS = 1_500;
    private static final double SMALL_CPUS = 0.001;

    /** A cluster with one machine of each kind, and a service that runs on the ordinary one. */
    private static SimulatedCluster clusterWithService(long seed) {
        ClusterSetup small = ClusterSetup.small(seed, 0, 3);
        SimulatedCluster cluster = new SimulatedCluster(new ClusterSetup(
                seed, 3, 1, small.bootMs(), small.reportMs(), small.leaseMs(), small.teams(), small.state()));
        cluster.users.submit(SampleJobs.job(1, "blue", true, 1, 2, 0));
        cluster.sim.run(20_000);
        assertEquals(1, cluster.checker.placesOf(SERVICE).size());
        return cluster;
    }

    private static JobSpec manySmallTasks(int number, double seconds) {
        return SampleJobs.job(number, "red", false, MANY_TASKS, SMALL_CPUS, seconds);
    }

    private static void assertServiceNeverStopped(SimulatedCluster cluster) {
        assertEquals(1, cluster.checker.placesOf(SERVICE).size());
        assertEquals(0, cluster.metric(cluster.leader(), "landingridge_lapses"));
        assertEquals(0, cluster.metric(cluster.leader(), "landingridge_lost"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    @DisplayName("more small tasks than one heartbeat can list run in turns, and the service beside them is not lost")
    void moreTasksThanOneHeartbeatCanListRunInTurns(long seed) {
        SimulatedCluster cluster = clusterWithService(800 + seed);
        cluster.users.submit(manySmallTasks(2, 5));
        cluster.sim.run(100_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get(SampleJobs.id(2)));
        assertServiceNeverStopped(cluster);
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("a job of many small tasks is cancelled in time, and no message about it is too large")
    void cancelledJobOfManySmallTasksIsGoneInTime() {
        SimulatedCluster cluster = clusterWithService(810);
        cluster.users.submit(manySmallTasks(2, 600));
        cluster.sim.run(35_000);
        assertTrue(cluster.checker.placesOf(SampleJobs.id(2)).size() > 500);
        cluster.users.cancel(SampleJobs.id(2));
        cluster.sim.run(45_000);
        assertEquals(0, cluster.checker.placesOf(SampleJobs.id(2)).size());
        assertServiceNeverStopped(cluster);
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("a new leader takes over machines whose heartbeats are nearly full")
    void newLeaderTakesOverCrowdedMachines() {
        SimulatedCluster cluster = clusterWithService(820);
        cluster.users.submit(manySmallTasks(2, 30));
        cluster.at(26_000, () -> crashIfUp(cluster.leader(), 5_000));
        cluster.sim.run(220_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get(SampleJobs.id(2)));
        assertEquals(1, cluster.checker.placesOf(SERVICE).size());
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("small tasks leave other work the room in the heartbeats: it starts at once and stops none of them")
    void smallTasksDoNotKeepOtherWorkFromFreeCpus() {
        SimulatedCluster cluster = clusterWithService(830);
        cluster.users.submit(manySmallTasks(2, 600));
        cluster.sim.run(40_000);
        int running = cluster.checker.placesOf(SampleJobs.id(2)).size();
        cluster.users.submit(SampleJobs.job(3, "red", false, 2, 1, 2));
        cluster.sim.run(48_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get(SampleJobs.id(3)));
        assertEquals(running, cluster.checker.placesOf(SampleJobs.id(2)).size());
        assertServiceNeverStopped(cluster);
        assertInvariantsHold(cluster);
    }
}
