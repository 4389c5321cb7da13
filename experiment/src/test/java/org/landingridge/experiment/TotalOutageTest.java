package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.GroundTruth.Order;
import org.landingridge.wire.Json;

/**
 * All controllers crash, two machines die while none runs, and all controllers restart at once. Guards against lost tasks that
 * wait for the lease, against a second start of tasks that still run, and against repeated orders.
 */
class TotalOutageTest {
    private static final long LEASE_MS = 20_000;
    private static final long DOWN_AT = 30_000;
    private static final int SERVICES = 14;
    private SimulatedCluster cluster;
    private CommandAudit commandAudit;

    private void createClusterUnderLoad(long seed) {
        cluster = new SimulatedCluster(new ClusterSetup(
                seed,
                3,
                60,
                3_000,
                2_000,
                LEASE_MS,
                Map.of("blue", new Settings.Team("blue", 400, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        commandAudit = new CommandAudit(
                () -> cluster.sim.now,
                id -> cluster.workers.stream()
                        .anyMatch(worker -> worker.box().id.equals(id) && !worker.hangs()),
                cluster.checker.cancelAsked::contains);
        for (int i = 0; i < SERVICES; i++) {
            int jobNumber = i;
            cluster.at(100 + i * 50L, () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", true, 1, 3, 0)));
        }
        for (int i = 100; i < 106; i++) {
            int jobNumber = i;
            cluster.at(
                    2_000 + (i - 100) * 4_000L,
                    () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", false, 12, 1, 6)));
        }
        cluster.sim.run(DOWN_AT);
        assertEquals(SERVICES, countRunningServices());
    }

    private long countRunningServices() {
        return cluster.checker.locationByTask.keySet().stream()
                .filter(task -> cluster.checker
                        .specs
                        .get(task.substring(0, task.indexOf('/')))
                        .service())
                .count();
    }

    /** Deletes one busy machine in each of the zones a and b. */
    private void deleteTwoBusyMachines() {
        for (String zone : List.of("a", "b")) {
            cluster.workers.stream()
                    .filter(worker -> worker.box().zone.equals(zone) && worker.running() != null)
                    .findFirst()
                    .map(EmulatedWorker::box)
                    .ifPresent(machine -> cluster.cloud.delete(machine.id));
        }
    }

    private void crashAllControllers(long forMs) {
        cluster.nodes.stream().filter(node -> node.host.up).forEach(node -> node.crash(forMs));
    }

    /** Checks that all services run, all batch jobs are done and no invariant was violated. */
    private void assertAllServicesRunAndJobsAreDone() {
        assertAllServicesRunAndJobsAreDone(6);
    }

    private void assertAllServicesRunAndJobsAreDone(int doneJobs) {
        assertEquals(List.of(), cluster.checker.violations);
        assertEquals(0, cluster.state.tooLarge());
        assertEquals(SERVICES, countRunningServices());
        assertEquals(doneJobs, cluster.jobCountWithStatus("done"));
    }

    @ParameterizedTest
    @CsvSource({"1,6000", "2,6000", "3,6000", "1,25000", "2,25000", "3,25000"})
    @DisplayName(
            "services lost while there was no leader run again within 8 s of the election, even before their leases expire")
    void lostServicesRunAgainWithin8SecondsOfElection(long seed, long forMs) {
        createClusterUnderLoad(seed);
        crashAllControllers(forMs);
        cluster.at(DOWN_AT + 1_000, this::deleteTwoBusyMachines);
        cluster.sim.run(DOWN_AT + forMs + 500 + 8_000);
        assertEquals(SERVICES, countRunningServices());
        cluster.sim.run(120_000);
        assertAllServicesRunAndJobsAreDone();
    }

    static LongStream secondCrashDelaysMs() {
        return LongStream.rangeClosed(0, 20).map(i -> i * 350);
    }

    /** The second crash hits each step: claim, reading, census, questions to machines, returns to the cloud and placement. */
    @ParameterizedTest
    @MethodSource("secondCrashDelaysMs")
    @DisplayName("recovery succeeds when all controllers crash a second time at any step of it")
    void recoverySucceedsWhenAllControllersCrashASecondTime(long afterMs) {
        createClusterUnderLoad(11 + afterMs);
        crashAllControllers(4_000);
        cluster.at(DOWN_AT + 1_000, this::deleteTwoBusyMachines);
        cluster.at(DOWN_AT + 4_200 + afterMs, () -> crashAllControllers(3_000));
        cluster.sim.run(DOWN_AT + 4_200 + afterMs + 3_500 + 10_000);
        assertEquals(SERVICES, countRunningServices());
        cluster.sim.run(150_000);
        assertAllServicesRunAndJobsAreDone();
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    @DisplayName(
            "recovery succeeds when the state service returns after the controllers and refuses one of them at first")
    void recoverySucceedsWhenStateServiceReturnsAfterControllers(long seed) {
        createClusterUnderLoad(seed);
        cluster.state.outage(true);
        crashAllControllers(3_000);
        cluster.at(DOWN_AT + 1_000, this::deleteTwoBusyMachines);
        cluster.at(DOWN_AT + 9_000, () -> {
            cluster.state.refuse("rig-" + seed % 3, true);
            cluster.state.outage(false);
        });
        cluster.at(DOWN_AT + 20_000, () -> cluster.state.refuse("rig-" + seed % 3, false));
        cluster.sim.run(150_000);
        assertAllServicesRunAndJobsAreDone();
    }

    /** Treating an unreadable page as empty would start the tasks of its machines twice. See {@code MachineRegistry}. */
    @ParameterizedTest
    @CsvSource({"51,x", "52,[]", "53,row"})
    @DisplayName("an unreadable page of machines is never taken for empty, and other work continues")
    void noServiceIsStartedTwiceWhenMachinePageIsUnreadable(long seed, String form) {
        createClusterUnderLoad(seed);
        EmulatedWorker silent = cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .findFirst()
                .orElseThrow();
        crashAllControllers(4_000);
        cluster.at(
                DOWN_AT + 500, () -> cluster.nodes.forEach(node -> cluster.sim.cut(node.host.name, silent.box().id)));
        cluster.at(
                DOWN_AT + 1_000,
                () -> cluster.state
                        .keys("lr/fleet/")
                        .forEach(key -> cluster.state.seed(
                                key,
                                switch (form) {
                                    case "x" -> Json.object().textNode("x");
                                    case "[]" -> Json.array();
                                    default ->
                                        cluster.state
                                                .value(key)
                                                .<ObjectNode>deepCopy()
                                                .put(silent.box().id, "half a row");
                                })));
        cluster.at(DOWN_AT + 12_000, () -> cluster.users.submit(SampleJobs.job(200, "blue", false, 3, 1, 2)));
        cluster.sim.run(DOWN_AT + 20_000);
        assertEquals(
                "done", cluster.checker.lastStatusByJob.get("job-000200"), "a job submitted meanwhile should be done");
        cluster.sim.run(120_000);
        assertAllServicesRunAndJobsAreDone(7);
        assertTrue(
                cluster.state.keys("lr/fleet/").stream()
                        .allMatch(key -> cluster.state.value(key).isObject()),
                "no page of machines should be left in an unreadable form");
    }

    @Test
    @DisplayName("a first start rents nothing for work that fits machines which are up but not yet listed")
    void nothingIsRentedOnFirstStartWhenUnlistedMachinesAreUp() {
        cluster = new SimulatedCluster(new ClusterSetup(
                31,
                3,
                60,
                3_000,
                5_000,
                LEASE_MS,
                Map.of("blue", new Settings.Team("blue", 400, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        cluster.cloud.bootMs = 0;
        for (int i = 0; i < 40; i++) {
            cluster.cloud.rent(i % 2 == 0 ? "a" : "b", false);
        }
        cluster.cloud.bootMs = 3_000;
        commandAudit = new CommandAudit(() -> cluster.sim.now, id -> true, id -> false);
        cluster.checker.orders = commandAudit;
        for (int i = 0; i < 24; i++) {
            int jobNumber = i;
            cluster.at(400, () -> cluster.users.submit(SampleJobs.job(jobNumber, "blue", true, 1, 3, 0)));
        }
        // The first heartbeats arrive shortly after the election, when the jobs are already submitted.
        cluster.at(
                50,
                () -> cluster.workers.forEach(
                        worker -> cluster.nodes.forEach(node -> cluster.sim.cut(node.host.name, worker.box().id))));
        cluster.at(1_200, cluster.sim::heal);
        cluster.sim.run(12_000);
        assertEquals(24, cluster.checker.locationByTask.size());
        assertEquals(0, commandAudit.counts().get(Order.RENT).sum(), "no machine should be rented");
        assertEquals(0, commandAudit.counts().get(Order.GIVE_BACK).sum(), "no machine should be returned to the cloud");
        assertTrue(commandAudit.counts().get(Order.START).busiest() >= 10, "the audit should count start orders");
    }

    @Test
    @DisplayName("after a recovery no order is repeated, and no started task is stopped again")
    void noOrderIsRepeatedAfterRecovery() {
        createClusterUnderLoad(41);
        cluster.checker.orders = commandAudit;
        crashAllControllers(25_000);
        cluster.at(DOWN_AT + 1_000, this::deleteTwoBusyMachines);
        cluster.sim.run(DOWN_AT + 40_000);
        CommandAudit.Count starts = commandAudit.counts().get(Order.START);
        assertTrue(starts.sum() >= SERVICES, "all services should start again, as their leases had expired");
        assertEquals(0, starts.needless(), "no start should be needless");
        assertEquals(0, commandAudit.counts().get(Order.STOP).needless(), "no stop should be needless");
        assertEquals(0, commandAudit.counts().get(Order.RENT).needless(), "no rent should be needless");
        cluster.sim.run(120_000);
        assertAllServicesRunAndJobsAreDone();
    }
}
