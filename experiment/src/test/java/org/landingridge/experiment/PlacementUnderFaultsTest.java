package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertAllJobsStartOrEnd;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;
import static org.landingridge.experiment.ClusterAssertions.crashIfUp;
import static org.landingridge.experiment.ClusterAssertions.startServices;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/**
 * Guards against tasks that run twice, in a forbidden place or beyond their team's limit, and against work that never starts.
 * Such faults come about when several failures meet: leader changes together with lost, late or replayed messages, machines that
 * hang or are cut off, and cancellations. The combinations are listed in {@code docs/meetings.md}.
 */
class PlacementUnderFaultsTest {
    private static final int FIRST_JOB = 40;

    private static List<String> jobIds(int first, int count) {
        return IntStream.range(first, first + count).mapToObj(SampleJobs::id).toList();
    }

    private static JobSpec constrainedJob(
            int number,
            int tasks,
            double cpus,
            double seconds,
            String zone,
            boolean oneZone,
            boolean separateMachines) {
        return new JobSpec(
                SampleJobs.id(number),
                "bound",
                "blue",
                false,
                Priority.NORMAL,
                tasks,
                cpus,
                0,
                cpus,
                "img-0",
                0.3,
                null,
                zone,
                oneZone,
                separateMachines,
                true,
                seconds,
                0,
                0,
                null);
    }

    private static EmulatedWorker workerRunning(SimulatedCluster cluster, String task) {
        String location = cluster.checker.locationByTask.get(task);
        return location == null
                ? null
                : cluster.workers.stream()
                        .filter(worker -> location.startsWith(worker.box().id + "@"))
                        .findFirst()
                        .orElse(null);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.3", "2, 0.6", "3, 1.0", "4, 1.0", "5, 0.5"})
    @DisplayName("heartbeats replayed to every controller at each leader change move, end and stop no task")
    void replayedHeartbeatsChangeNothingWhenLeadersChange(long seed, double faultShare) {
        SimulatedCluster cluster = new SimulatedCluster(1_020 + seed, 8);
        startServices(cluster, 4);
        for (int i = 0; i < 10; i++) {
            int number = FIRST_JOB + i;
            cluster.at(
                    31_000 + i * 2_500L,
                    () -> cluster.users.submit(
                            SampleJobs.job(number, number % 2 == 0 ? "red" : "blue", false, 3, 1, 4 + number % 5 * 4)));
        }
        cluster.heartbeatFaults.replayShare = faultShare;
        for (long atMs = 38_000; atMs < 75_000; atMs += 6_000) {
            cluster.at(atMs, () -> crashIfUp(cluster.leader(), 300));
            cluster.at(
                    atMs - 2_500,
                    () -> cluster.workers.stream()
                            .filter(worker -> worker.running() != null)
                            .limit(2)
                            .forEach(worker -> worker.fail(worker.running())));
        }
        cluster.at(50_000, () -> cluster.restart(cluster.workers.get(0), 150));
        cluster.at(62_000, () -> cluster.workers.get(1).hang(true));
        cluster.at(73_000, () -> cluster.workers.get(1).hang(false));
        cluster.at(76_000, () -> cluster.heartbeatFaults.replayShare = 0);
        cluster.sim.run(120_000);
        assertInvariantsHold(cluster);
        assertEquals(10, cluster.jobCountWithStatus("done"));
        assertAllJobsStartOrEnd(cluster, jobIds(FIRST_JOB, 10));
    }

    /**
     * The tasks of each job must run in one zone, or each on a machine of its own. A new leader receives a report of one task,
     * which then fails. The other tasks still run on machines that are cut off, so the leader doesn't know yet where they are.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, false", "4, false", "5, true", "6, false"})
    void placementConstraintHoldsWhenReportedTaskIsLostBeforeOthersAreReported(long seed, boolean oneZone) {
        SimulatedCluster cluster = new SimulatedCluster(1_040 + seed, 0);
        startServices(cluster, 2);
        int tasks = oneZone ? 2 : 3;
        for (int i = 0; i < 4; i++) {
            cluster.users.submit(constrainedJob(FIRST_JOB + i, tasks, 3, 300, null, oneZone, !oneZone));
        }
        // These two jobs leave room in both zones, so that a lost task can be placed again at once.
        cluster.users.submit(constrainedJob(FIRST_JOB + 10, 6, 3, 12, "a", false, false));
        cluster.users.submit(constrainedJob(FIRST_JOB + 11, 6, 3, 12, "b", false, false));
        cluster.sim.run(47_000);
        ControllerNode leader = cluster.leader();
        List<EmulatedWorker> reportedWorkers = new ArrayList<>();
        cluster.at(47_000, () -> {
            for (int i = 0; i < 4; i++) {
                reportedWorkers.add(workerRunning(cluster, SampleJobs.id(FIRST_JOB + i) + "/0"));
                for (int taskIndex = 1; taskIndex < tasks; taskIndex++) {
                    EmulatedWorker unreportedWorker =
                            workerRunning(cluster, SampleJobs.id(FIRST_JOB + i) + "/" + taskIndex);
                    cluster.nodes.forEach(node -> cluster.sim.cut(node.host.name, unreportedWorker.box().id));
                }
            }
            leader.crash(60_000);
        });
        for (int i = 0; i < 4; i++) {
            int jobIndex = i;
            cluster.at(
                    51_500 + i * 500L,
                    () -> reportedWorkers.get(jobIndex).fail(SampleJobs.id(FIRST_JOB + jobIndex) + "/0"));
        }
        cluster.at(56_000, cluster.sim::heal);
        cluster.sim.run(75_000);
        assertInvariantsHold(cluster);
        assertAllJobsStartOrEnd(cluster, jobIds(FIRST_JOB, 4));
        assertTrue(
                IntStream.range(0, 4).allMatch(i -> cluster.allTasksRun(SampleJobs.id(FIRST_JOB + i), tasks)),
                "not all four jobs run all their tasks");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("machines that can be called but can't report hold no task after their lease and get no new ones")
    void machinesThatCannotReportHoldNothingAfterTheirLeaseAndGetNoTasks(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(1_060 + seed, 0);
        startServices(cluster, 4);
        for (int i = 0; i < 6; i++) {
            cluster.users.submit(SampleJobs.job(FIRST_JOB + i, "blue", false, 2, 1, 300));
        }
        cluster.sim.run(45_000);
        List<EmulatedWorker> muteWorkers = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .limit(3)
                .toList();
        cluster.at(
                46_000,
                () -> muteWorkers.forEach(worker -> cluster.heartbeatFaults.droppedMachines.add(worker.box().id)));
        if (seed == 2) {
            cluster.at(47_000, () -> crashIfUp(cluster.leader(), 300));
        }
        cluster.sim.run(46_000 + ClusterSetup.LEASE_MS + 8_000);
        assertInvariantsHold(cluster);
        for (long atMs = cluster.sim.now; atMs < 110_000; atMs += 500) {
            cluster.sim.run(atMs);
            assertEquals(
                    16, cluster.checker.locationByTask.size(), "all tasks should run on other machines at " + atMs);
            assertTrue(
                    muteWorkers.stream().allMatch(worker -> worker.running() == null),
                    "a machine that cannot report was given a task");
        }
        cluster.heartbeatFaults.droppedMachines.clear();
        assertAllJobsStartOrEnd(cluster, jobIds(FIRST_JOB, 6));
    }

    @ParameterizedTest
    @CsvSource({"1, 5000, false", "2, 12000, false", "3, 20000, true", "4, 7000, true", "5, 12000, true"})
    @DisplayName("team limits hold and jobs start when users cancel, machines hang or are cut off and leaders crash")
    void teamLimitHoldsWhenJobsAreCancelledDuringFaults(long seed, long faultMs, boolean cutOff) {
        SimulatedCluster cluster = new SimulatedCluster(withTeamLimits(1_080 + seed));
        for (int i = 0; i < 24; i++) {
            int number = FIRST_JOB + i;
            cluster.at(
                    1_000 + i * 400L,
                    () -> cluster.users.submit(
                            SampleJobs.job(number, number % 2 == 0 ? "red" : "blue", false, 1 + number % 4, 1, 60)));
        }
        cluster.sim.run(30_000);
        for (int round = 0; round < 2; round++) {
            long roundStartMs = 30_000 + round * 30_000L;
            cluster.at(roundStartMs, () -> cluster.users.cancelNow(5, cutOff ? 0 : faultMs));
            if (cutOff) {
                cluster.at(
                        roundStartMs - 50,
                        () -> cluster.workers.stream()
                                .filter(worker -> worker.running() != null)
                                .limit(4)
                                .forEach(worker -> cluster.nodes.forEach(
                                        node -> cluster.sim.cut(node.host.name, worker.box().id))));
                cluster.at(roundStartMs + faultMs, cluster.sim::heal);
            }
            cluster.at(roundStartMs + 120, () -> crashIfUp(cluster.leader(), 400));
            cluster.at(roundStartMs + 5_000, () -> cluster.refuse(cluster.leader(), 4_000));
            cluster.at(roundStartMs + 9_000, () -> cluster.nodes.forEach(node -> crashIfUp(node, 200)));
            // No earlier leader has started these jobs, so only tasks that machines may still hold can delay them.
            for (int i = 0; i < 8; i++) {
                int number = FIRST_JOB + 24 + 8 * round + i;
                cluster.at(
                        roundStartMs + 500 + i * 1_500L,
                        () -> cluster.users.submit(
                                SampleJobs.job(number, number % 2 == 0 ? "red" : "blue", false, 2, 1, 20)));
            }
        }
        cluster.sim.run(100_000);
        assertInvariantsHold(cluster);
        assertAllJobsStartOrEnd(cluster, jobIds(FIRST_JOB, 40));
        cluster.sim.run(600_000);
        assertInvariantsHold(cluster);
        assertEquals(40, cluster.jobCountWithStatus("done") + cluster.jobCountWithStatus("cancelled"));
    }

    /** Both teams have limits, and there are more machines than the limits allow them to use. */
    private static ClusterSetup withTeamLimits(long seed) {
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        teams.put("red", new Settings.Team("red", 4, 8, 0, 0));
        teams.put("blue", new Settings.Team("blue", 4, 9, 0, 0));
        return new ClusterSetup(
                seed,
                3,
                20,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                teams,
                new Settings.State(200, 20, 4, 8));
    }

    @ParameterizedTest
    @CsvSource({"1, true, 0.5", "2, false, 0.5", "3, true, 0.9", "4, false, 0.8", "5, false, 0.9"})
    @DisplayName(
            "no task runs twice, no idle machine is kept when machines boot fast, writes go unanswered, leaders crash")
    void noTaskRunsTwiceWhenWritesGoUnansweredAndMachinesBootFast(long seed, boolean loseAnswers, double faultShare) {
        SimulatedCluster cluster = new SimulatedCluster(new ClusterSetup(
                1_100 + seed,
                3,
                20,
                300,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                ClusterSetup.small(0, 0, 3).teams(),
                new Settings.State(200, 20, 4, 8)));
        startServices(cluster, 2);
        for (int round = 0; round < 4; round++) {
            int first = FIRST_JOB + round * 8;
            long roundStartMs = 31_000 + round * 9_000L;
            cluster.at(roundStartMs - 300, () -> {
                if (loseAnswers) {
                    cluster.state.lostAnswers(faultShare, cluster.sim.random);
                } else {
                    cluster.state.lateWrites(faultShare, cluster.sim.random);
                }
            });
            for (int i = 0; i < 8; i++) {
                int number = first + i;
                cluster.at(
                        roundStartMs + i * 60L,
                        () -> cluster.users.submit(SampleJobs.job(number, "blue", false, 2, 2, 5)));
            }
            cluster.at(roundStartMs + 1_200 + 300 * round, () -> crashIfUp(cluster.leader(), 250));
            cluster.at(roundStartMs + 5_000, () -> cluster.state.lateWrites(0, null));
        }
        cluster.sim.run(100_000);
        assertInvariantsHold(cluster);
        assertAllJobsStartOrEnd(cluster, jobIds(FIRST_JOB, 32));
        assertEquals(32, cluster.jobCountWithStatus("done"));
        cluster.sim.run(420_000);
        assertTrue(
                cluster.workers.size() <= 6,
                cluster.workers.size() + " machines are kept for two services, expected at most 6");
    }

    @ParameterizedTest
    @CsvSource({"1, 40", "2, 200", "3, 700", "4, 1500"})
    @DisplayName(
            "jobs cancelled at any controller during a takeover are cancelled, also when machines or state service fail")
    void jobsCancelledDuringTakeoverAreCancelledAndOthersRun(long seed, long cancelIntervalMs) {
        SimulatedCluster cluster = new SimulatedCluster(1_120 + seed, 0);
        startServices(cluster, 2);
        for (int i = 0; i < 14; i++) {
            cluster.users.submit(SampleJobs.job(FIRST_JOB + i, "blue", false, 2, 1, 300));
        }
        cluster.sim.run(45_000);
        for (int round = 0; round < 3; round++) {
            long roundStartMs = 46_000 + round * 36_000L;
            int first = FIRST_JOB + round * 4;
            cluster.at(roundStartMs, () -> cluster.refuse(cluster.leader(), 9_000));
            for (int i = 0; i < 4; i++) {
                String id = SampleJobs.id(first + i);
                cluster.at(roundStartMs + i * cancelIntervalMs, () -> cluster.users.cancel(id));
            }
            cluster.at(
                    roundStartMs + 300,
                    () -> cluster.workers.stream()
                            .filter(worker -> worker.running() != null)
                            .limit(4)
                            .forEach(worker -> {
                                worker.hang(true);
                                cluster.at(
                                        roundStartMs + 300 + ClusterSetup.LEASE_MS - 1_500, () -> worker.hang(false));
                            }));
            if (round == 1) {
                cluster.at(roundStartMs + 1_000, () -> cluster.state.outage(true));
                cluster.at(roundStartMs + 1_000 + ClusterSetup.CANCEL_MS + 4_000, () -> cluster.state.outage(false));
            }
            if (round == 2) {
                cluster.at(roundStartMs + 500, () -> crashIfUp(cluster.leader(), 200));
            }
        }
        cluster.sim.run(160_000);
        assertEquals(12, cluster.jobCountWithStatus("cancelled"));
        assertInvariantsHold(cluster);
        assertAllJobsStartOrEnd(cluster, jobIds(FIRST_JOB, 14));
    }

    @ParameterizedTest
    @CsvSource({"1, false", "2, true", "3, true"})
    @DisplayName(
            "controllers agree on every job after ten leader changes in two minutes, also with an outage and cancellations")
    void controllersAgreeOnAllJobsAfterTenLeaderChanges(long seed, boolean outage) {
        SimulatedCluster cluster = new SimulatedCluster(1_140 + seed, 8);
        startServices(cluster, 3);
        cluster.users.askEverywhereAtOnce = true;
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int number = FIRST_JOB + i;
            ids.add(SampleJobs.id(number));
            cluster.at(
                    31_000 + i * 4_000L,
                    () -> cluster.users.submit(
                            SampleJobs.job(number, number % 2 == 0 ? "red" : "blue", false, 1 + number % 3, 1, 6)));
            if (number % 4 == 0) {
                cluster.at(34_000 + i * 4_000L, () -> cluster.users.cancel(SampleJobs.id(number)));
            }
        }
        for (int i = 0; i < 10; i++) {
            int change = i;
            cluster.at(35_000 + i * 12_000L, () -> {
                if (change % 2 == 0) {
                    crashIfUp(cluster.leader(), change % 4 == 0 ? 150 : 3_000);
                } else {
                    cluster.refuse(cluster.leader(), 4_000);
                }
            });
        }
        if (outage) {
            cluster.at(70_000, () -> cluster.state.outage(true));
            cluster.at(70_000 + ClusterSetup.CANCEL_MS + 3_000, () -> cluster.state.outage(false));
        }
        cluster.sim.run(200_000);
        ClusterAssertions.allJobsEndedAndControllersAgree(cluster, ids);
        assertAllJobsStartOrEnd(cluster, ids);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "jobs are cancelled while a zone with a controller is cut off for more than a lease, leader inside or outside")
    void jobsAreCancelledWhileZoneWithControllerIsCutOff(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(1_160 + seed, 0);
        startServices(cluster, 4);
        for (int i = 0; i < 6; i++) {
            cluster.users.submit(SampleJobs.job(FIRST_JOB + i, "blue", false, 3, 1, 200));
        }
        cluster.sim.run(45_000);
        ControllerNode inside = seed == 1 ? cluster.leader() : cluster.nodes.get((cluster.leader().index + 1) % 3);
        cluster.at(46_000, () -> {
            cluster.workers.forEach(worker -> cluster.nodes.forEach(node -> {
                if (worker.box().zone.equals("b") != (node == inside)) {
                    cluster.sim.cut(node.host.name, worker.box().id);
                }
            }));
            cluster.nodes.stream()
                    .filter(node -> node != inside)
                    .forEach(node -> cluster.sim.cut(inside.host.name, node.host.name));
            if (seed != 3) {
                cluster.sim.cut(inside.host.name, "state");
            }
        });
        ControllerNode outside = cluster.nodes.stream()
                .filter(node -> node != inside)
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 3; i++) {
            String id = SampleJobs.id(FIRST_JOB + i);
            cluster.at(47_000 + i * 900L, () -> cluster.users.askOnce(id, "cancel", outside.index));
        }
        cluster.at(46_000 + 2 * ClusterSetup.LEASE_MS, cluster.sim::heal);
        cluster.sim.run(110_000);
        assertEquals(3, cluster.jobCountWithStatus("cancelled"));
        assertInvariantsHold(cluster);
        assertAllJobsStartOrEnd(cluster, jobIds(FIRST_JOB, 6));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "the team limit holds while a cancelled job that a new leader has not cached runs on machines that can't report")
    void teamLimitHoldsWhenNewLeaderHasNotCachedCancelledJob(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(1_180 + seed, 8);
        startServices(cluster, 2);
        cluster.users.submit(SampleJobs.job(FIRST_JOB, "red", false, 8, 1, 300));
        // Ends early, so that its machines are free and only the team limit holds back the next job.
        cluster.users.submit(SampleJobs.job(FIRST_JOB + 2, "blue", false, 8, 1, 7));
        cluster.sim.run(45_000);
        cluster.users.submit(SampleJobs.job(FIRST_JOB + 1, "red", false, 8, 1, 5));
        List<EmulatedWorker> muteWorkers = IntStream.range(0, 8)
                .mapToObj(i -> workerRunning(cluster, SampleJobs.id(FIRST_JOB) + "/" + i))
                .distinct()
                .toList();
        cluster.at(
                46_000,
                () -> muteWorkers.forEach(worker -> cluster.heartbeatFaults.droppedMachines.add(worker.box().id)));
        // The leader has just crashed, so it can't act on the cancellation.
        ControllerNode follower = cluster.nodes.get((cluster.leader().index + 1) % 3);
        cluster.at(46_500, () -> cluster.leader().crash(300));
        cluster.at(46_510, () -> cluster.users.askOnce(SampleJobs.id(FIRST_JOB), "cancel", follower.index));
        cluster.at(46_700, () -> {
            assertEquals("cancelled", cluster.checker.lastStatusByJob.get(SampleJobs.id(FIRST_JOB)));
            HistorySeeds.jobKeys(cluster, 2_000, 2_300, 1);
            cluster.nodes.forEach(node -> crashIfUp(node, 200));
        });
        cluster.at(60_000, cluster.heartbeatFaults.droppedMachines::clear);
        cluster.sim.run(90_000);
        assertInvariantsHold(cluster);
        assertAllJobsStartOrEnd(cluster, jobIds(FIRST_JOB, 2));
        assertEquals("done", cluster.checker.lastStatusByJob.get(SampleJobs.id(FIRST_JOB + 1)));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    @DisplayName(
            "large jobs start in time and all jobs end when urgent jobs exceed capacity, over slow links and a leader change")
    void largeJobsStartInTimeWhenUrgentJobsExceedCapacity(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(new ClusterSetup(
                1_200 + seed,
                3,
                3,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                ClusterSetup.small(0, 0, 3).teams(),
                new Settings.State(200, 20, 4, 8)));
        cluster.nodes.forEach(node -> cluster.sim.maxExtraDelayMsByHost.put(node.host.name, 600L));
        startServices(cluster, 2);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            JobSpec small = SampleJobs.job(FIRST_JOB + i, i % 2 == 0 ? "red" : "blue", false, 2, 1, 12);
            ids.add(small.id());
            cluster.at(
                    31_000 + i * 3_000L,
                    () -> cluster.users.submit(new JobSpec(
                            small.id(),
                            "urgent",
                            small.team(),
                            false,
                            Priority.of("urgent"),
                            2,
                            1,
                            0,
                            1,
                            "img-1",
                            0.3,
                            null,
                            null,
                            false,
                            false,
                            true,
                            12,
                            0,
                            0,
                            null)));
        }
        for (int i = 0; i < 3; i++) {
            JobSpec large = SampleJobs.job(FIRST_JOB + 100 + i, i == 1 ? "red" : "blue", false, 40, 1, 15);
            ids.add(large.id());
            cluster.at(40_000 + i * 15_000L, () -> cluster.users.submit(large));
        }
        cluster.at(80_000, () -> crashIfUp(cluster.leader(), 300));
        cluster.at(120_000, () -> cluster.workers.stream().limit(2).forEach(worker -> worker.hang(true)));
        cluster.at(132_000, () -> cluster.workers.stream().limit(2).forEach(worker -> worker.hang(false)));
        cluster.sim.run(400_000);
        assertInvariantsHold(cluster);
        for (int i = 0; i < 3; i++) {
            assertTrue(
                    cluster.checker.firstStart(SampleJobs.id(FIRST_JOB + 100 + i)) <= 40_000 + i * 15_000L + 240_000,
                    "a large job did not start within 240 s of its submission");
        }
        ClusterAssertions.allJobsEndedAndControllersAgree(cluster, ids);
    }
}
