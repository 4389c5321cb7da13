package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.history.Segment;
import org.landingridge.controller.history.SegmentAddress;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.upgrade.Capabilities;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;

/**
 * Guards against terminated jobs that get lost, exist twice or run again while they move into the history. Users poll, resubmit
 * and cancel the jobs meanwhile, and the invariant checker compares all answers with a model that keeps every job.
 */
class JobHistoryTest {
    private static final int JOB_COUNT = 900;

    private static void assertNoJobLostOrDuplicated(SimulatedCluster cluster) {
        ClusterAssertions.assertInvariantsHold(cluster);
        // Each terminated job is either under its own key or in the history.
        for (String id : cluster.checker.lastStatusByJob.keySet()) {
            boolean isReportedEnded = cluster.checker.lastStatusByJob.get(id).equals("done")
                    || cluster.checker.lastStatusByJob.get(id).equals("cancelled");
            assertTrue(
                    !isReportedEnded || isStoredAsEnded(cluster, id),
                    id + " was reported as ended but is not stored as ended");
        }
    }

    private static boolean isStoredAsEnded(SimulatedCluster cluster, String id) {
        JsonNode ownKeyValue = cluster.state.value(Keys.JOBS + id);
        boolean isInHistory = isInHistory(cluster, id);
        assertFalse(isInHistory && ownKeyValue != null, id + " is both under its own key and in the history");
        return isInHistory || ownKeyValue != null && ownKeyValue.has("ended");
    }

    private static boolean isInHistory(SimulatedCluster cluster, String id) {
        SegmentAddress address = SegmentAddress.of(id);
        JsonNode segment = cluster.state.value(address.key());
        try {
            return segment != null && Segment.read(segment).get(address.offset()) != null;
        } catch (InvalidMessageException e) {
            return false;
        }
    }

    private static int countMoved(SimulatedCluster cluster) {
        return JOB_COUNT
                - (int) cluster.state.keys(Keys.JOBS).stream()
                        .filter(key -> cluster.state.value(key).has("ended"))
                        .count();
    }

    /** Schedules polls, resubmissions and cancellations of known jobs, and polls of jobs that were never submitted. */
    private static void scheduleRequests(SimulatedCluster cluster, long fromMs, long toMs, int intervalMs) {
        List<String> ids = new ArrayList<>(cluster.checker.lastStatusByJob.keySet());
        String[] requestKinds = {"poll", "submit", "cancel"};
        for (long timeMs = fromMs; timeMs < toMs; timeMs += intervalMs) {
            cluster.at(
                    timeMs,
                    () -> cluster.users.askOnce(
                            ids.get(cluster.sim.random.nextInt(ids.size())),
                            requestKinds[cluster.sim.random.nextInt(3)]));
            cluster.at(
                    timeMs + intervalMs / 2,
                    () -> cluster.users.poll(String.format("job-9%05d", cluster.sim.random.nextInt(100_000))));
        }
    }

    /** Covers consecutive ids, which share segments, and ids with a segment each. */
    @ParameterizedTest
    @CsvSource({"1,1", "2,1", "3,700"})
    void jobsMoveAndAnswersStayRightWhileUsersSendRequests(long seed, int idDistance) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(cluster, 100_000, JOB_COUNT, idDistance);
        scheduleRequests(cluster, 2_000, 240_000, 150);
        cluster.users.submit(SampleJobs.job(7, "red", false, 3, 2, 4));
        cluster.sim.run(400_000);
        assertNoJobLostOrDuplicated(cluster);
        assertEquals("done", cluster.checker.lastStatusByJob.get("job-000007"));
        assertTrue(countMoved(cluster) > 500, countMoved(cluster) + " moved");
        assertTrue(cluster.state.mostWrites() <= 20, cluster.state.mostWrites() + " writes in one second");
    }

    /** Guards against the state of a job in the history being answered for an id that nobody submitted. */
    @ParameterizedTest
    @ValueSource(strings = {"196", "00196", "196/0", "job-", "JOB-100352", "other-196", "x y"})
    void idsOfOtherFormsAreUnknownBesideHistory(String id) {
        SimulatedCluster cluster = new SimulatedCluster(4, 10);
        HistorySeeds.jobKeys(cluster, 100_000, JOB_COUNT, 1);
        cluster.sim.run(300_000);
        assertEquals(new SegmentAddress(SegmentAddress.ROOT + "196", 0), SegmentAddress.of("job-100352"));
        assertTrue(isInHistory(cluster, "job-100352"));
        int requestsBefore = cluster.state.requests();
        for (ControllerNode node : cluster.nodes) {
            for (String request : List.of("poll", "cancel")) {
                cluster.users.askOnce(id, request, node.index);
            }
        }
        cluster.sim.run(300_100);
        assertTrue(cluster.state.requests() - requestsBefore < 20, "such ids cost no reads of the state service");
        assertFalse(cluster.checker.lastStatusByJob.containsKey(id));
        ClusterAssertions.assertInvariantsHold(cluster);
    }

    /** The leader crashes repeatedly, at times that hit every step of a move. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void noJobIsLostOrDuplicatedWhenLeadersCrashDuringMoves(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(cluster, 100_000, JOB_COUNT, 1);
        scheduleRequests(cluster, 2_000, 290_000, 200);
        for (int i = 0; i < 12; i++) {
            cluster.at(36_000 + i * 20_000L + seed * 37 + i * 13L, () -> {
                if (cluster.leader() != null && cluster.leader().host.up) {
                    cluster.leader().crash(1_500);
                }
            });
        }
        cluster.sim.run(400_000);
        assertNoJobLostOrDuplicated(cluster);
        assertTrue(countMoved(cluster) > 100, countMoved(cluster) + " moved");
    }

    /** A fifth of the state service's answers get lost, so moves, submissions and cancellations have unknown outcomes. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void noJobIsLostOrDuplicatedWhenStateServiceAnswersAreLost(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(cluster, 100_000, JOB_COUNT, 1);
        scheduleRequests(cluster, 2_000, 290_000, 300);
        cluster.sim.lostAnswerShareByHost.put("state", 0.2);
        cluster.at(300_000, () -> cluster.sim.lostAnswerShareByHost.clear());
        cluster.sim.run(400_000);
        assertNoJobLostOrDuplicated(cluster);
        assertTrue(countMoved(cluster) > 100, countMoved(cluster) + " moved");
    }

    /** A leader is disconnected from the state service during a move, which arrives long after the next leader took over. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33})
    void noJobIsLostOrDuplicatedWhenMovesArriveAfterLeaderChange(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(cluster, 100_000, JOB_COUNT, 1);
        scheduleRequests(cluster, 2_000, 290_000, 300);
        for (int i = 0; i < 5; i++) {
            cluster.at(40_000 + i * 45_000L + seed * 17, () -> {
                if (cluster.leader() != null) {
                    cluster.sim.cut(cluster.leader().host.name, "state");
                }
            });
            cluster.at(65_000 + i * 45_000L, cluster.sim::heal);
        }
        cluster.sim.run(400_000);
        assertNoJobLostOrDuplicated(cluster);
        assertTrue(countMoved(cluster) > 100, countMoved(cluster) + " moved");
    }

    /** Controllers fall behind the retained changes, so they reload the state page by page while jobs move. */
    @ParameterizedTest
    @ValueSource(longs = {41, 42})
    void noJobIsLostOrDuplicatedWhenControllersReloadStateDuringMoves(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(cluster, 100_000, JOB_COUNT, 1);
        cluster.state.keepChanges(8);
        scheduleRequests(cluster, 2_000, 290_000, 200);
        for (int i = 0; i < 10; i++) {
            int cutIndex = i;
            cluster.at(36_000 + i * 20_000L, () -> {
                cluster.sim.cut("rig-" + cutIndex % 3, "state");
            });
            cluster.at(47_000 + i * 20_000L, cluster.sim::heal);
        }
        cluster.sim.run(400_000);
        assertNoJobLostOrDuplicated(cluster);
        assertTrue(countMoved(cluster) > 100, countMoved(cluster) + " moved");
    }

    /** An earlier version left more terminated jobs than a controller retains; the scan of job keys has to find the rest. */
    @Test
    void jobsThatTableDoesNotRetainAreFoundByScanAndMoved() {
        SimulatedCluster cluster = new SimulatedCluster(51, 10);
        int jobCount = 3_000;
        HistorySeeds.jobKeys(cluster, 100_000, jobCount, 1);
        scheduleRequests(cluster, 2_000, 100_000, 200);
        cluster.sim.run(1_200_000);
        assertNoJobLostOrDuplicated(cluster);
        assertTrue(
                cluster.state.keys(Keys.JOBS).size() < 400,
                cluster.state.keys(Keys.JOBS).size() + " job keys left");
        scheduleRequests(cluster, 1_201_000, 1_250_000, 200);
        cluster.sim.run(1_300_000);
        assertNoJobLostOrDuplicated(cluster);
    }

    /** A controller of an earlier version does not read the history, so it would accept a late retry as a new job. */
    @Test
    void nothingMovesWhileOneControllerDoesNotReadHistory() {
        SimulatedCluster cluster = new SimulatedCluster(61, 10);
        HistorySeeds.jobKeys(cluster, 100_000, JOB_COUNT, 1);
        cluster.nodes.get(2).crash(1_000_000);
        cluster.sim.run(1);
        cluster.state.seed(Capabilities.ROOT + "rig-2", Json.object().put("history", 0));
        cluster.sim.run(150_000);
        assertEquals(0, countMoved(cluster));
        cluster.nodes.get(2).boot();
        cluster.sim.run(300_000);
        assertTrue(countMoved(cluster) > 100, countMoved(cluster) + " moved");
        assertNoJobLostOrDuplicated(cluster);
    }

    /** An undecodable segment must not be overwritten or treated as empty. Only requests for its own jobs get HTTP 503. */
    @Test
    void damagedSegmentIsNotOverwrittenWhileOtherJobsMove() {
        SimulatedCluster cluster = new SimulatedCluster(71, 10);
        HistorySeeds.jobKeys(cluster, 100_000, JOB_COUNT, 1);
        String key = SegmentAddress.of("job-100300").key();
        var damaged = Json.object().put("ended", "AAAA");
        cluster.state.seed(key, damaged);
        cluster.users.submit(SampleJobs.job(7, "red", false, 3, 2, 4));
        cluster.checker.specs.put("job-100500", SampleJobs.job(100_500, "blue", false, 1, 1, 1));
        cluster.sim.run(300_000);
        assertEquals(damaged, cluster.state.value(key));
        assertTrue(countMoved(cluster) > 100, "jobs of other segments have not moved");
        assertEquals("done", cluster.checker.lastStatusByJob.get("job-000007"));
        assertNoJobLostOrDuplicated(cluster);
    }

    /** An undecodable segment has more jobs than the scan retains at a time; they must not block the jobs of other segments. */
    @Test
    void damagedSegmentWithManyJobsDoesNotBlockOtherSegments() {
        SimulatedCluster cluster = new SimulatedCluster(72, 10);
        HistorySeeds.jobKeys(cluster, 100_000, 3_000, 1);
        cluster.state.seed(SegmentAddress.of("job-100400").key(), Json.object().put("ended", "AAAA"));
        cluster.sim.run(1_200_000);
        assertNoJobLostOrDuplicated(cluster);
        int keysLeft = cluster.state.keys(Keys.JOBS).size();
        assertTrue(
                keysLeft >= Segment.JOBS_PER_SEGMENT && keysLeft < Segment.JOBS_PER_SEGMENT + 400,
                keysLeft + " job keys left");
    }

    /**
     * A retry of a submission is delayed until its job has run, ended and moved. The job's key no longer exists, so only the
     * condition on the segment's version prevents a second run. The counter-check: without that condition the job runs again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lateRetryOfMovedJobRunsAgainOnlyWithoutSegmentCondition(boolean ignoresCondition) {
        SimulatedCluster cluster = new SimulatedCluster(81, 10);
        String id = "job-100001";
        cluster.sim.run(20_000);
        ControllerNode outdatedController = cluster.nodes.stream()
                .filter(node -> node != cluster.leader())
                .findFirst()
                .orElseThrow();
        // This controller knows that the history is empty, and then receives no more changes.
        cluster.users.askOnce("job-900000", "poll", outdatedController.index);
        cluster.sim.run(25_000);
        cluster.sim.cut(outdatedController.host.name, "state");
        cluster.users.submit(SampleJobs.job(100_001, "blue", false, 1, 1, 1));
        cluster.sim.run(27_000);
        cluster.users.askOnce(id, "submit", outdatedController.index);
        // Enough later jobs end for the compactor to move this one.
        for (int i = 0; i < 320; i++) {
            int jobNumber = 200_000 + 700 * i;
            cluster.at(
                    30_000 + 100 * i, () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", false, 1, 1, 0.5)));
        }
        cluster.sim.run(140_000);
        assertEquals("done", cluster.checker.lastStatusByJob.get(id));
        assertTrue(isInHistory(cluster, id), id + " has not moved");
        if (ignoresCondition) {
            cluster.state.ignoreGuards(SegmentAddress.ROOT);
        }
        cluster.sim.heal();
        cluster.sim.run(200_000);
        assertEquals(321, cluster.jobCountWithStatus("done"));
        if (ignoresCondition) {
            assertTrue(
                    cluster.state.value(Keys.JOBS + id) != null && cluster.checker.repeats > 0,
                    "the job has not run again without the segment condition");
        } else {
            assertNoJobLostOrDuplicated(cluster);
            assertEquals(0, cluster.checker.repeats);
        }
    }
}
