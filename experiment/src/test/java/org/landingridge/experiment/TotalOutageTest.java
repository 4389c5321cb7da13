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
    private SimulatedCluster w;
    private CommandAudit orders;

    private void world(long seed) {
        w = new SimulatedCluster(new ClusterSetup(
                seed,
                3,
                60,
                3_000,
                2_000,
                LEASE_MS,
                Map.of("blue", new Settings.Team("blue", 400, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        orders = new CommandAudit(
                () -> w.sim.now,
                id -> w.workers.stream().anyMatch(x -> x.box().id.equals(id) && !x.hangs()),
                w.checker.cancelAsked::contains);
        for (int i = 0; i < SERVICES; i++) {
            int n = i;
            w.at(100 + i * 50L, () -> w.users.submit(SampleJobs.job(n, "blue", true, 1, 3, 0)));
        }
        for (int i = 100; i < 106; i++) {
            int n = i;
            w.at(2_000 + (i - 100) * 4_000L, () -> w.users.submit(SampleJobs.job(n, "blue", false, 12, 1, 6)));
        }
        w.sim.run(DOWN_AT);
        assertEquals(SERVICES, services());
    }

    private long services() {
        return w.checker.places.keySet().stream()
                .filter(t -> w.checker.specs.get(t.substring(0, t.indexOf('/'))).service())
                .count();
    }

    /** Deletes one busy machine in each of the zones a and b. */
    private void lose() {
        for (String zone : List.of("a", "b")) {
            w.workers.stream()
                    .filter(x -> x.box().zone.equals(zone) && x.running() != null)
                    .findFirst()
                    .map(EmulatedWorker::box)
                    .ifPresent(b -> w.cloud.delete(b.id));
        }
    }

    private void down(long forMs) {
        w.nodes.stream().filter(n -> n.host.up).forEach(n -> n.crash(forMs));
    }

    /** Checks that all services run, all batch jobs are done and no invariant was violated. */
    private void settled() {
        settled(6);
    }

    private void settled(int arrays) {
        assertEquals(List.of(), w.checker.broken);
        assertEquals(0, w.state.tooLarge());
        assertEquals(SERVICES, services());
        assertEquals(arrays, w.over("done"));
    }

    @ParameterizedTest
    @CsvSource({"1,6000", "2,6000", "3,6000", "1,25000", "2,25000", "3,25000"})
    @DisplayName("what was lost while nobody led runs again within 8 s of the election, lease or not")
    void lostMeanwhile(long seed, long forMs) {
        world(seed);
        down(forMs);
        w.at(DOWN_AT + 1_000, this::lose);
        w.sim.run(DOWN_AT + forMs + 500 + 8_000);
        assertEquals(SERVICES, services());
        w.sim.run(120_000);
        settled();
    }

    static LongStream moments() {
        return LongStream.rangeClosed(0, 20).map(i -> i * 350);
    }

    /** The second crash hits each step: claim, reading, census, questions to machines, returns to the cloud and placement. */
    @ParameterizedTest
    @MethodSource("moments")
    @DisplayName("a second crash of all, at any moment of the recovery, makes nothing worse")
    void twice(long afterMs) {
        world(11 + afterMs);
        down(4_000);
        w.at(DOWN_AT + 1_000, this::lose);
        w.at(DOWN_AT + 4_200 + afterMs, () -> down(3_000));
        w.sim.run(DOWN_AT + 4_200 + afterMs + 3_500 + 10_000);
        assertEquals(SERVICES, services());
        w.sim.run(150_000);
        settled();
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    @DisplayName("a state service that comes back after the controllers, and refuses one of them at first")
    void stateComesBackLater(long seed) {
        world(seed);
        w.state.outage(true);
        down(3_000);
        w.at(DOWN_AT + 1_000, this::lose);
        w.at(DOWN_AT + 9_000, () -> {
            w.state.refuse("rig-" + seed % 3, true);
            w.state.outage(false);
        });
        w.at(DOWN_AT + 20_000, () -> w.state.refuse("rig-" + seed % 3, false));
        w.sim.run(150_000);
        settled();
    }

    /** If an unreadable page were taken for empty, the tasks of its machines would be started twice. See {@code MachineRegistry}. */
    @ParameterizedTest
    @CsvSource({"51,x", "52,[]", "53,row"})
    @DisplayName("a page of the roster that cannot be read is never taken for empty, and the rest goes on")
    void unreadableRoster(long seed, String form) {
        world(seed);
        EmulatedWorker silent =
                w.workers.stream().filter(x -> x.running() != null).findFirst().orElseThrow();
        down(4_000);
        w.at(DOWN_AT + 500, () -> w.nodes.forEach(n -> w.sim.cut(n.host.name, silent.box().id)));
        w.at(
                DOWN_AT + 1_000,
                () -> w.state
                        .keys("lr/fleet/")
                        .forEach(key -> w.state.seed(
                                key,
                                switch (form) {
                                    case "x" -> Json.object().textNode("x");
                                    case "[]" -> Json.array();
                                    default ->
                                        w.state
                                                .value(key)
                                                .<ObjectNode>deepCopy()
                                                .put(silent.box().id, "half a row");
                                })));
        w.at(DOWN_AT + 12_000, () -> w.users.submit(SampleJobs.job(200, "blue", false, 3, 1, 2)));
        w.sim.run(DOWN_AT + 20_000);
        assertEquals("done", w.checker.told.get("job-000200"), "what is new goes on");
        w.sim.run(120_000);
        settled(7);
        assertTrue(
                w.state.keys("lr/fleet/").stream()
                        .allMatch(k -> w.state.value(k).isObject()),
                "the page is gone");
    }

    @Test
    @DisplayName("a first start rents nothing for work that machines up but in no list can take")
    void firstStart() {
        w = new SimulatedCluster(new ClusterSetup(
                31,
                3,
                60,
                3_000,
                5_000,
                LEASE_MS,
                Map.of("blue", new Settings.Team("blue", 400, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        w.cloud.bootMs = 0;
        for (int i = 0; i < 40; i++) {
            w.cloud.rent(i % 2 == 0 ? "a" : "b", false);
        }
        w.cloud.bootMs = 3_000;
        orders = new CommandAudit(() -> w.sim.now, id -> true, id -> false);
        w.checker.orders = orders;
        for (int i = 0; i < 24; i++) {
            int n = i;
            w.at(400, () -> w.users.submit(SampleJobs.job(n, "blue", true, 1, 3, 0)));
        }
        // The first heartbeats arrive shortly after the election, when the jobs are already submitted.
        w.at(50, () -> w.workers.forEach(x -> w.nodes.forEach(n -> w.sim.cut(n.host.name, x.box().id))));
        w.at(1_200, w.sim::heal);
        w.sim.run(12_000);
        assertEquals(24, w.checker.places.size());
        assertEquals(0, orders.counts().get(Order.RENT).sum(), "rents");
        assertEquals(0, orders.counts().get(Order.GIVE_BACK).sum(), "give-backs");
        assertTrue(orders.counts().get(Order.START).busiest() >= 10, "the orders are counted");
    }

    @Test
    @DisplayName("after a recovery no order is repeated, and nothing that was started is stopped again")
    void ordersAfterARecovery() {
        world(41);
        w.checker.orders = orders;
        down(25_000);
        w.at(DOWN_AT + 1_000, this::lose);
        w.sim.run(DOWN_AT + 40_000);
        CommandAudit.Count starts = orders.counts().get(Order.START);
        assertTrue(starts.sum() >= SERVICES, "everything had died with its lease");
        assertEquals(0, starts.needless(), "starts");
        assertEquals(0, orders.counts().get(Order.STOP).needless(), "stops");
        assertEquals(0, orders.counts().get(Order.RENT).needless(), "rents");
        w.sim.run(120_000);
        settled();
    }
}
