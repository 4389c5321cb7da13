package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.kept;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.GroundTruth;

/** Jobs with a mistake, faulty machines, machines that come up late or never: whose fault it is, and what it costs. */
class FailureAttributionHistoryTest {
    private final Map<String, Integer> starts = new HashMap<>();
    private int rented;

    private SimulatedCluster world(long seed) {
        SimulatedCluster w = new SimulatedCluster(new ClusterSetup(
                seed,
                3,
                40,
                5_000,
                2_000,
                20_000,
                Map.of("blue", new Settings.Team("blue", 16, 0, 0, 0), "red", new Settings.Team("red", 8, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        w.checker.orders = (order, machine, attempt, pool, repeated) -> {
            if (order == GroundTruth.Order.START && !repeated) {
                starts.merge(attempt.substring(0, attempt.indexOf('/')), 1, Integer::sum);
            }
            rented += order == GroundTruth.Order.RENT && !repeated ? 1 : 0;
        };
        return w;
    }

    private static void services(SimulatedCluster w) {
        for (int i = 0; i < 6; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 1, 2, 0));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("jobs with a mistake cost no sound machine and no sound job anything, until they are cancelled")
    void mistakes(long seed) {
        SimulatedCluster w = world(500 + seed);
        services(w);
        w.sim.run(20_000);
        for (int i = 0; i < 4; i++) {
            int n = 10 + i;
            w.checker.mistaken.add(SampleJobs.id(n));
            w.at(20_000 + i * 5_000L, () -> w.users.submit(SampleJobs.job(n, "red", false, 30, 1, 5)));
        }
        for (int i = 0; i < 20; i++) {
            int n = 20 + i;
            w.at(22_000 + i * 3_000L, () -> w.users.submit(SampleJobs.job(n, "blue", false, 4, 1, 4)));
        }
        w.sim.run(110_000);
        assertEquals(
                0,
                w.checker.told.entrySet().stream()
                        .filter(e -> w.checker.mistaken.contains(e.getKey())
                                && !e.getValue().equals("accepted"))
                        .count(),
                "nothing is called over that its user has not cancelled");
        assertEquals(20, w.over("done"));
        for (String id : w.checker.mistaken) {
            // Each of its 30 tasks may be under way before the first two have failed; then one at a time, ever less
            // often.
            assertTrue(starts.get(id) <= 30 + 12, id + " was started " + starts.get(id) + " times");
            w.users.cancel(id);
        }
        assertTrue(w.status(w.leader()).path("incidents").toString().contains("looks like a mistake"));
        assertTrue(
                !w.status(w.leader()).path("incidents").toString().contains("fails its tasks"),
                "no sound machine goes back");
        starts.clear();
        w.sim.run(140_000);
        assertEquals(4, w.over("cancelled"));
        assertEquals(Map.of(), starts);
        kept(w);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("a faulty machine is found beside jobs with a mistake, and goes back")
    void aFaultyMachine(long seed) {
        SimulatedCluster w = world(510 + seed);
        services(w);
        w.sim.run(20_000);
        EmulatedWorker faulty = w.workers.get(w.workers.size() - 1);
        faulty.spoil();
        for (int i = 0; i < 30; i++) {
            int n = 20 + i;
            if (i % 6 == 0) {
                w.checker.mistaken.add(SampleJobs.id(n));
            }
            w.at(20_000 + i * 2_000L, () -> w.users.submit(SampleJobs.job(n, "blue", false, 8, 1, 4)));
        }
        w.sim.run(130_000);
        assertEquals(25, w.over("done"));
        assertTrue(faulty.box().deleted, "it went back");
        kept(w);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("machines that never come up are replaced once their like are up, without a rent for each wait")
    void neverUp(long seed) {
        SimulatedCluster w = world(520 + seed);
        w.cloud.neverUp = 0.3;
        for (int i = 0; i < 20; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 1, 4, 0));
        }
        w.sim.run(30_000);
        assertTrue(w.checker.places.size() >= 18, "only " + w.checker.places.size() + " of 20 run after four boots");
        w.sim.run(90_000);
        assertEquals(20, w.checker.places.size());
        assertTrue(rented <= 60, rented + " rented for 20");
        kept(w);
    }

    @Test
    @DisplayName("a machine that reports before its rent is answered and before any list names it is used at once")
    void upInNoTime() {
        SimulatedCluster w = world(530);
        w.cloud.bootMs = 1;
        for (int i = 0; i < 8; i++) {
            w.users.submit(SampleJobs.job(i, "blue", true, 1, 4, 0));
        }
        w.sim.run(6_000);
        assertEquals(8, w.checker.places.size());
        kept(w);
    }
}
