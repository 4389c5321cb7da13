package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;

/**
 * Machines whose heartbeats stop because they died, hang or are cut off, alone or a zone together, with and without a crash
 * of the leader. Guards against tasks that run twice, and against tasks that wait for longer than a lease.
 */
class SilentMachineTest {
    private static final long LEASE_MS = 20_000;
    private SimulatedCluster cluster;

    private void createCluster(long seed) {
        cluster = new SimulatedCluster(new ClusterSetup(
                seed,
                3,
                40,
                3_000,
                2_000,
                LEASE_MS,
                Map.of("blue", new Settings.Team("blue", 8, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
    }

    /** Starts services that take a whole machine each; the counts used give every zone some of them. */
    private void startServices(int count) {
        ClusterAssertions.startServices(cluster, count);
    }

    private List<EmulatedWorker> busyWorkers() {
        return cluster.workers.stream()
                .filter(worker -> worker.running() != null)
                .toList();
    }

    private void cutOff(EmulatedWorker worker) {
        cluster.nodes.forEach(node -> cluster.sim.cut(node.host.name, worker.box().id));
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private void assertInvariantsKept() {
        ClusterAssertions.assertInvariantsHold(cluster);
    }

    @BeforeEach
    void createCluster() {
        createCluster(301);
    }

    @Test
    @DisplayName("the service of a dead machine runs again long before the machine's lease expires")
    void serviceOfDeadMachineRunsAgainBeforeItsLeaseExpires() {
        startServices(12);
        EmulatedWorker dead = busyWorkers().get(0);
        String job = jobOf(dead.running());
        cluster.cloud.delete(dead.box().id);
        cluster.sim.run(30_000 + LEASE_MS / 2);
        assertTrue(cluster.allTasksRun(job, 1), "the service should run again after half a lease");
        assertEquals(1, cluster.metric(cluster.leader(), "landingridge_settled"));
        cluster.sim.run(90_000);
        assertInvariantsKept();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "a machine that is cut off and was returned to the cloud never runs tasks that were placed elsewhere since")
    void noTaskRunsTwiceWhenCutOffMachineIsReturnedToCloud(long seed) {
        createCluster(seed);
        startServices(12);
        EmulatedWorker cutOffWorker = busyWorkers().get(0);
        cutOff(cutOffWorker);
        cluster.cloud.trouble = true;
        cluster.at(30_000 + 10_500, () -> cluster.cloud.trouble = false);
        cluster.sim.run(30_000 + 10_400);
        assertTrue(
                cluster.checker.locationByTask.containsValue(cutOffWorker.box().id + "@" + cutOffWorker.box().zone),
                "the task should stay placed until the cloud confirms the machine's return");
        cluster.sim.run(30_000 + 18_000);
        assertTrue(cutOffWorker.box().deleted, "the machine should be deleted once the cloud answers again");
        assertEquals(12, cluster.checker.locationByTask.size());
        cluster.sim.heal();
        cluster.sim.run(90_000);
        assertInvariantsKept();
    }

    /**
     * A request to return a silent machine to the cloud that waits for the state service must not be carried out once the
     * machine reports again. See {@code HealthMonitor}.
     */
    @Test
    @DisplayName(
            "a machine that hangs during an outage of the state service is not returned to the cloud after both have ended")
    void hangingMachineIsKeptWhenStateOutageEndsAfterItResumes() {
        startServices(12);
        EmulatedWorker hung = busyWorkers().get(0);
        String task = hung.running();
        cluster.state.outage(true);
        hung.hang(true);
        cluster.sim.run(30_000 + 12_000);
        hung.hang(false);
        cluster.at(30_000 + 14_000, () -> cluster.state.outage(false));
        cluster.sim.run(30_000 + 25_000);
        assertEquals(task, hung.running(), "the task should still run on the machine");
        assertEquals(0, cluster.metric(cluster.leader(), "landingridge_settled"));
        assertInvariantsKept();
    }

    @Test
    @DisplayName("machines of a silent zone are not returned before their leases expire, as most of them still work")
    void machinesOfCutOffZoneAreKept() {
        startServices(16);
        List<EmulatedWorker> zone = cluster.workers.stream()
                .filter(worker -> worker.box().zone.equals("a"))
                .toList();
        zone.forEach(this::cutOff);
        cluster.sim.run(30_000 + LEASE_MS - 3_000);
        assertTrue(
                zone.stream().noneMatch(worker -> worker.box().deleted),
                "no machine of the zone should be returned to the cloud");
        cluster.sim.heal();
        cluster.sim.run(90_000);
        assertEquals(16, cluster.checker.locationByTask.size());
        assertInvariantsKept();
    }

    @Test
    @DisplayName("a crash of the leader does not restart the leases of silent machines")
    void leasesOfSilentMachinesAreNotRenewedWhenLeaderCrashes() {
        startServices(16);
        List<EmulatedWorker> zone = cluster.workers.stream()
                .filter(worker -> worker.box().zone.equals("a") && worker.running() != null)
                .toList();
        List<String> jobs = zone.stream().map(worker -> jobOf(worker.running())).toList();
        zone.forEach(this::cutOff);
        cluster.at(30_000 + 12_000, () -> cluster.leader().crash(4_000));
        cluster.sim.run(30_000 + LEASE_MS + 8_000);
        long runningAgain =
                jobs.stream().filter(job -> cluster.allTasksRun(job, 1)).count();
        assertEquals(jobs.size(), runningAgain, "all services of the zone should run again one lease after the cut");
        cluster.sim.run(90_000);
        assertInvariantsKept();
    }

    /**
     * A machine whose silence is stored must get no answer until its row is stored without the silence. If it were answered at
     * once, it would keep working under a lease that the next leader does not know of. See {@code Fleet}.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "a silent machine that reports again during an outage gets no lease that the next leader can't know of")
    void silentMachineGetsNoUnknownLeaseWhenItReportsDuringStateOutage(long seed) {
        createCluster(seed);
        startServices(16);
        List<EmulatedWorker> zone = cluster.workers.stream()
                .filter(worker -> worker.box().zone.equals("a"))
                .toList();
        zone.forEach(this::cutOff);
        cluster.at(30_000 + 10_000, () -> cluster.state.outage(true));
        cluster.at(30_000 + 11_000, cluster.sim::heal);
        cluster.at(30_000 + 17_000, () -> zone.forEach(this::cutOff));
        cluster.at(30_000 + 17_000, () -> cluster.nodes.forEach(node -> node.crash(1_000)));
        cluster.at(30_000 + 18_500, () -> cluster.state.outage(false));
        cluster.sim.run(100_000);
        assertInvariantsKept();
        cluster.sim.heal();
        cluster.sim.run(160_000);
        assertEquals(16, cluster.checker.locationByTask.size());
        assertInvariantsKept();
    }

    /**
     * A new leader may use the stored silence of machines only if its direct predecessor stored it.
     * See {@code MachineRegistry}.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName("the leader after the next ignores a silence that an earlier leader stored")
    void storedSilenceIsIgnoredByLeaderAfterNext(long seed) {
        createCluster(seed);
        startServices(16);
        List<EmulatedWorker> zone = cluster.workers.stream()
                .filter(worker -> worker.box().zone.equals("a"))
                .toList();
        zone.forEach(this::cutOff);
        cluster.at(30_000 + 8_500, () -> cluster.leader().crash(30_000));
        cluster.at(30_000 + 9_000, cluster.sim::heal);
        cluster.at(30_000 + 15_500, () -> {
            zone.forEach(this::cutOff);
            cluster.leader().crash(1_000);
        });
        cluster.sim.run(100_000);
        assertInvariantsKept();
    }

    @Test
    @DisplayName("a worker that has seen a higher token is not kept from the new leader by an old answer that it drops")
    void noLeaseExpiresWhenWorkersDropAnswersOfFormerLeader() {
        startServices(6);
        ControllerNode leader = cluster.leader();
        cluster.sim.cut(leader.host.name, "state");
        cluster.nodes.stream()
                .filter(node -> node != leader)
                .forEach(node -> cluster.sim.cut(leader.host.name, node.host.name));
        cluster.sim.run(70_000);
        assertNotEquals(leader, cluster.leader());
        assertEquals(6, cluster.checker.locationByTask.size(), "no lease should expire");
        cluster.sim.heal();
        cluster.sim.run(90_000);
        assertInvariantsKept();
    }
}
