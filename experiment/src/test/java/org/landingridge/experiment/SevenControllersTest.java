package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs with seven controllers and up to several hundred machines. Guards against failures that appear only at this
 * size: replicas lost in a takeover, request rates above the state service's limits, scheduler passes and memory that
 * grow with machines or tasks. The invariant checker checks all its rules throughout.
 */
class SevenControllersTest {
    private static final int SERVICE_COUNT = 150;

    /** Returns a cluster of about 200 machines, most of which run one or two replicas of services. */
    private static SimulatedCluster clusterWithRunningServices(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 600, 7);
        cluster.cloud.capacity = 220;
        for (int i = 0; i < SERVICE_COUNT; i++) {
            int jobNumber = i;
            cluster.at(
                    200 + i * 100L,
                    () -> cluster.users.submit(
                            SampleJobs.job(jobNumber, jobNumber % 2 == 0 ? "red" : "blue", true, 2, 2, 0)));
        }
        cluster.sim.run(45_000);
        assertEquals(
                2 * SERVICE_COUNT,
                cluster.checker.locationByTask.size(),
                "number of running replicas before the faults");
        assertTrue(cluster.workers.size() >= SERVICE_COUNT, "only " + cluster.workers.size() + " machines");
        return cluster;
    }

    @ParameterizedTest
    @ValueSource(longs = {201, 202})
    @DisplayName("a takeover of a large fleet loses no replica while one machine hangs and two controllers are down")
    void takeoverKeepsEveryReplicaWhenMachineHangsAndTwoControllersAreDead(long seed) {
        SimulatedCluster cluster = clusterWithRunningServices(seed);
        int startsBefore = cluster.checker.starts;
        ControllerNode leader = cluster.leader();
        ControllerNode otherController = cluster.nodes.get((leader.index + 1) % 7);
        cluster.workers.get(3).hang(true);
        leader.crash(30_000);
        otherController.crash(30_000);
        cluster.sim.run(49_000);
        cluster.workers.get(3).hang(false);
        cluster.sim.run(60_000);
        assertNotNull(cluster.leader());
        assertEquals(startsBefore, cluster.checker.starts, "no replica is lost, so none is started again");
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("when all seven controllers crash, the first to restart leads before the leases expire")
    void noLeaseExpiresWhenAllSevenControllersCrash() {
        SimulatedCluster cluster = clusterWithRunningServices(211);
        int startsBefore = cluster.checker.starts;
        cluster.nodes.forEach(controller -> controller.crash(2_000 + 150L * controller.index));
        cluster.sim.run(65_000);
        assertEquals(startsBefore, cluster.checker.starts);
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("replicas of a zone cut off for longer than the lease restart in the other zone and none runs twice")
    void replicasMoveToOtherZoneWhenZoneIsCutOffLongerThanLease() {
        SimulatedCluster cluster = clusterWithRunningServices(221);
        cluster.cloud.capacity = 500;
        long untilMs = 45_000 + 3 * ClusterSetup.LEASE_MS + 12_000;
        for (long timeMs = 45_000; timeMs < untilMs; timeMs += 500) {
            cluster.at(
                    timeMs,
                    () -> cluster.workers.stream()
                            .filter(worker -> worker.box().zone.equals("a"))
                            .forEach(worker -> cluster.nodes.forEach(
                                    controller -> cluster.sim.cut(controller.host.name, worker.box().id))));
        }
        cluster.sim.run(untilMs);
        assertEquals(
                2 * SERVICE_COUNT,
                cluster.checker.locationByTask.values().stream()
                        .filter(place -> place.endsWith("@b"))
                        .count(),
                "number of replicas in the reachable zone");
        cluster.sim.heal();
        cluster.sim.run(120_000);
        assertEquals(2 * SERVICE_COUNT, cluster.checker.locationByTask.size());
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("all controllers together stay within the state service's rate limits, also during a takeover")
    void requestsStayWithinStateServiceLimitsDuringTakeover() {
        SimulatedCluster cluster = clusterWithRunningServices(231);
        cluster.state.resetPeaks();
        cluster.sim.run(60_000);
        cluster.leader().crash(4_000);
        cluster.sim.run(90_000);
        assertTrue(cluster.state.mostRequests() <= 200, cluster.state.mostRequests() + " requests in one second");
        assertTrue(cluster.state.mostWrites() <= 20, cluster.state.mostWrites() + " writes in one second");
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("submissions beyond the write rate are refused at once and accepted in the end, and the leader stays")
    void leaderStaysAndEveryJobIsAcceptedWhenSubmissionsExceedWriteRate() {
        SimulatedCluster cluster = new SimulatedCluster(261, 0, 7);
        cluster.cloud.capacity = 150;
        for (int i = 0; i < 40; i++) {
            int jobNumber = i;
            cluster.at(200 + i * 200L, () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", true, 1, 2, 0)));
        }
        cluster.sim.run(30_000);
        int startsBefore = cluster.checker.starts;
        ControllerNode leader = cluster.leader();
        int takeovers = cluster.metric(leader, "landingridge_takeovers");
        // The settings allow 200 requests and 20 writes a second, so 240 jobs at once are 12 s of writes.
        cluster.state.limitRates(200, 20);
        for (int i = 100; i < 340; i++) {
            cluster.users.submit(SampleJobs.job(i, "red", false, 1, 0.5, 2));
        }
        cluster.sim.run(32_000);
        assertTrue(cluster.checker.lastStatusByJob.size() < 240, "all jobs were accepted at once");
        int refused = cluster.nodes.stream()
                .mapToInt(controller -> cluster.metric(controller, "landingridge_refused"))
                .sum();
        assertTrue(refused > 100, "only " + refused + " submissions were refused at once with a time to retry");
        cluster.sim.run(150_000);
        assertTrue(cluster.state.tooMany() > 0);
        assertEquals(240, cluster.jobCountWithStatus("done"), "number of jobs accepted in the end and done");
        assertEquals(leader, cluster.leader());
        assertEquals(
                takeovers,
                cluster.metric(leader, "landingridge_takeovers"),
                "number of takeovers: the leader leads throughout");
        assertEquals(0, cluster.metric(leader, "landingridge_lost"), "no attempt is lost to an expired lease");
        assertTrue(cluster.checker.starts >= startsBefore + 240);
        assertInvariantsHold(cluster);
    }

    /** Returns the number of scheduler passes in 30 s without events, with the given number of one-replica services. */
    private static int schedulerPassesWithoutEvents(int services) {
        SimulatedCluster cluster = new SimulatedCluster(241, 0, 3);
        cluster.cloud.capacity = services;
        for (int i = 0; i < services; i++) {
            int jobNumber = i;
            cluster.at(200 + i * 100L, () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", true, 1, 4, 0)));
        }
        cluster.sim.run(60_000);
        assertEquals(services, cluster.checker.locationByTask.size());
        int passesBefore = cluster.metric(cluster.leader(), "landingridge_busy_times_pass");
        cluster.sim.run(90_000);
        return cluster.metric(cluster.leader(), "landingridge_busy_times_pass") - passesBefore;
    }

    @Test
    @DisplayName("a report without changes causes no scheduler pass, regardless of the number of machines that report")
    void unchangedReportsCauseNoSchedulerPasses() {
        int passesWithFewMachines = schedulerPassesWithoutEvents(15);
        assertTrue(
                passesWithFewMachines > 0 && schedulerPassesWithoutEvents(150) <= passesWithFewMachines + 5,
                passesWithFewMachines + " scheduler passes with a tenth of the machines");
    }

    /** Returns the size of the reachable objects, in megabytes. */
    private static long usedMegabytes() {
        System.gc();
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20;
    }

    @Test
    @DisplayName("many arrays of the largest size at once take little memory and do not block other jobs")
    void largestArraysTakeLittleMemoryAndDelayNoOtherJob() {
        SimulatedCluster cluster = new SimulatedCluster(251, 0, 3);
        long megabytesBefore = usedMegabytes();
        for (int i = 0; i < 20; i++) {
            cluster.users.submit(SampleJobs.job(100 + i, "red", false, 100_000, 4, 5));
        }
        cluster.users.submit(SampleJobs.job(1, "blue", true, 2, 1, 0));
        cluster.users.submit(SampleJobs.job(2, "blue", false, 3, 1, 2));
        cluster.sim.run(60_000);
        long addedMegabytes = usedMegabytes() - megabytesBefore;
        assertTrue(addedMegabytes < 20, addedMegabytes + " MB added by 2,000,000 tasks");
        assertTrue(cluster.allTasksRun("job-000001", 2));
        assertInvariantsHold(cluster);
    }
}
