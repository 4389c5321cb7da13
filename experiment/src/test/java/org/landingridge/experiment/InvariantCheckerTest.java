package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.landingridge.emulator.InvariantChecker;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/** The checker itself: for each rule, a history that breaks it is caught, and a lawful one is not. */
class InvariantCheckerTest {
    private static final String ID = "job-000001";
    /** A question that was asked after all that is told here. */
    private static final long LATER = Long.MAX_VALUE;

    private static void caught(String rule, Consumer<InvariantChecker> history) {
        Simulation sim = new Simulation(1);
        InvariantChecker rules = new InvariantChecker(sim.host("rules"), 1_000);
        rules.specs.put(
                ID,
                new JobSpec(
                        ID,
                        "c",
                        "red",
                        false,
                        Priority.NORMAL,
                        4,
                        3,
                        0,
                        1,
                        "i",
                        1,
                        List.of("t4"),
                        "a",
                        true,
                        false,
                        false,
                        1,
                        0,
                        0,
                        null));
        rules.limits.put("red", 5.0);
        history.accept(rules);
        assertEquals(1, rules.violations.size(), rules.violations.toString());
        assertTrue(rules.violations.get(0).contains(rule), rules.violations.toString());
    }

    @Test
    void aSlowAnswerIsNoOlderOne() {
        Simulation sim = new Simulation(1);
        InvariantChecker rules = new InvariantChecker(sim.host("rules"), 1_000);
        rules.specs.put(
                ID,
                new JobSpec(
                        ID,
                        "c",
                        "red",
                        false,
                        Priority.NORMAL,
                        4,
                        3,
                        0,
                        1,
                        "i",
                        1,
                        null,
                        null,
                        false,
                        false,
                        false,
                        1,
                        0,
                        0,
                        null));
        rules.cancelAsked.add(ID);
        sim.run(100);
        rules.answered(ID, "cancel", 90, 200, "cancelled");
        rules.answered(ID, "poll", 99, 200, "queued");
        assertEquals(List.of(), rules.violations);
        rules.answered(ID, "poll", 99, 404, "");
        rules.answered(ID, "poll", 100, 200, "queued");
        assertEquals(2, rules.violations.size(), rules.violations.toString());
    }

    @Test
    void everyRuleIsCaught() {
        caught("ran_twice", r -> {
            r.limits.clear();
            r.starts(ID + "/0", "m-1", "t4", "a", false);
            r.starts(ID + "/0", "m-2", "t4", "a", false);
        });
        caught("quota", r -> {
            r.starts(ID + "/0", "m-1", "t4", "a", false);
            r.starts(ID + "/1", "m-2", "t4", "a", false);
        });
        caught("wrong_place", r -> r.starts(ID + "/0", "m-1", "t4", "b", false));
        caught("wrong_place", r -> r.starts(ID + "/0", "m-1", "t4", "a", true));
        caught("wrong_place", r -> r.starts(ID + "/0", "m-1", "other", "a", false));
        caught("not_done", r -> {
            for (int i = 0; i < 3; i++) {
                r.starts(ID + "/" + i, "m-1", "t4", "a", false);
                r.ends(ID + "/" + i, true);
            }
            r.answered(ID, "poll", LATER, 200, "done");
        });
        caught("forgotten", r -> {
            r.answered(ID, "submit", LATER, 201, "queued");
            r.answered(ID, "poll", LATER, 404, "");
        });
        caught("forgotten", r -> {
            r.answered(ID, "submit", LATER, 201, "queued");
            r.answered(ID, "submit", LATER, 422, "");
        });
        caught("invented", r -> r.answered("job-000002", "poll", LATER, 200, "queued"));
        caught("went_back", r -> {
            r.cancelAsked.add(ID);
            r.answered(ID, "cancel", LATER, 200, "cancelled");
            r.answered(ID, "poll", LATER, 200, "queued");
        });
        caught("went_back", r -> r.answered(ID, "poll", LATER, 200, "cancelled"));
    }

    @Test
    void aTaskLongAfterItsCancellationIsCaught() {
        SimulatedCluster w = new SimulatedCluster(1, 0);
        w.checker.specs.put(ID, SampleJobs.job(1, "blue", false, 1, 1, 5));
        w.checker.cancelAsked.add(ID);
        w.checker.answered(ID, "cancel", LATER, 200, "cancelled");
        w.sim.run(ClusterSetup.CANCEL_MS - 1_000);
        w.checker.starts(ID + "/0", "m-1", "t4", "a", false);
        assertEquals(List.of(), w.checker.violations);
        w.sim.run(ClusterSetup.CANCEL_MS + 2_000);
        assertTrue(w.checker.violations.get(0).contains("ran_cancelled"), w.checker.violations.toString());
    }
}
