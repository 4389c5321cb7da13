package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.crash;
import static org.landingridge.experiment.ClusterAssertions.kept;
import static org.landingridge.experiment.ClusterAssertions.services;
import static org.landingridge.experiment.ClusterAssertions.settled;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/** Where work may be, and how much of it, when troubles meet that the operators named later; {@code docs/meetings.md}. */
class PlacementUnderFaultsTest {
    private static final int FIRST = 40;

    private static List<String> ids(int first, int count) {
        return IntStream.range(first, first + count).mapToObj(SampleJobs::id).toList();
    }

    private static JobSpec bound(
            int number, int tasks, double cpus, double seconds, String zone, boolean oneZone, boolean spread) {
        return new JobSpec(
                SampleJobs.id(number),
                "bound",
                "blue",
                false,
                Priority.NORMAL,
                tasks,
                cpus,
                0,
                cpus,
                "img-0",
                0.3,
                null,
                zone,
                oneZone,
                spread,
                true,
                seconds,
                0,
                0,
                null);
    }

    private static EmulatedWorker holder(SimulatedCluster w, String task) {
        String place = w.checker.places.get(task);
        return place == null
                ? null
                : w.workers.stream()
                        .filter(x -> place.startsWith(x.box().id + "@"))
                        .findFirst()
                        .orElse(null);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.3", "2, 0.6", "3, 1.0", "4, 1.0", "5, 0.5"})
    @DisplayName(
            "kept reports reach every controller as a leader begins, again and again: they move, end, stop nothing")
    void keptReports(long seed, double share) {
        SimulatedCluster w = new SimulatedCluster(1_020 + seed, 8);
        services(w, 4);
        for (int i = 0; i < 10; i++) {
            int n = FIRST + i;
            w.at(
                    31_000 + i * 2_500L,
                    () -> w.users.submit(SampleJobs.job(n, n % 2 == 0 ? "red" : "blue", false, 3, 1, 4 + n % 5 * 4)));
        }
        w.heartbeatFaults.replayShare = share;
        for (long t = 38_000; t < 75_000; t += 6_000) {
            w.at(t, () -> crash(w.leader(), 300));
            w.at(
                    t - 2_500,
                    () -> w.workers.stream()
                            .filter(x -> x.running() != null)
                            .limit(2)
                            .forEach(x -> x.fail(x.running())));
        }
        w.at(50_000, () -> w.restart(w.workers.get(0), 150));
        w.at(62_000, () -> w.workers.get(1).hang(true));
        w.at(73_000, () -> w.workers.get(1).hang(false));
        w.at(76_000, () -> w.heartbeatFaults.replayShare = 0);
        w.sim.run(120_000);
        kept(w);
        assertEquals(10, w.over("done"));
        settled(w, ids(FIRST, 10));
    }

    /**
     * One task of a job that has to be together is heard of by the new leader and then lost; where the other is, cut off and
     * running, nobody has told it yet.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, false", "4, false", "5, true", "6, false"})
    void boundJobsLoseMachines(long seed, boolean oneZone) {
        SimulatedCluster w = new SimulatedCluster(1_040 + seed, 0);
        services(w, 2);
        int tasks = oneZone ? 2 : 3;
        for (int i = 0; i < 4; i++) {
            w.users.submit(bound(FIRST + i, tasks, 3, 300, null, oneZone, !oneZone));
        }
        // Room in both zones, so that what is lost finds a place at once.
        w.users.submit(bound(FIRST + 10, 6, 3, 12, "a", false, false));
        w.users.submit(bound(FIRST + 11, 6, 3, 12, "b", false, false));
        w.sim.run(47_000);
        ControllerNode leader = w.leader();
        List<EmulatedWorker> heard = new ArrayList<>();
        w.at(47_000, () -> {
            for (int i = 0; i < 4; i++) {
                heard.add(holder(w, SampleJobs.id(FIRST + i) + "/0"));
                for (int t = 1; t < tasks; t++) {
                    EmulatedWorker other = holder(w, SampleJobs.id(FIRST + i) + "/" + t);
                    w.nodes.forEach(n -> w.sim.cut(n.host.name, other.box().id));
                }
            }
            leader.crash(60_000);
        });
        for (int i = 0; i < 4; i++) {
            int of = i;
            w.at(51_500 + i * 500L, () -> heard.get(of).fail(SampleJobs.id(FIRST + of) + "/0"));
        }
        w.at(56_000, w.sim::heal);
        w.sim.run(75_000);
        kept(w);
        settled(w, ids(FIRST, 4));
        assertTrue(IntStream.range(0, 4).allMatch(i -> w.running(SampleJobs.id(FIRST + i), tasks)), "all of them run");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "machines that reach no controller while calls reach them hold nothing beyond their lease, and get no more")
    void machinesAreMute(long seed) {
        SimulatedCluster w = new SimulatedCluster(1_060 + seed, 0);
        services(w, 4);
        for (int i = 0; i < 6; i++) {
            w.users.submit(SampleJobs.job(FIRST + i, "blue", false, 2, 1, 300));
        }
        w.sim.run(45_000);
        List<EmulatedWorker> mute =
                w.workers.stream().filter(x -> x.running() != null).limit(3).toList();
        w.at(46_000, () -> mute.forEach(x -> w.heartbeatFaults.droppedMachines.add(x.box().id)));
        if (seed == 2) {
            w.at(47_000, () -> crash(w.leader(), 300));
        }
        w.sim.run(46_000 + ClusterSetup.LEASE_MS + 8_000);
        kept(w);
        for (long t = w.sim.now; t < 110_000; t += 500) {
            w.sim.run(t);
            assertEquals(16, w.checker.places.size(), "everything runs, elsewhere, at " + t);
            assertTrue(
                    mute.stream().allMatch(x -> x.running() == null),
                    "nothing is given to a machine that cannot report");
        }
        w.heartbeatFaults.droppedMachines.clear();
        settled(w, ids(FIRST, 6));
    }

    @ParameterizedTest
    @CsvSource({"1, 5000, false", "2, 12000, false", "3, 20000, true", "4, 7000, true", "5, 12000, true"})
    @DisplayName(
            "teams at their limits; users cancel, the machines concerned hang or are cut off, the leader goes: never above, not held up")
    void atTheLimit(long seed, long forMs, boolean cut) {
        SimulatedCluster w = new SimulatedCluster(limited(1_080 + seed));
        for (int i = 0; i < 24; i++) {
            int n = FIRST + i;
            w.at(
                    1_000 + i * 400L,
                    () -> w.users.submit(SampleJobs.job(n, n % 2 == 0 ? "red" : "blue", false, 1 + n % 4, 1, 60)));
        }
        w.sim.run(30_000);
        for (int round = 0; round < 2; round++) {
            long at = 30_000 + round * 30_000L;
            w.at(at, () -> w.users.cancelNow(5, cut ? 0 : forMs));
            if (cut) {
                w.at(
                        at - 50,
                        () -> w.workers.stream()
                                .filter(x -> x.running() != null)
                                .limit(4)
                                .forEach(x -> w.nodes.forEach(n -> w.sim.cut(n.host.name, x.box().id))));
                w.at(at + forMs, w.sim::heal);
            }
            w.at(at + 120, () -> crash(w.leader(), 400));
            w.at(at + 5_000, () -> w.refuse(w.leader(), 4_000));
            w.at(at + 9_000, () -> w.nodes.forEach(n -> crash(n, 200)));
            // No earlier leader has started what comes now: only what others may hold keeps it back.
            for (int i = 0; i < 8; i++) {
                int n = FIRST + 24 + 8 * round + i;
                w.at(
                        at + 500 + i * 1_500L,
                        () -> w.users.submit(SampleJobs.job(n, n % 2 == 0 ? "red" : "blue", false, 2, 1, 20)));
            }
        }
        w.sim.run(100_000);
        kept(w);
        settled(w, ids(FIRST, 40));
        w.sim.run(600_000);
        kept(w);
        assertEquals(40, w.over("done") + w.over("cancelled"));
    }

    /** Both teams have limits, and there are more machines than they may use. */
    private static ClusterSetup limited(long seed) {
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        teams.put("red", new Settings.Team("red", 4, 8, 0, 0));
        teams.put("blue", new Settings.Team("blue", 4, 9, 0, 0));
        return new ClusterSetup(
                seed,
                3,
                20,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                teams,
                new Settings.State(200, 20, 4, 8));
    }

    @ParameterizedTest
    @CsvSource({"1, true, 0.5", "2, false, 0.5", "3, true, 0.9", "4, false, 0.8", "5, false, 0.9"})
    @DisplayName(
            "machines are up at once and get work, while writes lag and the leader ends: nothing runs twice, nothing is kept for nothing")
    void upAtOnce(long seed, boolean atOnce, double share) {
        SimulatedCluster w = new SimulatedCluster(new ClusterSetup(
                1_100 + seed,
                3,
                20,
                300,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                ClusterSetup.small(0, 0, 3).teams(),
                new Settings.State(200, 20, 4, 8)));
        services(w, 2);
        for (int round = 0; round < 4; round++) {
            int first = FIRST + round * 8;
            long at = 31_000 + round * 9_000L;
            w.at(at - 300, () -> {
                if (atOnce) {
                    w.state.lostAnswers(share, w.sim.random);
                } else {
                    w.state.lateWrites(share, w.sim.random);
                }
            });
            for (int i = 0; i < 8; i++) {
                int n = first + i;
                w.at(at + i * 60L, () -> w.users.submit(SampleJobs.job(n, "blue", false, 2, 2, 5)));
            }
            w.at(at + 1_200 + 300 * round, () -> crash(w.leader(), 250));
            w.at(at + 5_000, () -> w.state.lateWrites(0, null));
        }
        w.sim.run(100_000);
        kept(w);
        settled(w, ids(FIRST, 32));
        assertEquals(32, w.over("done"));
        w.sim.run(420_000);
        assertTrue(w.workers.size() <= 6, w.workers.size() + " machines are kept for two services");
    }

    @ParameterizedTest
    @CsvSource({"1, 40", "2, 200", "3, 700", "4, 1500"})
    @DisplayName(
            "users call off while work changes hands, at the old leader, the new one and a third; the machines hang, the state service goes")
    void cancelledInTheHandOver(long seed, long spread) {
        SimulatedCluster w = new SimulatedCluster(1_120 + seed, 0);
        services(w, 2);
        for (int i = 0; i < 14; i++) {
            w.users.submit(SampleJobs.job(FIRST + i, "blue", false, 2, 1, 300));
        }
        w.sim.run(45_000);
        for (int round = 0; round < 3; round++) {
            long at = 46_000 + round * 36_000L;
            int first = FIRST + round * 4;
            w.at(at, () -> w.refuse(w.leader(), 9_000));
            for (int i = 0; i < 4; i++) {
                String id = SampleJobs.id(first + i);
                w.at(at + i * spread, () -> w.users.cancel(id));
            }
            w.at(
                    at + 300,
                    () -> w.workers.stream()
                            .filter(x -> x.running() != null)
                            .limit(4)
                            .forEach(x -> {
                                x.hang(true);
                                w.at(at + 300 + ClusterSetup.LEASE_MS - 1_500, () -> x.hang(false));
                            }));
            if (round == 1) {
                w.at(at + 1_000, () -> w.state.outage(true));
                w.at(at + 1_000 + ClusterSetup.CANCEL_MS + 4_000, () -> w.state.outage(false));
            }
            if (round == 2) {
                w.at(at + 500, () -> crash(w.leader(), 200));
            }
        }
        w.sim.run(160_000);
        assertEquals(12, w.over("cancelled"));
        kept(w);
        settled(w, ids(FIRST, 14));
    }

    @ParameterizedTest
    @CsvSource({"1, false", "2, true", "3, true"})
    @DisplayName("leaders change ten times in two minutes, also within an outage; users look closely and cancel")
    void tenLeaders(long seed, boolean outage) {
        SimulatedCluster w = new SimulatedCluster(1_140 + seed, 8);
        services(w, 3);
        w.users.askEverywhereAtOnce = true;
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int n = FIRST + i;
            ids.add(SampleJobs.id(n));
            w.at(
                    31_000 + i * 4_000L,
                    () -> w.users.submit(SampleJobs.job(n, n % 2 == 0 ? "red" : "blue", false, 1 + n % 3, 1, 6)));
            if (n % 4 == 0) {
                w.at(34_000 + i * 4_000L, () -> w.users.cancel(SampleJobs.id(n)));
            }
        }
        for (int i = 0; i < 10; i++) {
            int each = i;
            w.at(35_000 + i * 12_000L, () -> {
                if (each % 2 == 0) {
                    crash(w.leader(), each % 4 == 0 ? 150 : 3_000);
                } else {
                    w.refuse(w.leader(), 4_000);
                }
            });
        }
        if (outage) {
            w.at(70_000, () -> w.state.outage(true));
            w.at(70_000 + ClusterSetup.CANCEL_MS + 3_000, () -> w.state.outage(false));
        }
        w.sim.run(200_000);
        ClusterAssertions.everybodySaysTheSame(w, ids);
        settled(w, ids);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    @DisplayName(
            "a zone with machines and a controller is cut off for longer than a lease, the leader within or without; jobs are cancelled outside")
    void aZoneWithAController(long seed) {
        SimulatedCluster w = new SimulatedCluster(1_160 + seed, 0);
        services(w, 4);
        for (int i = 0; i < 6; i++) {
            w.users.submit(SampleJobs.job(FIRST + i, "blue", false, 3, 1, 200));
        }
        w.sim.run(45_000);
        ControllerNode inside = seed == 1 ? w.leader() : w.nodes.get((w.leader().index + 1) % 3);
        w.at(46_000, () -> {
            w.workers.forEach(x -> w.nodes.forEach(n -> {
                if (x.box().zone.equals("b") != (n == inside)) {
                    w.sim.cut(n.host.name, x.box().id);
                }
            }));
            w.nodes.stream().filter(n -> n != inside).forEach(n -> w.sim.cut(inside.host.name, n.host.name));
            if (seed != 3) {
                w.sim.cut(inside.host.name, "state");
            }
        });
        ControllerNode outside =
                w.nodes.stream().filter(n -> n != inside).findFirst().orElseThrow();
        for (int i = 0; i < 3; i++) {
            String id = SampleJobs.id(FIRST + i);
            w.at(47_000 + i * 900L, () -> w.users.askOnce(id, "cancel", outside.index));
        }
        w.at(46_000 + 2 * ClusterSetup.LEASE_MS, w.sim::heal);
        w.sim.run(110_000);
        assertEquals(3, w.over("cancelled"));
        kept(w);
        settled(w, ids(FIRST, 6));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName(
            "a cancelled job that a fresh leader has no room to remember still runs on machines that cannot report: its team's limit holds")
    void nobodyRemembersTheJob(long seed) {
        SimulatedCluster w = new SimulatedCluster(1_180 + seed, 8);
        services(w, 2);
        w.users.submit(SampleJobs.job(FIRST, "red", false, 8, 1, 300));
        // Its machines are free when the limit is all that keeps the next job back.
        w.users.submit(SampleJobs.job(FIRST + 2, "blue", false, 8, 1, 7));
        w.sim.run(45_000);
        w.users.submit(SampleJobs.job(FIRST + 1, "red", false, 8, 1, 5));
        List<EmulatedWorker> mute = IntStream.range(0, 8)
                .mapToObj(i -> holder(w, SampleJobs.id(FIRST) + "/" + i))
                .distinct()
                .toList();
        w.at(46_000, () -> mute.forEach(x -> w.heartbeatFaults.droppedMachines.add(x.box().id)));
        // The leader that could act on it has just ended.
        ControllerNode other = w.nodes.get((w.leader().index + 1) % 3);
        w.at(46_500, () -> w.leader().crash(300));
        w.at(46_510, () -> w.users.askOnce(SampleJobs.id(FIRST), "cancel", other.index));
        w.at(46_700, () -> {
            assertEquals("cancelled", w.checker.told.get(SampleJobs.id(FIRST)));
            HistorySeeds.jobKeys(w, 2_000, 2_300, 1);
            w.nodes.forEach(n -> crash(n, 200));
        });
        w.at(60_000, w.heartbeatFaults.droppedMachines::clear);
        w.sim.run(90_000);
        kept(w);
        settled(w, ids(FIRST, 2));
        assertEquals("done", w.checker.told.get(SampleJobs.id(FIRST + 1)));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    @DisplayName(
            "more work than room, urgent and not, over slow links, through a change of leader: the largest begin, all is served in the end")
    void moreWorkThanRoom(long seed) {
        SimulatedCluster w = new SimulatedCluster(new ClusterSetup(
                1_200 + seed,
                3,
                3,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                ClusterSetup.small(0, 0, 3).teams(),
                new Settings.State(200, 20, 4, 8)));
        w.nodes.forEach(n -> w.sim.slow.put(n.host.name, 600L));
        services(w, 2);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            JobSpec small = SampleJobs.job(FIRST + i, i % 2 == 0 ? "red" : "blue", false, 2, 1, 12);
            ids.add(small.id());
            w.at(
                    31_000 + i * 3_000L,
                    () -> w.users.submit(new JobSpec(
                            small.id(),
                            "urgent",
                            small.team(),
                            false,
                            Priority.of("urgent"),
                            2,
                            1,
                            0,
                            1,
                            "img-1",
                            0.3,
                            null,
                            null,
                            false,
                            false,
                            true,
                            12,
                            0,
                            0,
                            null)));
        }
        for (int i = 0; i < 3; i++) {
            JobSpec large = SampleJobs.job(FIRST + 100 + i, i == 1 ? "red" : "blue", false, 40, 1, 15);
            ids.add(large.id());
            w.at(40_000 + i * 15_000L, () -> w.users.submit(large));
        }
        w.at(80_000, () -> crash(w.leader(), 300));
        w.at(120_000, () -> w.workers.stream().limit(2).forEach(x -> x.hang(true)));
        w.at(132_000, () -> w.workers.stream().limit(2).forEach(x -> x.hang(false)));
        w.sim.run(400_000);
        kept(w);
        for (int i = 0; i < 3; i++) {
            assertTrue(
                    w.checker.firstStart(SampleJobs.id(FIRST + 100 + i)) <= 40_000 + i * 15_000L + 240_000,
                    "a large one has begun in time");
        }
        ClusterAssertions.everybodySaysTheSame(w, ids);
    }
}
