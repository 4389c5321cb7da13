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
    private static final int MANY = 900;

    private static void kept(SimulatedCluster w) {
        ClusterAssertions.kept(w);
        // Each terminated job is either under its own key or in the history.
        for (String id : w.checker.told.keySet()) {
            boolean over = w.checker.told.get(id).equals("done")
                    || w.checker.told.get(id).equals("cancelled");
            assertTrue(!over || ended(w, id), id + " was reported as ended but is not stored as ended");
        }
    }

    private static boolean ended(SimulatedCluster w, String id) {
        JsonNode key = w.state.value(Keys.JOBS + id);
        boolean past = past(w, id);
        assertFalse(past && key != null, id + " is both under its own key and in the history");
        return past || key != null && key.has("ended");
    }

    private static boolean past(SimulatedCluster w, String id) {
        SegmentAddress place = SegmentAddress.of(id);
        JsonNode segment = w.state.value(place.key());
        try {
            return segment != null && Segment.read(segment).get(place.offset()) != null;
        } catch (InvalidMessageException e) {
            return false;
        }
    }

    private static int moved(SimulatedCluster w) {
        return MANY
                - (int) w.state.keys(Keys.JOBS).stream()
                        .filter(k -> w.state.value(k).has("ended"))
                        .count();
    }

    /** Schedules polls, resubmissions and cancellations of known jobs, and polls of jobs that were never submitted. */
    private static void questions(SimulatedCluster w, long fromMs, long toMs, int everyMs) {
        List<String> ids = new ArrayList<>(w.checker.told.keySet());
        String[] kinds = {"poll", "submit", "cancel"};
        for (long t = fromMs; t < toMs; t += everyMs) {
            w.at(t, () -> w.users.askOnce(ids.get(w.sim.random.nextInt(ids.size())), kinds[w.sim.random.nextInt(3)]));
            w.at(t + everyMs / 2, () -> w.users.poll(String.format("job-9%05d", w.sim.random.nextInt(100_000))));
        }
    }

    /** Covers consecutive ids, which share segments, and ids with a segment each. */
    @ParameterizedTest
    @CsvSource({"1,1", "2,1", "3,700"})
    void moveWhileUsersAsk(long seed, int step) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(w, 100_000, MANY, step);
        questions(w, 2_000, 240_000, 150);
        w.users.submit(SampleJobs.job(7, "red", false, 3, 2, 4));
        w.sim.run(400_000);
        kept(w);
        assertEquals("done", w.checker.told.get("job-000007"));
        assertTrue(moved(w) > 500, moved(w) + " moved");
        assertTrue(w.state.mostWrites() <= 20, w.state.mostWrites() + " writes in one second");
    }

    /** The leader crashes repeatedly, at times that hit every step of a move. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void leadersDieInBetween(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(w, 100_000, MANY, 1);
        questions(w, 2_000, 290_000, 200);
        for (int i = 0; i < 12; i++) {
            w.at(36_000 + i * 20_000L + seed * 37 + i * 13L, () -> {
                if (w.leader() != null && w.leader().host.up) {
                    w.leader().crash(1_500);
                }
            });
        }
        w.sim.run(400_000);
        kept(w);
        assertTrue(moved(w) > 100, moved(w) + " moved");
    }

    /** A fifth of the state service's answers get lost, so moves, submissions and cancellations have unknown outcomes. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void answersGetLost(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(w, 100_000, MANY, 1);
        questions(w, 2_000, 290_000, 300);
        w.sim.lostAnswers.put("state", 0.2);
        w.at(300_000, () -> w.sim.lostAnswers.clear());
        w.sim.run(400_000);
        kept(w);
        assertTrue(moved(w) > 100, moved(w) + " moved");
    }

    /** A leader is disconnected from the state service during a move, which arrives long after the next leader took over. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33})
    void movesArriveLate(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(w, 100_000, MANY, 1);
        questions(w, 2_000, 290_000, 300);
        for (int i = 0; i < 5; i++) {
            w.at(40_000 + i * 45_000L + seed * 17, () -> {
                if (w.leader() != null) {
                    w.sim.cut(w.leader().host.name, "state");
                }
            });
            w.at(65_000 + i * 45_000L, w.sim::heal);
        }
        w.sim.run(400_000);
        kept(w);
        assertTrue(moved(w) > 100, moved(w) + " moved");
    }

    /** Controllers fall behind the retained changes, so they reload the state page by page while jobs move. */
    @ParameterizedTest
    @ValueSource(longs = {41, 42})
    void readAgainWhileJobsMove(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 10);
        HistorySeeds.jobKeys(w, 100_000, MANY, 1);
        w.state.keepChanges(8);
        questions(w, 2_000, 290_000, 200);
        for (int i = 0; i < 10; i++) {
            int n = i;
            w.at(36_000 + i * 20_000L, () -> {
                w.sim.cut("rig-" + n % 3, "state");
            });
            w.at(47_000 + i * 20_000L, w.sim::heal);
        }
        w.sim.run(400_000);
        kept(w);
        assertTrue(moved(w) > 100, moved(w) + " moved");
    }

    /** An earlier version left more terminated jobs than a controller retains; the scan of job keys has to find the rest. */
    @Test
    void moreThanIsKept() {
        SimulatedCluster w = new SimulatedCluster(51, 10);
        int all = 3_000;
        HistorySeeds.jobKeys(w, 100_000, all, 1);
        questions(w, 2_000, 100_000, 200);
        w.sim.run(1_200_000);
        kept(w);
        assertTrue(w.state.keys(Keys.JOBS).size() < 400, w.state.keys(Keys.JOBS).size() + " job keys left");
        questions(w, 1_201_000, 1_250_000, 200);
        w.sim.run(1_300_000);
        kept(w);
    }

    /** A controller of an earlier version does not read the history, so it would accept a late retry as a new job. */
    @Test
    void nothingMovesBeforeAllKnow() {
        SimulatedCluster w = new SimulatedCluster(61, 10);
        HistorySeeds.jobKeys(w, 100_000, MANY, 1);
        w.nodes.get(2).crash(1_000_000);
        w.sim.run(1);
        w.state.seed(Capabilities.ROOT + "rig-2", Json.object().put("history", 0));
        w.sim.run(150_000);
        assertEquals(0, moved(w));
        w.nodes.get(2).boot();
        w.sim.run(300_000);
        assertTrue(moved(w) > 100, moved(w) + " moved");
        kept(w);
    }

    /** An undecodable segment must not be overwritten or treated as empty. Only requests for its own jobs get HTTP 503. */
    @Test
    void aDamagedSegmentStays() {
        SimulatedCluster w = new SimulatedCluster(71, 10);
        HistorySeeds.jobKeys(w, 100_000, MANY, 1);
        String key = SegmentAddress.of("job-100300").key();
        var damaged = Json.object().put("ended", "AAAA");
        w.state.seed(key, damaged);
        w.users.submit(SampleJobs.job(7, "red", false, 3, 2, 4));
        w.checker.specs.put("job-100500", SampleJobs.job(100_500, "blue", false, 1, 1, 1));
        w.sim.run(300_000);
        assertEquals(damaged, w.state.value(key));
        assertTrue(moved(w) > 100, "jobs of other segments have not moved");
        assertEquals("done", w.checker.told.get("job-000007"));
        kept(w);
    }

    /** An undecodable segment has more jobs than the scan retains at a time; they must not block the jobs of other segments. */
    @Test
    void aDamagedSegmentHoldsUpNoOther() {
        SimulatedCluster w = new SimulatedCluster(72, 10);
        HistorySeeds.jobKeys(w, 100_000, 3_000, 1);
        w.state.seed(SegmentAddress.of("job-100400").key(), Json.object().put("ended", "AAAA"));
        w.sim.run(1_200_000);
        kept(w);
        int left = w.state.keys(Keys.JOBS).size();
        assertTrue(left >= Segment.JOBS && left < Segment.JOBS + 400, left + " job keys left");
    }

    /**
     * A retry of a submission is delayed until its job has run, ended and moved. The job's key no longer exists, so only the
     * condition on the segment's version prevents a second run. The counter-check: without that condition the job runs again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLateRetryOfAMovedJob(boolean blind) {
        SimulatedCluster w = new SimulatedCluster(81, 10);
        String id = "job-100001";
        w.sim.run(20_000);
        ControllerNode behind =
                w.nodes.stream().filter(n -> n != w.leader()).findFirst().orElseThrow();
        // This controller knows that the history is empty, and then receives no more changes.
        w.users.askOnce("job-900000", "poll", behind.index);
        w.sim.run(25_000);
        w.sim.cut(behind.host.name, "state");
        w.users.submit(SampleJobs.job(100_001, "blue", false, 1, 1, 1));
        w.sim.run(27_000);
        w.users.askOnce(id, "submit", behind.index);
        // Enough later jobs end for the compactor to move this one.
        for (int i = 0; i < 320; i++) {
            int n = 200_000 + 700 * i;
            w.at(30_000 + 100 * i, () -> w.users.submit(SampleJobs.job(n, "blue", false, 1, 1, 0.5)));
        }
        w.sim.run(140_000);
        assertEquals("done", w.checker.told.get(id));
        assertTrue(past(w, id), id + " has not moved");
        if (blind) {
            w.state.ignoreGuards(SegmentAddress.ROOT);
        }
        w.sim.heal();
        w.sim.run(200_000);
        assertEquals(321, w.over("done"));
        if (blind) {
            assertTrue(
                    w.state.value(Keys.JOBS + id) != null && w.checker.repeats > 0,
                    "the job has not run again without the segment condition");
        } else {
            kept(w);
            assertEquals(0, w.checker.repeats);
        }
    }
}
