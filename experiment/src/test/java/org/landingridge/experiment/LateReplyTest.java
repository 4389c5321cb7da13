package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;

import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.GroundTruth;
import org.landingridge.emulator.Simulation;

/** Guards against replies of machines that have left the fleet: what they show is gone with the machine. */
class LateReplyTest {
    private static final int KEPT_JOB = 1;
    private static final int CANCELLED_JOB = 2;
    private static final long RUN_S = 300;
    private static final long HANG_FROM_MS = 20_000;
    /** Time from the second unanswered call to the cancellation; a call that times out takes 1.5 s. */
    private static final long CANCEL_AFTER_CALL_MS = 700;
    /** Time for which the network holds the machine's reply; the cloud's answer takes a few milliseconds. */
    private static final long REPLY_HELD_MS = 200;

    private static SimulatedCluster newCluster(long seed) {
        return new SimulatedCluster(new ClusterSetup(
                seed,
                3,
                40,
                3_000,
                2_000,
                20_000,
                Map.of("blue", new Settings.Team("blue", 8, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
    }

    private static void submit(SimulatedCluster cluster, int number) {
        cluster.users.submit(SampleJobs.job(number, "blue", false, 1, 1, RUN_S));
    }

    /** Cancels the second job while the machine's second unanswered call is in flight, so that a third one follows at once. */
    private static void cancelDuringSecondCall(SimulatedCluster cluster, String machineId) {
        int[] calls = new int[1];
        cluster.sim.observer = new Simulation.Observer() {
            @Override
            public void request(String to, String method, String path, byte[] body) {
                if (to.equals(machineId) && ++calls[0] == 2) {
                    cluster.at(
                            cluster.sim.now + CANCEL_AFTER_CALL_MS,
                            () -> cluster.users.cancel(SampleJobs.id(CANCELLED_JOB)));
                }
            }

            @Override
            public void answer(String to, String method, String path, int status, byte[] body) {}

            @Override
            public void record(byte[] bytes) {}
        };
    }

    /** The machine goes on just before the cloud takes it back; its replies arrive after the cloud's confirmation. */
    private static void resumeBeforeReturn(SimulatedCluster cluster, EmulatedWorker worker) {
        String machineId = worker.box().id;
        cluster.sim.cutOneWay(machineId, cluster.leader().host.name);
        cluster.checker.orders = (order, machine, attempt, pool, repeated) -> {
            if (order == GroundTruth.Order.GIVE_BACK && machine.equals(machineId) && !repeated) {
                worker.hang(false);
                cluster.at(cluster.sim.now + REPLY_HELD_MS, cluster.sim::heal);
            }
        };
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "a reply that arrives after its machine was returned does not keep the machine's task from running again")
    void taskRunsAgainWhenReplyArrivesAfterItsMachineWasReturned(long seed) {
        SimulatedCluster cluster = newCluster(seed);
        cluster.at(100, () -> submit(cluster, KEPT_JOB));
        cluster.at(100, () -> submit(cluster, CANCELLED_JOB));
        cluster.sim.run(HANG_FROM_MS);
        String task = SampleJobs.id(KEPT_JOB) + "/0";
        String place = cluster.checker.locationByTask.get(task);
        assertEquals(place, cluster.checker.locationByTask.get(SampleJobs.id(CANCELLED_JOB) + "/0"));
        EmulatedWorker worker = cluster.workers.stream()
                .filter(candidate -> place.startsWith(candidate.box().id + "@"))
                .findFirst()
                .orElseThrow();
        worker.hang(true);
        cancelDuringSecondCall(cluster, worker.box().id);
        resumeBeforeReturn(cluster, worker);
        cluster.sim.run(HANG_FROM_MS + 30_000);
        assertTrue(worker.box().deleted, "the silent machine should be returned");
        assertTrue(cluster.allTasksRun(SampleJobs.id(KEPT_JOB), 1), "the task should run on another machine");
        assertEquals(1, cluster.metric(cluster.leader(), "landingridge_late_replies"));
        assertInvariantsHold(cluster);
    }
}
