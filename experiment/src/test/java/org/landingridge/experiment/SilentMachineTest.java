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
 * Machines whose heartbeats stop because they died, hang or are cut off, alone or a zone together, with and without a crash of the
 * leader. Guards against tasks that run twice, and against tasks that wait for longer than a lease.
 */
class SilentMachineTest {
    private static final long LEASE_MS = 20_000;
    private SimulatedCluster w;

    private void world(long seed) {
        w = new SimulatedCluster(new ClusterSetup(
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
    private void services(int count) {
        ClusterAssertions.services(w, count);
    }

    private List<EmulatedWorker> busy() {
        return w.workers.stream().filter(x -> x.running() != null).toList();
    }

    private void cut(EmulatedWorker x) {
        w.nodes.forEach(n -> w.sim.cut(n.host.name, x.box().id));
    }

    private static String job(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private void kept() {
        ClusterAssertions.kept(w);
    }

    @BeforeEach
    void world() {
        world(301);
    }

    @Test
    @DisplayName("what a dead machine held runs again long before its lease is over")
    void aDeadMachine() {
        services(12);
        EmulatedWorker dead = busy().get(0);
        String job = job(dead.running());
        w.cloud.delete(dead.box().id);
        w.sim.run(30_000 + LEASE_MS / 2);
        assertTrue(w.running(job, 1), "it runs again after half a lease");
        assertEquals(1, w.metric(w.leader(), "landingridge_settled"));
        w.sim.run(90_000);
        kept();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName("a machine that is cut off and settled by its return never runs what was placed elsewhere since")
    void cutOffAndSettled(long seed) {
        world(seed);
        services(12);
        EmulatedWorker lost = busy().get(0);
        cut(lost);
        w.cloud.trouble = true;
        w.at(30_000 + 10_500, () -> w.cloud.trouble = false);
        w.sim.run(30_000 + 10_400);
        assertTrue(
                w.checker.places.containsValue(lost.box().id + "@" + lost.box().zone),
                "nothing settles it but the cloud");
        w.sim.run(30_000 + 18_000);
        assertTrue(lost.box().deleted, "the cloud answers again");
        assertEquals(12, w.checker.places.size());
        w.sim.heal();
        w.sim.run(90_000);
        kept();
    }

    /**
     * A request to return a silent machine to the cloud that waits for the state service must not be carried out once the machine
     * reports again. See {@code HealthMonitor}.
     */
    @Test
    @DisplayName("a machine that hangs within an outage of the state service is not given back after both are over")
    void hangsWithinAnOutage() {
        services(12);
        EmulatedWorker hung = busy().get(0);
        String task = hung.running();
        w.state.outage(true);
        hung.hang(true);
        w.sim.run(30_000 + 12_000);
        hung.hang(false);
        w.at(30_000 + 14_000, () -> w.state.outage(false));
        w.sim.run(30_000 + 25_000);
        assertEquals(task, hung.running(), "it goes on");
        assertEquals(0, w.metric(w.leader(), "landingridge_settled"));
        kept();
    }

    @Test
    @DisplayName("where a zone falls silent its machines are left to their leases: most of them go on working")
    void aZoneCutOff() {
        services(16);
        List<EmulatedWorker> zone =
                w.workers.stream().filter(x -> x.box().zone.equals("a")).toList();
        zone.forEach(this::cut);
        w.sim.run(30_000 + LEASE_MS - 3_000);
        assertTrue(zone.stream().noneMatch(x -> x.box().deleted), "none is given back");
        w.sim.heal();
        w.sim.run(90_000);
        assertEquals(16, w.checker.places.size());
        kept();
    }

    @Test
    @DisplayName("a leader's death does not begin the leases of silent machines anew")
    void leasesGoOnThroughATakeover() {
        services(16);
        List<EmulatedWorker> zone = w.workers.stream()
                .filter(x -> x.box().zone.equals("a") && x.running() != null)
                .toList();
        List<String> jobs = zone.stream().map(x -> job(x.running())).toList();
        zone.forEach(this::cut);
        w.at(30_000 + 12_000, () -> w.leader().crash(4_000));
        w.sim.run(30_000 + LEASE_MS + 8_000);
        long again = jobs.stream().filter(j -> w.running(j, 1)).count();
        assertEquals(jobs.size(), again, "services that run again a lease after the cut");
        w.sim.run(90_000);
        kept();
    }

    /**
     * A machine whose silence is stored must get no answer until its row is stored without the silence. If it were answered at
     * once, it would keep working under a lease that the next leader does not know of. See {@code Fleet}.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName("a silent machine that is heard again in an outage gets no lease that the next leader cannot know of")
    void heardAgainInAnOutage(long seed) {
        world(seed);
        services(16);
        List<EmulatedWorker> zone =
                w.workers.stream().filter(x -> x.box().zone.equals("a")).toList();
        zone.forEach(this::cut);
        w.at(30_000 + 10_000, () -> w.state.outage(true));
        w.at(30_000 + 11_000, w.sim::heal);
        w.at(30_000 + 17_000, () -> zone.forEach(this::cut));
        w.at(30_000 + 17_000, () -> w.nodes.forEach(n -> n.crash(1_000)));
        w.at(30_000 + 18_500, () -> w.state.outage(false));
        w.sim.run(100_000);
        kept();
        w.sim.heal();
        w.sim.run(160_000);
        assertEquals(16, w.checker.places.size());
        kept();
    }

    /** A new leader may use the stored silence of machines only if its direct predecessor stored it. See {@code MachineRegistry}. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName("a silence that an earlier leader wrote down is forgotten by the leader after the next")
    void twoLeadersLater(long seed) {
        world(seed);
        services(16);
        List<EmulatedWorker> zone =
                w.workers.stream().filter(x -> x.box().zone.equals("a")).toList();
        zone.forEach(this::cut);
        w.at(30_000 + 8_500, () -> w.leader().crash(30_000));
        w.at(30_000 + 9_000, w.sim::heal);
        w.at(30_000 + 15_500, () -> {
            zone.forEach(this::cut);
            w.leader().crash(1_000);
        });
        w.sim.run(100_000);
        kept();
    }

    @Test
    @DisplayName("a worker that has seen a later leader's token is not held by an answer that it drops")
    void aLaterToken() {
        services(6);
        ControllerNode leader = w.leader();
        w.sim.cut(leader.host.name, "state");
        w.nodes.stream().filter(n -> n != leader).forEach(n -> w.sim.cut(leader.host.name, n.host.name));
        w.sim.run(70_000);
        assertNotEquals(leader, w.leader());
        assertEquals(6, w.checker.places.size(), "no lease ran out");
        w.sim.heal();
        w.sim.run(90_000);
        kept();
    }
}
