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

/**
 * Pipelines, that is jobs that await other jobs, under failures of every component. Guards against a stage that starts
 * too early, never starts or has no stored end: a controller can crash, or a write can be late, between one stage's end
 * and the next stage's start. The invariant checker checks all its rules throughout.
 */
class PipelinesTest {
    private static final int FIRST_JOB_NUMBER = 100_000;
    private static final Settings.State EARLIER_LIMITS = new Settings.State(200, 20, 4, 8);
    private static final Settings.State LOWER_LIMITS = new Settings.State(200, 15, 2, 4);

    private static final Map<String, Settings.Team> TEAMS = Map.of("blue", new Settings.Team("blue", 800, 0, 0, 0));

    private final List<String> pipelineJobIds = new ArrayList<>();
    private int nextJobNumber = FIRST_JOB_NUMBER;

    private JobSpec newStage(int tasks, List<String> awaits) {
        JobSpec spec =
                SampleJobs.job(nextJobNumber++, "blue", false, tasks, 1, 3).awaiting(awaits);
        pipelineJobIds.add(spec.id());
        return spec;
    }

    /**
     * Schedules one pipeline: a first job, two or three jobs that await it, and one that awaits these. In one of four
     * pipelines on average, the user cancels one of the jobs.
     */
    private void schedulePipeline(SimulatedCluster cluster, long atMs) {
        JobSpec first = newStage(3, List.of());
        List<String> middleIds = new ArrayList<>();
        List<JobSpec> stages = new ArrayList<>(List.of(first));
        for (int i = 0; i < 2 + cluster.sim.random.nextInt(2); i++) {
            JobSpec spec = newStage(4, List.of(first.id()));
            middleIds.add(spec.id());
            stages.add(spec);
        }
        stages.add(newStage(2, middleIds));
        stages.forEach(spec -> cluster.at(atMs, () -> cluster.users.submitWhenAwaitedAreAccepted(spec)));
        if (cluster.sim.random.nextInt(4) == 0) {
            String cancelledId =
                    stages.get(cluster.sim.random.nextInt(stages.size())).id();
            cluster.at(atMs + cluster.sim.random.nextInt(12_000), () -> cancelOnceAccepted(cluster, cancelledId));
        }
    }

    private static void cancelOnceAccepted(SimulatedCluster cluster, String id) {
        if (cluster.checker.lastStatusByJob.containsKey(id)) {
            cluster.users.cancel(id);
        } else {
            cluster.at(cluster.sim.now + 100, () -> cancelOnceAccepted(cluster, id));
        }
    }

    private SimulatedCluster clusterWithPipelines(long seed, int pipelines, long intervalMs) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0);
        for (int i = 0; i < pipelines; i++) {
            schedulePipeline(cluster, 2_000 + i * intervalMs);
        }
        return cluster;
    }

    private void runUntilAllStagesHaveEnded(SimulatedCluster cluster, long untilMs) {
        cluster.sim.run(untilMs);
        ClusterAssertions.allJobsEndedAndControllersAgree(cluster, pipelineJobIds);
        assertTrue(
                cluster.jobCountWithStatus("done") > pipelineJobIds.size() / 3,
                cluster.jobCountWithStatus("done") + " of " + pipelineJobIds.size() + " jobs are done");
        assertTrue(cluster.jobCountWithStatus("cancelled") > 0, "no job was cancelled");
        for (String id : cluster.state.keys(Keys.JOBS)) {
            assertTrue(cluster.state.value(id).has("ended"), "job " + id + " has no stored end");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void everyStageEndsWithoutFaults(long seed) {
        SimulatedCluster cluster = clusterWithPipelines(seed, 20, 4_000);
        runUntilAllStagesHaveEnded(cluster, 240_000);
    }

    /** The leader crashes at times that cover every step between the end of a stage and the start of the next one. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void everyStageEndsWhenLeadersCrashBetweenStages(long seed) {
        SimulatedCluster cluster = clusterWithPipelines(seed, 20, 4_000);
        for (int i = 0; i < 9; i++) {
            cluster.at(
                    9_000 + i * 9_000L + seed * 131 + i * 17L,
                    () -> ClusterAssertions.crashIfUp(cluster.leader(), 500 + cluster.sim.random.nextInt(3_000)));
        }
        runUntilAllStagesHaveEnded(cluster, 300_000);
    }

    /** All controllers crash; later the state service is down for longer than the time limit of a cancellation. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void everyStageEndsWhenAllControllersCrashAndStateServiceIsDownLongerThanCancelLimit(long seed) {
        SimulatedCluster cluster = clusterWithPipelines(seed, 20, 4_000);
        cluster.at(
                14_000 + seed * 100,
                () -> cluster.nodes.forEach(controller -> ClusterAssertions.crashIfUp(controller, 1_500)));
        cluster.at(32_000, () -> cluster.state.outage(true));
        cluster.at(32_000 + ClusterSetup.CANCEL_MS + 6_000, () -> cluster.state.outage(false));
        cluster.at(70_000, () -> cluster.refuse(cluster.leader(), 9_000));
        runUntilAllStagesHaveEnded(cluster, 300_000);
    }

    /** Writes are applied late and answers are lost, both for writes that serve users' requests and for the leader's own. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33})
    void everyStageEndsWhenWritesAreLateAndAnswersAreLost(long seed) {
        SimulatedCluster cluster = clusterWithPipelines(seed, 16, 5_000);
        cluster.at(5_000, () -> cluster.state.lateWrites(0.15, cluster.sim.random));
        cluster.at(60_000, () -> cluster.state.lateWrites(0, null));
        cluster.at(60_000, () -> cluster.sim.lostAnswerShareByHost.put("state", 0.2));
        cluster.at(95_000, () -> cluster.sim.lostAnswerShareByHost.clear());
        cluster.at(50_000, () -> ClusterAssertions.crashIfUp(cluster.leader(), 800));
        runUntilAllStagesHaveEnded(cluster, 360_000);
    }

    /**
     * An earlier version fills pages up to larger limits. The next version must split them, because the limits are
     * lowered later.
     */
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void valuesFitLowerLimitsThatTakeEffectAfterUpgrade(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(new ClusterSetup(
                seed, 3, 160, 3_000, ClusterSetup.REPORT_MS, ClusterSetup.LEASE_MS, TEAMS, EARLIER_LIMITS));
        cluster.enforceLimits();
        for (int i = 0; i < 40; i++) {
            JobSpec service = SampleJobs.job(i, "blue", true, 3, 4, 0);
            cluster.at(200 + i * 100L, () -> cluster.users.submit(service));
        }
        cluster.sim.run(39_000);
        long largerValues = cluster.state.keys(Keys.ROOT).stream()
                .filter(key -> Json.bytes(cluster.state.value(key)).length > LOWER_LIMITS.valueBytes())
                .count();
        assertTrue(largerValues > 0, "no value of the earlier version exceeds the lower limit");
        cluster.upgrade(40_000, 8_000, 1_000, LOWER_LIMITS);
        for (int i = 0; i < 10; i++) {
            schedulePipeline(cluster, 75_000 + i * 4_000L);
        }
        cluster.at(62_000 + seed * 37, () -> ClusterAssertions.crashIfUp(cluster.leader(), 1_500));
        cluster.at(70_000, () -> cluster.limitsFall(LOWER_LIMITS));
        cluster.at(90_000, () -> ClusterAssertions.crashIfUp(cluster.leader(), 1_500));
        cluster.at(110_000, () -> cluster.nodes.forEach(controller -> ClusterAssertions.crashIfUp(controller, 1_000)));
        cluster.sim.run(260_000);
        ClusterAssertions.allJobsEndedAndControllersAgree(cluster, pipelineJobIds);
        assertEquals(120, cluster.checker.locationByTask.size(), "number of running replicas");
        for (String key : cluster.state.keys(Keys.ROOT)) {
            assertTrue(
                    Json.bytes(cluster.state.value(key)).length <= LOWER_LIMITS.valueBytes(),
                    "value of " + key + " exceeds the lower limit");
        }
    }

    /**
     * A job that awaits others is accepted only when every controller is known to support pipelines; all other jobs are
     * accepted.
     */
    @Test
    void awaitingJobIsNotAcceptedUntilEveryControllerSupportsPipelines() {
        SimulatedCluster cluster = new SimulatedCluster(51, 0);
        cluster.state.seed(Capabilities.ROOT + "rig-2", Json.object().put("history", 1));
        cluster.nodes.get(2).crash(60_000);
        JobSpec first = newStage(1, List.of());
        JobSpec second = newStage(1, List.of(first.id()));
        cluster.at(1_000, () -> cluster.users.submit(first));
        cluster.at(20_000, () -> cluster.users.submitWhenAwaitedAreAccepted(second));
        cluster.sim.run(60_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get(first.id()));
        assertTrue(
                cluster.state.value(Keys.JOBS + second.id()) == null,
                "the awaiting job was accepted before every controller supports pipelines");
        cluster.sim.run(120_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get(second.id()));
        ClusterAssertions.assertInvariantsHold(cluster);
    }

    /**
     * The awaited job is unknown, the submitted job itself or a service (rejected), cancelled, whether in the history
     * or not (cancelled as well), or done and in the history (runs).
     */
    @Test
    void submissionIsRejectedCancelledOrRunDependingOnAwaitedJob() {
        SimulatedCluster cluster = new SimulatedCluster(61, 0);
        HistorySeeds.segments(cluster.state, 500_000, 8);
        JobSpec service = SampleJobs.job(1, "blue", true, 1, 1, 0);
        JobSpec cancelledJob = SampleJobs.job(2, "blue", false, 1, 1, 60);
        cluster.at(1_000, () -> cluster.users.submit(service));
        cluster.at(1_000, () -> cluster.users.submit(cancelledJob));
        cluster.at(9_000, () -> cluster.users.cancel(cancelledJob.id()));
        cluster.sim.run(20_000);
        assertEquals(422, submitAwaiting(cluster, 3, SampleJobs.id(99)));
        assertEquals(422, submitAwaiting(cluster, 4, SampleJobs.id(4)));
        assertEquals(422, submitAwaiting(cluster, 5, service.id()));
        cluster.checker.cancelAsked.add(SampleJobs.id(6));
        assertEquals(201, submitAwaiting(cluster, 6, cancelledJob.id()));
        assertEquals(201, submitAwaiting(cluster, 7, SampleJobs.id(500_001)));
        cluster.checker.cancelAsked.add(SampleJobs.id(8));
        assertEquals(201, submitAwaiting(cluster, 8, SampleJobs.id(500_000)));
        // Job 7 is already known, so the answer is 200 whichever job it awaits.
        assertEquals(200, submitAwaiting(cluster, 7, SampleJobs.id(99)));
        cluster.sim.run(40_000);
        for (int i = 6; i <= 8; i++) {
            cluster.users.poll(SampleJobs.id(i));
        }
        cluster.sim.run(43_000);
        assertEquals("cancelled", cluster.checker.lastStatusByJob.get(SampleJobs.id(6)));
        assertEquals("done", cluster.checker.lastStatusByJob.get(SampleJobs.id(7)));
        assertEquals("cancelled", cluster.checker.lastStatusByJob.get(SampleJobs.id(8)));
        ClusterAssertions.assertInvariantsHold(cluster);
    }

    /**
     * The awaited job was cancelled and moved to the history before the controllers started. No table holds it, so a
     * controller must look it up before its first answer: every controller reports the awaiting job as cancelled from
     * that answer on.
     */
    @Test
    void jobThatAwaitsCancelledJobInHistoryIsNeverReportedQueuedAfterStart() {
        SimulatedCluster cluster = new SimulatedCluster(71, 0);
        HistorySeeds.segments(cluster.state, 500_000, 8);
        JobSpec waiting = SampleJobs.job(9, "blue", false, 1, 1, 1).awaiting(List.of(SampleJobs.id(500_000)));
        cluster.state.seed(Keys.JOBS + waiting.id(), StoredJobCodec.accepted(waiting, 0));
        cluster.checker.specs.put(waiting.id(), waiting);
        cluster.checker.cancelAsked.add(waiting.id());
        for (long timeMs = 200; timeMs < 3_000; timeMs += 20) {
            int controllerIndex = (int) (timeMs / 20 % 3);
            cluster.at(timeMs, () -> cluster.users.askOnce(waiting.id(), "poll", controllerIndex));
            cluster.at(
                    timeMs,
                    () -> assertTrue(
                            !"accepted".equals(cluster.checker.lastStatusByJob.get(waiting.id())),
                            "the job was reported as queued"));
        }
        cluster.sim.run(10_000);
        assertEquals("cancelled", cluster.checker.lastStatusByJob.get(waiting.id()));
        ClusterAssertions.assertInvariantsHold(cluster);
    }

    private static int submitAwaiting(SimulatedCluster cluster, int jobNumber, String awaitedId) {
        JobSpec spec = SampleJobs.job(jobNumber, "blue", false, 1, 1, 1);
        cluster.checker.specs.putIfAbsent(spec.id(), spec);
        return cluster.users.post(
                cluster.nodes.get(jobNumber % 3),
                Json.bytes(spec.awaiting(List.of(awaitedId)).json()));
    }
}
