package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;
import static org.landingridge.experiment.ClusterAssertions.crashIfUp;
import static org.landingridge.experiment.ClusterAssertions.startServices;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.emulator.EmulatedWorker;

/**
 * Pairs of faults that operators met at the same time, each with the rule that must still hold; {@code docs/meetings.md}
 * describes them. Most join a crash, a cut or refused requests of the leader with a lost, delayed or duplicated message.
 */
class FaultCombinationsTest {
    private static final int FIRST_ARRAY_JOB = 40;
    private static final int ARRAY_JOB_COUNT = 6;
    private static final int CANCELLED_JOB_COUNT = 4;

    /** Returns a cluster on which four services and several array jobs of 300 s run. */
    private static SimulatedCluster clusterWithRunningJobs(long seed, int controllers) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, controllers);
        startServices(cluster, 4);
        for (int i = 0; i < ARRAY_JOB_COUNT; i++) {
            cluster.users.submit(SampleJobs.job(FIRST_ARRAY_JOB + i, "blue", false, 2, 1, 300));
        }
        cluster.sim.run(45_000);
        assertEquals(4 + 2 * ARRAY_JOB_COUNT, cluster.checker.locationByTask.size());
        return cluster;
    }

    /** Schedules cancel requests for consecutive jobs, 20 ms apart, through the given controller instead of the leader. */
    private static void cancelJobsThrough(
            SimulatedCluster cluster, ControllerNode controller, long atMs, int firstJob, int count) {
        for (int i = 0; i < count; i++) {
            String id = SampleJobs.id(firstJob + i);
            cluster.at(atMs + i * 20L, () -> cluster.users.askOnce(id, "cancel", controller.index));
        }
    }

    private static long countTasksOfCancelledJobs(SimulatedCluster cluster) {
        return cluster.checker.locationByTask.keySet().stream()
                .filter(task -> "cancelled".equals(cluster.checker.lastStatusByJob.get(task.substring(0, 10))))
                .count();
    }

    /**
     * Schedules requests of the leader alone to be refused by the state service while another controller confirms
     * cancellations, then an outage for all that lasts three times the limit for cancellations.
     *
     * @param delayMs milliseconds from the first refusal to the outage
     * @return the controller that confirms the cancellations
     */
    private static ControllerNode refuseLeaderThenStartOutage(SimulatedCluster cluster, long delayMs) {
        ControllerNode leader = cluster.leader();
        ControllerNode other = cluster.nodes.get((leader.index + 1) % cluster.nodes.size());
        cluster.at(46_000, () -> cluster.state.refuse(leader.host.name, true));
        cancelJobsThrough(cluster, other, 46_100, FIRST_ARRAY_JOB, CANCELLED_JOB_COUNT);
        cluster.at(46_000 + delayMs, () -> cluster.state.outage(true));
        cluster.at(46_000 + delayMs + 3 * ClusterSetup.CANCEL_MS, () -> cluster.state.outage(false));
        return other;
    }

    private static void runAndAssertCancelledWithinLimit(SimulatedCluster cluster) {
        cluster.sim.run(46_000 + ClusterSetup.CANCEL_MS);
        assertEquals(
                CANCELLED_JOB_COUNT,
                cluster.jobCountWithStatus("cancelled"),
                "every cancelled job should be reported as cancelled");
        assertEquals(0, countTasksOfCancelledJobs(cluster), "no task of a cancelled job should still run");
        cluster.sim.run(150_000);
        assertInvariantsHold(cluster);
        assertTrue(
                cluster.allTasksRun(SampleJobs.id(FIRST_ARRAY_JOB + CANCELLED_JOB_COUNT), 2),
                "tasks of jobs that were not cancelled should run");
    }

    @ParameterizedTest
    @CsvSource({"1, 3, 900, 60000", "2, 3, 1100, 46950", "3, 7, 900, 120000", "4, 3, 500, 49000", "5, 5, 1200, 48000"})
    @DisplayName(
            "the leader alone is refused, jobs are cancelled through another controller, then an outage exceeds the cancel limit")
    void cancelledJobsStopAndLeaderStaysWhenItsRefusalIsFollowedByLongOutage(
            long seed, int controllers, long delayMs, long refusalEndMs) {
        SimulatedCluster cluster = clusterWithRunningJobs(500 + seed, controllers);
        int starts = cluster.checker.starts;
        String leader = cluster.leader().host.name;
        refuseLeaderThenStartOutage(cluster, delayMs);
        cluster.at(refusalEndMs, () -> cluster.state.refuse(leader, false));
        runAndAssertCancelledWithinLimit(cluster);
        assertEquals(
                starts,
                cluster.checker.starts,
                "no task should start again: with confirmations of all controllers the leader keeps leading");
    }

    @ParameterizedTest
    @CsvSource({"1, 100", "2, 600", "3, 50", "4, 1500"})
    @DisplayName(
            "the controller that confirmed a cancellation restarts and can't vouch for it, so the leader steps down in time")
    void cancelledJobsStopWhenConfirmingControllerRestarts(long seed, long restartDelayMs) {
        SimulatedCluster cluster = clusterWithRunningJobs(510 + seed, 3);
        ControllerNode other = refuseLeaderThenStartOutage(cluster, 900);
        // The third controller must not learn of the cancellations, as it would pass them on to the leader.
        String third = cluster.nodes.get(3 - cluster.leader().index - other.index).host.name;
        cluster.at(46_000, () -> cluster.state.refuse(third, true));
        cluster.at(60_000, () -> cluster.state.refuse(third, false));
        cluster.at(46_100 + CANCELLED_JOB_COUNT * 20L + 60, () -> other.crash(restartDelayMs));
        runAndAssertCancelledWithinLimit(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("users poll a third controller while messages of the one that cancelled are delayed or duplicated")
    void cancelledJobsStopWhenPolledThroughThirdControllerWhileMessagesAreDelayed(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(530 + seed, 3);
        ControllerNode other = refuseLeaderThenStartOutage(cluster, 900);
        int third = 3 - cluster.leader().index - other.index;
        for (int i = 0; i < CANCELLED_JOB_COUNT; i++) {
            String id = SampleJobs.id(FIRST_ARRAY_JOB + i);
            cluster.at(46_500 + i * 20L, () -> cluster.users.askOnce(id, "poll", third));
        }
        cluster.at(46_800, () -> cluster.sim.cut(cluster.leader().host.name, other.host.name));
        cluster.at(48_500, cluster.sim::heal);
        cluster.sim.copyShareByHost.put(cluster.leader().host.name, 0.5);
        cluster.sim.maxCopyDelayMs = 6_000;
        runAndAssertCancelledWithinLimit(cluster);
    }

    @ParameterizedTest
    @CsvSource({"1, 300", "2, 5000", "3, 30000"})
    @DisplayName("the refused leader crashes during the outage, and another controller or none succeeds it")
    void cancelledJobsStopWhenRefusedLeaderCrashesDuringOutage(long seed, long restartDelayMs) {
        SimulatedCluster cluster = clusterWithRunningJobs(540 + seed, 3);
        refuseLeaderThenStartOutage(cluster, 900);
        ControllerNode leader = cluster.leader();
        cluster.at(48_000, () -> leader.crash(restartDelayMs));
        runAndAssertCancelledWithinLimit(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "two of five controllers are refused, a third confirms cancellations, and messages are duplicated during the outage")
    void cancelledJobsStopWhenTwoOfFiveControllersAreRefused(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(550 + seed, 5);
        ControllerNode other = refuseLeaderThenStartOutage(cluster, 900);
        cluster.at(46_050, () -> cluster.state.refuse(cluster.nodes.get((other.index + 1) % 5).host.name, true));
        cluster.at(46_800, () -> cluster.sim.lostAnswerShareByHost.put(other.host.name, 0.0));
        cluster.at(52_000, () -> cluster.sim.copyShareByHost.put("", 0.2));
        cluster.at(58_000, () -> cluster.sim.copyShareByHost.clear());
        cluster.at(100_000, () -> cluster.nodes.forEach(node -> cluster.state.refuse(node.host.name, false)));
        runAndAssertCancelledWithinLimit(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "a start sent directly to its machine is delayed while its job is cancelled and the state service is down")
    void cancelledJobStaysStoppedWhenItsStartIsDelayedDuringOutage(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(560 + seed, 3);
        ControllerNode leader = cluster.leader();
        ControllerNode other = cluster.nodes.get((leader.index + 1) % 3);
        cluster.at(46_000, () -> cluster.workers.forEach(worker -> cluster.sim.cut(leader.host.name, worker.box().id)));
        cluster.at(
                46_050, () -> cluster.users.submit(SampleJobs.job(FIRST_ARRAY_JOB + 20, "blue", false, 3, 0.25, 100)));
        cancelJobsThrough(cluster, other, 46_500, FIRST_ARRAY_JOB + 20, 1);
        cluster.at(46_900, () -> cluster.state.outage(true));
        cluster.at(50_000 + ClusterSetup.CANCEL_MS, cluster.sim::heal);
        cluster.at(46_900 + 3 * ClusterSetup.CANCEL_MS, () -> cluster.state.outage(false));
        cluster.sim.run(150_000);
        assertEquals(1, cluster.jobCountWithStatus("cancelled"));
        assertInvariantsHold(cluster);
    }

    @ParameterizedTest
    @CsvSource({"1, 100", "2, 3000", "3, 20000"})
    @DisplayName("a leader crashes while machines send but receive nothing: their tasks run elsewhere one lease later")
    void tasksOfMachinesThatReceiveNothingRunElsewhereAfterOneLease(long seed, long restartDelayMs) {
        SimulatedCluster cluster = clusterWithRunningJobs(570 + seed, 3);
        List<EmulatedWorker> unreachable = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .limit(3)
                .toList();
        cluster.at(46_000, () -> unreachable.forEach(worker -> cluster.sim.receivingNothing.add(worker.box().id)));
        cluster.at(46_300, () -> cluster.leader().crash(restartDelayMs));
        cluster.at(46_300 + 5 * ClusterSetup.LEASE_MS, cluster.sim.receivingNothing::clear);
        // The leader's hold, a lease, a heartbeat that takes 5 s because it waits for its answer, and a boot.
        cluster.sim.run(46_300 + 3_500 + ClusterSetup.LEASE_MS + 5_500 + 4_500);
        assertInvariantsHold(cluster);
        assertEquals(
                4 + 2 * ARRAY_JOB_COUNT,
                cluster.checker.locationByTask.size(),
                "all tasks should run again although the machines that receive nothing still report");
        cluster.sim.run(150_000);
        assertInvariantsHold(cluster);
        assertEquals(4 + 2 * ARRAY_JOB_COUNT, cluster.checker.locationByTask.size());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "a leader whose leadership expired is elected again: heartbeats that it answered meanwhile count as answered")
    void noTaskIsLostWhenFormerLeaderIsElectedAgain(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(520 + seed, 3);
        ControllerNode leader = cluster.leader();
        int starts = cluster.checker.starts;
        // The others can't claim leadership, as their requests are refused too, but still forward heartbeats.
        cluster.at(46_000, () -> cluster.nodes.forEach(node -> cluster.state.refuse(node.host.name, true)));
        cluster.at(52_000, () -> cluster.state.refuse(leader.host.name, false));
        cluster.at(90_000, () -> cluster.nodes.forEach(node -> cluster.state.refuse(node.host.name, false)));
        cluster.sim.run(80_000);
        assertEquals(leader, cluster.leader(), "no other controller could claim leadership");
        assertEquals(
                0,
                cluster.metric(leader, "landingridge_lapses"),
                "machines answered in its former term should not lose their leases");
        cluster.sim.run(150_000);
        assertInvariantsHold(cluster);
        assertEquals(starts, cluster.checker.starts, "no task should start again");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "machines whose heartbeats are lost open a session and get starts by calls: the lease of the new session counts")
    void leaseOfNewSessionCountsWhenItsHeartbeatsAreLost(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(580 + seed, 3);
        cluster.at(
                46_000,
                () -> cluster.workers.stream()
                        .filter(worker -> worker.running() != null)
                        .forEach(worker -> cluster.heartbeatFaults.droppedMachines.add(worker.box().id)));
        cluster.at(46_050, () -> cluster.leader().crash(20_000));
        cluster.at(90_000, cluster.heartbeatFaults.droppedMachines::clear);
        cluster.sim.run(150_000);
        assertInvariantsHold(cluster);
        assertEquals(4 + 2 * ARRAY_JOB_COUNT, cluster.checker.locationByTask.size());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "a leader is paused while another controller is refused, which must forward heartbeats to the new leader")
    void noTaskIsLostWhenRefusedControllerForwardsHeartbeatsDuringTakeover(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(590 + seed, 3);
        int starts = cluster.checker.starts;
        ControllerNode leader = cluster.leader();
        ControllerNode refused = cluster.nodes.get((leader.index + 1) % 3);
        cluster.at(46_000, () -> cluster.state.refuse(refused.host.name, true));
        cluster.at(46_500, () -> leader.host.freeze(20_000));
        cluster.at(80_000, () -> cluster.state.refuse(refused.host.name, false));
        cluster.sim.run(120_000);
        assertInvariantsHold(cluster);
        assertEquals(
                starts,
                cluster.checker.starts,
                "no task should start again: the refused controller forwards to the new leader");
    }

    /**
     * A machine's last heartbeats are delayed behind a cut. It restarts under its old name and gets work from a new leader; then
     * the heartbeats from before the restart arrive, with a higher sequence number or session than the new ones have reached.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "3, true", "4, true"})
    void lateHeartbeatsFromBeforeRestartChangeNothing(long seed, boolean afterLeaseExpiry) {
        SimulatedCluster cluster = clusterWithRunningJobs(600 + seed, 3);
        ControllerNode leader = cluster.leader();
        ControllerNode newLeader = cluster.nodes.get((leader.index + 1) % 3);
        ControllerNode forwarder = cluster.nodes.get((leader.index + 2) % 3);
        List<EmulatedWorker> workersBefore = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .toList();
        List<String> machines =
                workersBefore.stream().map(worker -> worker.box().id).toList();
        // The third controller can't lead, and is the only one that the machines reach. Where their leases are to
        // expire
        // they don't reach it at first.
        cluster.at(45_900, () -> cluster.state.refuse(forwarder.host.name, true));
        cluster.at(46_000, () -> machines.forEach(machine -> cluster.sim.cut(newLeader.host.name, machine)));
        cluster.at(46_100, () -> leader.crash(60_000));
        if (afterLeaseExpiry) {
            cluster.at(46_000, () -> machines.forEach(machine -> cluster.sim.cut(forwarder.host.name, machine)));
            cluster.at(62_000, () -> machines.forEach(machine -> cluster.sim.heal(forwarder.host.name, machine)));
        }
        cluster.at(
                afterLeaseExpiry ? 60_000 : 52_000,
                () -> workersBefore.forEach(worker -> cluster.restart(worker, 100)));
        cluster.at(78_000, cluster.sim::heal);
        cluster.at(100_000, () -> cluster.state.refuse(forwarder.host.name, false));
        cluster.sim.run(180_000);
        assertInvariantsHold(cluster);
        assertEquals(4 + 2 * ARRAY_JOB_COUNT, cluster.checker.locationByTask.size());
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 200", "2, 20, 200", "3, 120, 3000", "4, 600, 60", "5, 2500, 12000", "6, 60, 12000"})
    @DisplayName("tasks of one job end under different leaders: the job is done when all have ended")
    void jobIsDoneWhenItsTasksEndUnderDifferentLeaders(long seed, long delayMs, long restartDelayMs) {
        SimulatedCluster cluster = clusterWithRunningJobs(620 + seed, 3);
        for (int i = 0; i < 8; i++) {
            cluster.users.submit(SampleJobs.job(FIRST_ARRAY_JOB + 30 + i, "red", false, 2 + i % 2, 1, 30));
        }
        cluster.sim.run(55_000);
        // The first task of each job fails repeatedly, so that it ends long after the others.
        for (long timeMs = 55_000; timeMs < 105_000; timeMs += 5_000) {
            cluster.at(
                    timeMs,
                    () -> cluster.workers.forEach(worker -> {
                        for (int i = 0; i < 8; i++) {
                            worker.fail(SampleJobs.id(FIRST_ARRAY_JOB + 30 + i) + "/0");
                        }
                    }));
        }
        cluster.at(76_500 + delayMs, () -> crashIfUp(cluster.leader(), restartDelayMs));
        cluster.at(79_000 + delayMs, () -> cluster.nodes.forEach(node -> crashIfUp(node, restartDelayMs / 4)));
        cluster.at(90_000, () -> crashIfUp(cluster.leader(), 100));
        cluster.sim.run(260_000);
        assertInvariantsHold(cluster);
        for (int i = 0; i < 8; i++) {
            assertEquals("done", cluster.checker.lastStatusByJob.get(SampleJobs.id(FIRST_ARRAY_JOB + 30 + i)));
        }
        if (restartDelayMs < ClusterSetup.LEASE_MS / 2) {
            // Where a lease expires meanwhile, its machine has discarded results that no controller had stored.
            assertEquals(0, cluster.checker.repeats, "no finished task should run again");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "leadership moves repeatedly, then all controllers crash and one restarts first, while old messages arrive late")
    void allTasksRunWhenLeadershipMovesRepeatedlyBeforeAllControllersRestart(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(630 + seed, 3);
        for (int i = 0; i < 3; i++) {
            int refusalMs = 46_000 + i * 6_000;
            cluster.at(refusalMs, () -> {
                ControllerNode leader = cluster.leader();
                if (leader != null) {
                    cluster.state.refuse(leader.host.name, true);
                    cluster.at(cluster.sim.now + 3_500, () -> cluster.state.refuse(leader.host.name, false));
                }
            });
        }
        cluster.at(52_000, () -> cluster.sim.copyShareByHost.put("", 0.3));
        cluster.at(66_000, () -> cluster.nodes.forEach(node -> crashIfUp(node, node.index == seed % 3 ? 80 : 9_000)));
        cluster.at(66_500, () -> cluster.state.outage(true));
        cluster.at(67_500, () -> cluster.state.outage(false));
        cluster.at(70_000, () -> cluster.sim.copyShareByHost.clear());
        cluster.sim.run(160_000);
        assertInvariantsHold(cluster);
        assertEquals(4 + 2 * ARRAY_JOB_COUNT, cluster.checker.locationByTask.size());
    }

    @ParameterizedTest
    @CsvSource({"1, 0.3", "2, 0.6", "3, 0.9", "4, 0.5", "5, 0.8"})
    @DisplayName(
            "unanswered transactions are applied late, after newer ones, while users cancel, tasks end and leaders change")
    void jobsEndWhenUnansweredTransactionsAreAppliedLate(long seed, double share) {
        SimulatedCluster cluster = clusterWithRunningJobs(640 + seed, 3);
        cluster.at(46_000, () -> cluster.state.lateWrites(share, cluster.sim.random));
        for (int i = 0; i < 14; i++) {
            int jobNumber = FIRST_ARRAY_JOB + 30 + i;
            cluster.at(
                    46_000 + i * 700L,
                    () -> cluster.users.submit(SampleJobs.job(jobNumber, "red", false, 1 + jobNumber % 3, 1, 3)));
            cluster.at(50_000 + i * 900L, () -> {
                if (jobNumber % 2 == 0) {
                    cluster.users.cancel(SampleJobs.id(jobNumber));
                }
            });
        }
        cancelJobsThrough(cluster, cluster.nodes.get(0), 52_000, FIRST_ARRAY_JOB, CANCELLED_JOB_COUNT);
        cluster.at(58_000, () -> crashIfUp(cluster.leader(), 300));
        cluster.at(66_000, () -> cluster.nodes.forEach(node -> crashIfUp(node, 200)));
        cluster.at(72_000, () -> cluster.state.lateWrites(0, null));
        cluster.sim.run(200_000);
        assertInvariantsHold(cluster);
        for (int i = 0; i < 14; i++) {
            String status = cluster.checker.lastStatusByJob.get(SampleJobs.id(FIRST_ARRAY_JOB + 30 + i));
            assertTrue("done".equals(status) || "cancelled".equals(status), status);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    @DisplayName(
            "heartbeats are repeated up to two and a half leases late, through restarts: they end, revive and place no task")
    void jobsEndWhenHeartbeatsAreRepeatedLate(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(650 + seed, 3);
        cluster.heartbeatFaults.lateShare = 0.5;
        for (int i = 0; i < 12; i++) {
            int jobNumber = FIRST_ARRAY_JOB + 30 + i;
            cluster.at(
                    46_000 + i * 2_000L, () -> cluster.users.submit(SampleJobs.job(jobNumber, "red", false, 2, 1, 4)));
        }
        cluster.at(52_000, () -> crashIfUp(cluster.leader(), 200));
        cluster.at(56_000, () -> cluster.restart(cluster.workers.get(0), 150));
        cluster.at(60_000, () -> crashIfUp(cluster.leader(), 8_000));
        cluster.at(64_000, () -> cluster.workers.get(1).hang(true));
        cluster.at(76_000, () -> cluster.workers.get(1).hang(false));
        cluster.at(80_000, () -> cluster.nodes.forEach(node -> crashIfUp(node, 500)));
        cluster.at(100_000, () -> cluster.heartbeatFaults.lateShare = 0);
        cluster.sim.run(200_000);
        assertInvariantsHold(cluster);
        assertEquals(12, cluster.jobCountWithStatus("done"));
    }

    @ParameterizedTest
    @CsvSource({"1, 12000", "2, 25000", "3, 60000"})
    @DisplayName("a leader reaches only workers and users, and jobs are cancelled through the new leader")
    void cancelledJobsStopWhenLeaderReachesOnlyWorkersAndUsers(long seed, long forMs) {
        SimulatedCluster cluster = clusterWithRunningJobs(660 + seed, 3);
        ControllerNode leader = cluster.leader();
        cluster.at(46_000, () -> {
            cluster.sim.cut(leader.host.name, "state");
            cluster.nodes.stream()
                    .filter(node -> node != leader)
                    .forEach(node -> cluster.sim.cut(leader.host.name, node.host.name));
        });
        cancelJobsThrough(
                cluster, cluster.nodes.get((leader.index + 1) % 3), 46_500, FIRST_ARRAY_JOB, CANCELLED_JOB_COUNT);
        for (long timeMs = 47_000; timeMs < 47_000 + forMs; timeMs += 1_000) {
            cluster.at(timeMs, () -> cluster.users.askOnce(SampleJobs.id(FIRST_ARRAY_JOB), "poll", leader.index));
        }
        cluster.at(46_000 + forMs, cluster.sim::heal);
        cluster.sim.run(150_000);
        assertEquals(CANCELLED_JOB_COUNT, cluster.jobCountWithStatus("cancelled"));
        assertInvariantsHold(cluster);
        assertTrue(cluster.allTasksRun(SampleJobs.id(FIRST_ARRAY_JOB + CANCELLED_JOB_COUNT), 2));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    @DisplayName("after an outage and restarts every controller answers for every job within seconds")
    void everyControllerAnswersForEveryJobAfterOutageAndRestarts(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(670 + seed, 3);
        HistorySeeds.jobKeys(cluster, 2_000, 600, 1);
        cluster.at(46_000, () -> cluster.state.outage(true));
        cluster.at(50_000, () -> cluster.nodes.forEach(node -> crashIfUp(node, 100 + node.index * 4_000)));
        cluster.at(95_000, () -> cluster.state.outage(false));
        List<String> ids = IntStream.range(0, 60)
                .mapToObj(i -> SampleJobs.id(i < ARRAY_JOB_COUNT ? FIRST_ARRAY_JOB + i : 2_000 + i * 7))
                .toList();
        for (ControllerNode node : cluster.nodes) {
            long from = 103_000 + node.index * 5_000;
            for (int i = 0; i < ids.size(); i++) {
                String id = ids.get(i);
                cluster.at(from + i * 30L, () -> cluster.users.askOnce(id, "poll", node.index));
            }
            cluster.sim.run(from + 5_000);
            cluster.checker.unanswered(from, ids);
        }
        cluster.sim.run(125_000);
        assertInvariantsHold(cluster);
    }

    /**
     * Late heartbeats from before a restart where the earlier process had already seen the leader's token, through calls whose
     * answers were lost: the token can't tell the two processes apart.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void lateHeartbeatsFromBeforeRestartChangeNothingWhenTokenIsTheSame(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(680 + seed, 3);
        List<EmulatedWorker> workersBefore = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .toList();
        cluster.at(
                46_000,
                () -> workersBefore.forEach(worker -> {
                    cluster.heartbeatFaults.droppedMachines.add(worker.box().id);
                    cluster.sim.lostAnswerShareByHost.put(worker.box().id, 1.0);
                }));
        cluster.at(46_100, () -> cluster.leader().crash(60_000));
        cluster.at(60_000, () -> workersBefore.forEach(worker -> cluster.restart(worker, 100)));
        cluster.at(60_150, () -> {
            cluster.heartbeatFaults.droppedMachines.clear();
            cluster.sim.lostAnswerShareByHost.clear();
        });
        cluster.at(
                72_000,
                () -> cluster.heartbeatFaults.dropped.forEach(
                        heartbeat -> cluster.leader().controller.serve(heartbeat)));
        cluster.sim.run(180_000);
        assertInvariantsHold(cluster);
        assertEquals(4 + 2 * ARRAY_JOB_COUNT, cluster.checker.locationByTask.size());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "a leader that renews its leadership but can't read hands over before the cancel limit, and no task is lost")
    void leaderHandsOverWhenItsWatchesGetNoAnswer(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(690 + seed, 3);
        ControllerNode leader = cluster.leader();
        int starts = cluster.checker.starts;
        cluster.at(46_000, () -> {
            cluster.state.withholdWatches(leader.host.name);
            cluster.state.dropWatches();
        });
        cancelJobsThrough(
                cluster, cluster.nodes.get((leader.index + 1) % 3), 46_200, FIRST_ARRAY_JOB, CANCELLED_JOB_COUNT);
        cluster.sim.run(46_000 + ClusterSetup.CANCEL_MS);
        assertEquals(CANCELLED_JOB_COUNT, cluster.jobCountWithStatus("cancelled"));
        assertEquals(0, countTasksOfCancelledJobs(cluster));
        assertTrue(cluster.leader() != leader, "another controller should lead");
        cluster.at(90_000, cluster.state::answerWatches);
        cluster.sim.run(120_000);
        assertInvariantsHold(cluster);
        assertEquals(starts, cluster.checker.starts);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "a claim is applied and its answer is lost: the claimant acts as leader as soon as the others follow it")
    void newLeaderActsWithin300MsWhenAnswerToItsClaimIsLost(long seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(700 + seed, 3);
        ControllerNode formerLeader = cluster.leader();
        int starts = cluster.checker.starts;
        cluster.at(46_000, () -> {
            cluster.state.lostAnswers(1, cluster.sim.random);
            formerLeader.crash(60_000);
        });
        while (cluster.leader() == null || cluster.leader() == formerLeader) {
            cluster.sim.run(cluster.sim.now + 10);
        }
        long claimedAtMs = cluster.sim.now;
        ControllerNode newLeader = cluster.leader();
        while (!cluster.status(newLeader).path("leadership").asText().equals("LEADING")) {
            cluster.sim.run(cluster.sim.now + 10);
        }
        assertTrue(
                cluster.sim.now - claimedAtMs <= 300,
                "the new leader should act as leader within 300 ms, took " + (cluster.sim.now - claimedAtMs) + " ms");
        cluster.at(cluster.sim.now + 4_000, () -> cluster.state.lostAnswers(0, null));
        cluster.sim.run(120_000);
        assertInvariantsHold(cluster);
        assertEquals(starts, cluster.checker.starts, "no task should start again");
    }
}
