package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.kept;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Histories of seven controllers and some hundreds of machines, every rule checked throughout. */
class SevenControllersTest {
    private static final int SERVICES = 150;

    /** A fleet of some two hundred machines with a service's replica or two on most. */
    private static SimulatedCluster grown(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed, 600, 7);
        w.cloud.capacity = 220;
        for (int i = 0; i < SERVICES; i++) {
            int n = i;
            w.at(200 + i * 100L, () -> w.users.submit(SampleJobs.job(n, n % 2 == 0 ? "red" : "blue", true, 2, 2, 0)));
        }
        w.sim.run(45_000);
        assertEquals(2 * SERVICES, w.checker.places.size(), "every replica runs before the trouble begins");
        assertTrue(w.workers.size() >= SERVICES, w.workers.size() + " machines");
        return w;
    }

    @ParameterizedTest
    @ValueSource(longs = {201, 202})
    @DisplayName(
            "a takeover of a large fleet loses no replica, although one machine hangs and two controllers are dead")
    void takeoverOfALargeFleet(long seed) {
        SimulatedCluster w = grown(seed);
        int starts = w.checker.starts;
        ControllerNode leader = w.leader();
        ControllerNode other = w.nodes.get((leader.index + 1) % 7);
        w.workers.get(3).hang(true);
        leader.crash(30_000);
        other.crash(30_000);
        w.sim.run(49_000);
        w.workers.get(3).hang(false);
        w.sim.run(60_000);
        assertNotNull(w.leader());
        assertEquals(starts, w.checker.starts, "nothing was lost, so nothing was started again");
        kept(w);
    }

    @Test
    @DisplayName("all seven controllers crash: whoever is back first leads before the leases run out")
    void allCrash() {
        SimulatedCluster w = grown(211);
        int starts = w.checker.starts;
        w.nodes.forEach(n -> n.crash(2_000 + 150L * n.index));
        w.sim.run(65_000);
        assertEquals(starts, w.checker.starts);
        kept(w);
    }

    @Test
    @DisplayName("a zone cut off for longer than the lease: its replicas come back in the other, none runs twice")
    void zoneCutBeyondTheLease() {
        SimulatedCluster w = grown(221);
        w.cloud.capacity = 500;
        long until = 45_000 + 3 * ClusterSetup.LEASE_MS + 12_000;
        for (long t = 45_000; t < until; t += 500) {
            w.at(
                    t,
                    () -> w.workers.stream()
                            .filter(x -> x.box().zone.equals("a"))
                            .forEach(x -> w.nodes.forEach(n -> w.sim.cut(n.host.name, x.box().id))));
        }
        w.sim.run(until);
        assertEquals(
                2 * SERVICES,
                w.checker.places.values().stream().filter(p -> p.endsWith("@b")).count(),
                "every replica runs in the zone that is left");
        w.sim.heal();
        w.sim.run(120_000);
        assertEquals(2 * SERVICES, w.checker.places.size());
        kept(w);
    }

    @Test
    @DisplayName("the whole deployment stays within the state service's rates, through a takeover too")
    void statesRates() {
        SimulatedCluster w = grown(231);
        w.state.resetPeaks();
        w.sim.run(60_000);
        w.leader().crash(4_000);
        w.sim.run(90_000);
        assertTrue(w.state.mostRequests() <= 200, w.state.mostRequests() + " requests in one second");
        assertTrue(w.state.mostWrites() <= 20, w.state.mostWrites() + " changes in one second");
        kept(w);
    }

    @Test
    @DisplayName("far more submissions than can be written: refused at once, accepted in the end, and the leader stays")
    void moreSubmissionsThanTheStateServiceTakes() {
        SimulatedCluster w = new SimulatedCluster(261, 0, 7);
        w.cloud.capacity = 150;
        for (int i = 0; i < 40; i++) {
            int n = i;
            w.at(200 + i * 200L, () -> w.users.submit(SampleJobs.job(n, "blue", true, 1, 2, 0)));
        }
        w.sim.run(30_000);
        int starts = w.checker.starts;
        ControllerNode leader = w.leader();
        int takeovers = w.metric(leader, "landingridge_takeovers");
        // The settings say 200 requests and 20 changes a second: 240 jobs at once are twelve seconds' worth of changes.
        w.state.limitRates(200, 20);
        for (int i = 100; i < 340; i++) {
            w.users.submit(SampleJobs.job(i, "red", false, 1, 0.5, 2));
        }
        w.sim.run(32_000);
        assertTrue(w.checker.told.size() < 240, "not all can be accepted at once");
        int refused = w.nodes.stream()
                .mapToInt(n -> w.metric(n, "landingridge_refused"))
                .sum();
        assertTrue(refused > 100, refused + " refused, with the time to come back, and none held back");
        w.sim.run(150_000);
        assertTrue(w.state.tooMany() > 0);
        assertEquals(240, w.over("done"), "every job is accepted in the end, and runs");
        assertEquals(leader, w.leader());
        assertEquals(takeovers, w.metric(leader, "landingridge_takeovers"), "the lead was kept throughout");
        assertEquals(0, w.metric(leader, "landingridge_lost"), "no lease ran out for it");
        assertTrue(w.checker.starts >= starts + 240);
        kept(w);
    }

    /** Passes of the scheduler in half a minute in which nothing happens, with this many services of one replica. */
    private static int passes(int services) {
        SimulatedCluster w = new SimulatedCluster(241, 0, 3);
        w.cloud.capacity = services;
        for (int i = 0; i < services; i++) {
            int n = i;
            w.at(200 + i * 100L, () -> w.users.submit(SampleJobs.job(n, "blue", true, 1, 4, 0)));
        }
        w.sim.run(60_000);
        assertEquals(services, w.checker.places.size());
        int before = w.metric(w.leader(), "landingridge_busy_times_pass");
        w.sim.run(90_000);
        return w.metric(w.leader(), "landingridge_busy_times_pass") - before;
    }

    @Test
    @DisplayName("a report that says nothing new costs no pass over the fleet, however many machines report")
    void reportsWithoutNews() {
        int few = passes(15);
        assertTrue(few > 0 && passes(150) <= few + 5, few + " passes with a tenth of the machines");
    }

    /** Megabytes that are reachable. */
    private static long used() {
        System.gc();
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20;
    }

    @Test
    @DisplayName("arrays of the largest size, many at once, take little memory and leave the others served")
    void largestArrays() {
        SimulatedCluster w = new SimulatedCluster(251, 0, 3);
        long before = used();
        for (int i = 0; i < 20; i++) {
            w.users.submit(SampleJobs.job(100 + i, "red", false, 100_000, 4, 5));
        }
        w.users.submit(SampleJobs.job(1, "blue", true, 2, 1, 0));
        w.users.submit(SampleJobs.job(2, "blue", false, 3, 1, 2));
        w.sim.run(60_000);
        long more = used() - before;
        assertTrue(more < 20, more + " MB more with 2,000,000 tasks");
        assertTrue(w.running("job-000001", 2));
        kept(w);
    }
}
