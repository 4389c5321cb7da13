package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;
import static org.landingridge.experiment.ClusterAssertions.startServices;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.Simulation;
import org.landingridge.net.PeriodicTask;

/** Guards against a leader that keeps its lease although an exception has ended the timers that do its work. */
class FailingLeaderTest {
    private static final long LEASE_MS = 20_000;
    private static final int SERVICES = 12;
    private static final int ADDED_SERVICES = 20;

    private static SimulatedCluster clusterWithServices() {
        SimulatedCluster cluster = new SimulatedCluster(new ClusterSetup(
                470,
                3,
                40,
                3_000,
                2_000,
                LEASE_MS,
                Map.of("blue", new Settings.Team("blue", 8, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        startServices(cluster, SERVICES);
        return cluster;
    }

    private static void letCallsToMachinesThrow(SimulatedCluster cluster, ControllerNode caller) {
        cluster.sim.throwingCalls = (from, address) -> from.equals(caller.host.name) && address.startsWith("w-");
    }

    @Test
    @DisplayName("a call that throws does not end the fleet cycle: the service of a lost machine runs again")
    void fleetCycleGoesOnAfterCallThatThrows() {
        SimulatedCluster cluster = clusterWithServices();
        letCallsToMachinesThrow(cluster, cluster.leader());
        EmulatedWorker lost = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .findFirst()
                .orElseThrow();
        cluster.cloud.delete(lost.box().id);
        cluster.sim.run(30_000 + LEASE_MS + 10_000);
        assertEquals(SERVICES, cluster.checker.locationByTask.size());
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName(
            "a leader whose cycles fail again and again gives up leadership, and the next one starts the waiting jobs")
    void leaderWhoseCyclesFailGivesUpLeadership() {
        SimulatedCluster cluster = clusterWithServices();
        ControllerNode failing = cluster.leader();
        letCallsToMachinesThrow(cluster, failing);
        for (int i = 0; i < ADDED_SERVICES; i++) {
            cluster.users.submit(SampleJobs.job(SERVICES + i, "blue", true, 1, 4, 0));
        }
        cluster.sim.run(60_000);
        assertNotEquals(failing, cluster.leader());
        assertEquals(SERVICES + ADDED_SERVICES, cluster.checker.locationByTask.size());
        assertInvariantsHold(cluster);
    }

    @Test
    @DisplayName("a periodic task goes on after failures, and its owner is told after five in a row")
    void periodicTaskGoesOnAfterFailures() {
        Simulation sim = new Simulation(1);
        int[] runs = new int[1];
        List<String> reasons = new ArrayList<>();
        PeriodicTask task = new PeriodicTask(
                sim.host("controller"),
                "test",
                100,
                () -> {
                    if (++runs[0] > 3 && runs[0] != 6) {
                        throw new IllegalStateException("run " + runs[0]);
                    }
                },
                reasons::add);
        task.start();
        sim.run(950);
        assertEquals(10, runs[0]);
        assertEquals(List.of(), reasons, "the sixth run ended the first series of failures");
        sim.run(1_050);
        assertEquals(1, reasons.size());
        task.stop();
        sim.run(5_000);
        assertEquals(11, runs[0]);
    }
}
