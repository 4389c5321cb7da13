package org.landingridge.controller.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.Priority;

/** Checks plans against a simple, slow model of what a plan may and must do, and single rules by examples. */
class SchedulerTest {
    private static final MachineType T4 = new MachineType("t4", 4, 0, 8, 30, 1, 1.0, 0.3, 30, List.of("a", "b"));

    private static JobSpec spec(
            int n, boolean service, Priority p, int tasks, double cpus, boolean spot, boolean oneZone, boolean spread) {
        return new JobSpec(
                String.format("job-%06d", n),
                "c",
                "t",
                service,
                p,
                tasks,
                cpus,
                0,
                cpus,
                "img-" + n % 3,
                1,
                null,
                n % 7 == 0 ? "a" : null,
                oneZone,
                spread,
                spot,
                30,
                0,
                0,
                null);
    }

    /** Returns a random input; the same seed gives the same input. */
    private static Scheduler.Input world(long seed) {
        Random r = new Random(seed);
        List<Team> teams = List.of(new Team(8, r.nextBoolean() ? 16 : 0, 0, 0), new Team(4, 12, 0, 0));
        List<CandidateNode> nodes = new ArrayList<>();
        for (int i = 0; i < 1 + r.nextInt(8); i++) {
            CandidateNode n = new CandidateNode(
                    T4,
                    r.nextBoolean() ? "a" : "b",
                    r.nextInt(3) == 0,
                    "m" + i,
                    r.nextInt(5) > 0,
                    r.nextBoolean() ? Set.of("img-1") : Set.of());
            for (int k = r.nextInt(4); n.up && k > 0; k--) {
                int team = r.nextInt(2);
                JobSpec s = spec(900 + k, r.nextInt(4) == 0, Priority.values()[r.nextInt(3)], 1, 1, true, false, false);
                n.add(new CandidateNode.Running(s, team, "a" + i + k, r.nextInt(1000), r.nextInt(5) == 0));
                teams.get(team).usedCpus += 1;
            }
            nodes.add(n);
        }
        List<TaskGroup> groups = new ArrayList<>();
        for (int i = 0; i < r.nextInt(6); i++) {
            int tasks = 1 + r.nextInt(6);
            groups.add(new TaskGroup(
                    spec(
                            i,
                            r.nextInt(3) == 0,
                            Priority.values()[r.nextInt(3)],
                            tasks,
                            1 + r.nextInt(3),
                            r.nextBoolean(),
                            r.nextInt(4) == 0,
                            r.nextInt(4) == 0),
                    "j" + i,
                    i,
                    r.nextInt(2),
                    tasks));
        }
        return new Scheduler.Input(2_000, nodes, groups, teams, List.of(T4), new HashMap<>(), null, 1_000, 0);
    }

    private static double free(CandidateNode n) {
        double used = 0;
        for (CandidateNode.Running r : n.running) {
            used += r.spec.cpus();
        }
        return n.type.cpus() - used;
    }

    /** The model: recounts all room and quotas from scratch and checks the plan against them. */
    private static void check(Scheduler.Input before, Scheduler.Input in, SchedulingPlan plan) {
        Map<CandidateNode, Double> taken = new LinkedHashMap<>();
        Map<TaskGroup, Map<String, Integer>> zones = new LinkedHashMap<>();
        double[] team = {before.teams().get(0).usedCpus, before.teams().get(1).usedCpus};
        for (SchedulingPlan.Placement p : plan.placements) {
            JobSpec s = p.group().spec;
            taken.merge(p.node(), s.cpus(), Double::sum);
            zones.computeIfAbsent(p.group(), g -> new HashMap<>()).merge(p.node().zone, 1, Integer::sum);
            team[p.group().team] += s.cpus();
            assertTrue(p.node().up, "only nodes that are up take tasks");
            assertTrue(!p.node().spot || s.spot(), "spot only where the job allows it");
            assertTrue(s.zone() == null || s.zone().equals(p.node().zone), "the job's zone");
        }
        taken.forEach((n, cpus) -> assertTrue(cpus <= free(n) + 1e-6, "no node is given more than it has"));
        zones.forEach((g, z) -> {
            assertTrue(!g.spec.oneZone() || z.size() == 1, "one zone only");
            assertTrue(
                    !g.spec.spread() || z.values().stream().allMatch(c -> c <= (g.spec.tasks() + 1) / 2),
                    "spread over zones");
        });
        for (int t = 0; t < 2; t++) {
            double max = in.teams().get(t).cpuLimit;
            assertTrue(max <= 0 || team[t] <= Math.max(max, before.teams().get(t).usedCpus) + 1e-6, "team limit");
        }
        // No task is left waiting if a node has free room that the task may use now.
        Map<TaskGroup, Integer> placed = new HashMap<>();
        plan.placements.forEach(p -> placed.merge(p.group(), 1, Integer::sum));
        if (plan.stops.isEmpty() && plan.unplacedTasks > 0) {
            for (int i = 0; i < in.groups().size(); i++) {
                TaskGroup g = in.groups().get(i);
                int left = before.groups().get(i).waiting - placed.getOrDefault(g, 0);
                double max = in.teams().get(g.team).cpuLimit;
                boolean limited = max > 0 && in.teams().get(g.team).usedCpus + g.spec.cpus() > max + 1e-6;
                if (left == 0 || limited || g.spec.oneZone() || g.spec.spread()) {
                    continue;
                }
                for (CandidateNode n : in.nodes()) {
                    boolean may = n.up
                            && (!n.spot || g.spec.spot())
                            && (g.spec.zone() == null || g.spec.zone().equals(n.zone));
                    assertTrue(
                            !may || free(n) - taken.getOrDefault(n, 0.0) < g.spec.cpus() - 1e-6,
                            g.spec.id() + " waits beside room on " + n.machine);
                }
            }
        }
        for (CandidateNode.Running r : plan.stops) {
            boolean allowed = false;
            for (TaskGroup g : in.groups()) {
                allowed |= r.spec.priority().compareTo(g.spec.priority()) < 0
                        || r.team != g.team && r.spec.priority().compareTo(g.spec.priority()) == 0;
            }
            assertTrue(allowed, "work is stopped only for higher priority or another team's guarantee");
        }
        assertEquals(new HashSet<>(plan.stops).size(), plan.stops.size(), "nothing is stopped twice");
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void plansAgreeWithTheModel(int block) {
        for (long seed = block * 500L; seed < block * 500L + 500; seed++) {
            Scheduler.Input in = world(seed);
            check(world(seed), in, Scheduler.plan(in));
        }
    }

    @Test
    void theSameInputGivesTheSamePlan() {
        for (long seed = 0; seed < 200; seed++) {
            SchedulingPlan a = Scheduler.plan(world(seed));
            SchedulingPlan b = Scheduler.plan(world(seed));
            assertEquals(
                    a.placements.stream()
                            .map(p -> p.group().job + "@" + p.node().machine)
                            .toList(),
                    b.placements.stream()
                            .map(p -> p.group().job + "@" + p.node().machine)
                            .toList());
            assertEquals(a.rents, b.rents);
        }
    }

    private static Scheduler.Input one(TaskGroup g, List<CandidateNode> nodes) {
        return new Scheduler.Input(
                1_000_000,
                nodes,
                List.of(g),
                List.of(new Team(0, 0, 0, 0)),
                List.of(T4),
                new HashMap<>(),
                null,
                60_000,
                0);
    }

    @Test
    void tasksThatCanRunInTurnShareAMachine() {
        TaskGroup g = new TaskGroup(spec(1, false, Priority.NORMAL, 6, 4, false, false, false), "j", 1, 0, 6);
        g.runS = 30;
        g.due = 1_000_000 + 200_000;
        SchedulingPlan plan = Scheduler.plan(one(g, List.of()));
        int machines = plan.rents.stream().mapToInt(SchedulingPlan.Rent::count).sum();
        assertEquals(2, machines, "six tasks of 30 s in two rows of three before 200 s are over");
        g.waiting = 6;
        g.due = 1_000_000 + 60_000;
        assertEquals(
                6,
                Scheduler.plan(one(g, List.of())).rents.stream()
                        .mapToInt(SchedulingPlan.Rent::count)
                        .sum());
    }

    @Test
    void aServiceMakesRoomWhereItsImageIs() {
        TaskGroup g = new TaskGroup(spec(1, true, Priority.HIGH, 1, 1, false, false, false), "j", 1, 0, 1);
        g.startWithinS = 1;
        CandidateNode empty = new CandidateNode(T4, "a", false, "empty", true, Set.of());
        CandidateNode full = new CandidateNode(T4, "a", false, "full", true, Set.of("img-1"));
        full.add(new CandidateNode.Running(
                spec(9, false, Priority.NORMAL, 1, 4, false, false, false), 0, "victim", 5, false));
        SchedulingPlan plan = Scheduler.plan(one(g, List.of(empty, full)));
        assertEquals(List.of("victim"), plan.stops.stream().map(r -> r.attempt).toList());
        assertTrue(plan.placements.isEmpty());
    }

    private static TaskGroup due(int n, int tasks, double runS, double dueS) {
        TaskGroup g =
                new TaskGroup(spec(n, false, Priority.NORMAL, tasks, 4, false, false, false), "j" + n, n, 0, tasks);
        g.runS = runS;
        g.longestRunS = runS;
        g.due = Math.round(dueS * 1000);
        g.lastDue = g.due;
        g.startBy = g.due - Math.round(runS * 1000);
        return g;
    }

    private static List<Object> first(TaskGroup... groups) {
        CandidateNode n = new CandidateNode(T4, "a", false, "m", true, Set.of());
        return Scheduler.plan(new Scheduler.Input(
                        0,
                        List.of(n),
                        List.of(groups),
                        List.of(new Team(0, 0, 0, 0)),
                        List.of(T4),
                        new HashMap<>(),
                        null,
                        60_000,
                        0))
                .placements
                .stream()
                .map(p -> p.group().job)
                .toList();
    }

    @Test
    void firstComeWhereNobodyIsLateElseWhoMustBeginFirst() {
        assertEquals(List.of("j1"), first(due(1, 1, 30, 300), due(2, 1, 30, 200)));
        assertEquals(List.of("j7"), first(due(1, 2, 30, 300), due(7, 1, 30, 65)), "late if it waited for two others");
        // Not both jobs can meet their deadlines: the larger one is deferred, although it arrived first.
        assertEquals(List.of("j2"), first(due(1, 3, 30, 100), due(2, 1, 30, 62)));
    }

    @Test
    void noTeamIsBroughtBelowItsGuaranteeForAnothers() {
        List<CandidateNode> nodes = new ArrayList<>();
        Team lender = new Team(8, 0, 0, 0);
        Team owner = new Team(8, 0, 0, 0);
        for (int i = 0; i < 3; i++) {
            CandidateNode n = new CandidateNode(T4, "a", false, "m" + i, true, Set.of());
            n.add(new CandidateNode.Running(
                    spec(900 + i, false, Priority.NORMAL, 1, 4, false, false, false), 0, "a" + i, i, false));
            lender.usedCpus += 4;
            nodes.add(n);
        }
        TaskGroup g = new TaskGroup(spec(1, false, Priority.NORMAL, 2, 4, false, false, false), "j", 1, 1, 2);
        SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                2_000, nodes, List.of(g), List.of(lender, owner), List.of(T4), new HashMap<>(), null, 60_000, 0));
        assertEquals(1, plan.stops.size(), "twelve processors in use, eight guaranteed: four are borrowed");
        assertEquals(1, plan.unplacedTasks);
    }

    /** Returns a running task of one CPU that has run for {@code ranS} seconds and can save its state if {@code saves}. */
    private static CandidateNode.Running old(int n, double ranS, double leftS, boolean saves) {
        JobSpec s = spec(n, false, Priority.NORMAL, 1, 1, true, false, false);
        JobSpec saving = new JobSpec(
                s.id(),
                s.jobClass(),
                s.team(),
                false,
                s.priority(),
                1,
                1,
                0,
                1,
                null,
                0,
                null,
                null,
                false,
                false,
                true,
                60,
                saves ? 15 : 0,
                saves ? 3 : 0,
                null);
        CandidateNode.Running r = new CandidateNode.Running(saving, 0, "a" + n, 0, false);
        r.ranS = ranS;
        r.leftS = leftS;
        return r;
    }

    private static List<Object> vacated(CandidateNode.Running onDear, double standing, TaskGroup... waiting) {
        CandidateNode dear = new CandidateNode(T4, "a", false, "dear", true, Set.of());
        dear.add(onDear);
        CandidateNode cheap = new CandidateNode(T4, "a", true, "cheap", true, Set.of());
        cheap.add(old(902, 50, 100, true));
        return Scheduler.plan(new Scheduler.Input(
                        0,
                        List.of(dear, cheap),
                        List.of(waiting),
                        List.of(new Team(0, 0, 0, 0)),
                        List.of(T4),
                        new HashMap<>(),
                        null,
                        60_000,
                        standing))
                .stops
                .stream()
                .map(r -> r.attempt)
                .toList();
    }

    /** A node on which tasks were stopped for one waiting task may be the only one with more tasks to stop for the next. */
    @Test
    void oneNodeMakesRoomForSeveralTasks() {
        List<Team> teams = List.of(new Team(8, 0, 0, 0), new Team(0, 0, 0, 0));
        CandidateNode n = new CandidateNode(T4, "a", false, "m", true, Set.of());
        for (int i = 0; i < 4; i++) {
            n.add(new CandidateNode.Running(
                    spec(90 + i, false, Priority.LOW, 1, 1, true, false, false), 1, "a" + i, i, false));
            teams.get(1).usedCpus += 1;
        }
        TaskGroup g = new TaskGroup(spec(2, false, Priority.HIGH, 2, 2, false, false, false), "j", 1, 0, 2);
        SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                2_000, List.of(n), List.of(g), teams, List.of(T4), new HashMap<>(), null, 1_000, 0));
        assertEquals(4, plan.stops.size());
        assertEquals(0, plan.unplacedTasks);
    }

    @Test
    void dearMachinesAreVacatedWhereCheapOnesHaveRoom() {
        assertEquals(List.of("a901"), vacated(old(901, 50, 60, true), 0));
        assertEquals(List.of(), vacated(old(901, 50, 60, false), 0), "it cannot save");
        assertEquals(List.of(), vacated(old(901, 10, 60, true), 0), "it has only just begun");
        assertEquals(List.of(), vacated(old(901, 50, 8, true), 0), "it is nearly over");
        assertEquals(List.of(), vacated(old(901, 50, 60, true), 6), "both machines' room was asked for lately");
        TaskGroup g = new TaskGroup(spec(1, false, Priority.NORMAL, 9, 4, false, false, false), "j", 1, 0, 9);
        assertEquals(List.of(), vacated(old(901, 50, 60, true), 0, g), "work waits");
    }

    @Test
    void dearIdleMachinesGoFirstUnlessTheirRoomWasAskedForLately() {
        for (boolean spot : new boolean[] {false, true}) {
            CandidateNode idle = new CandidateNode(T4, "a", spot, "idle", true, Set.of());
            idle.idleMs = 5_000;
            CandidateNode other = new CandidateNode(T4, "a", true, "other", true, Set.of());
            other.add(old(902, 50, 100, false));
            for (double standing : new double[] {0, 6}) {
                SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                        0,
                        List.of(idle, other),
                        List.of(),
                        List.of(new Team(0, 0, 0, 0)),
                        List.of(T4),
                        new HashMap<>(),
                        null,
                        60_000,
                        standing));
                assertEquals(!spot && standing == 0 ? 1 : 0, plan.idle.size(), "spot " + spot + ", " + standing);
            }
        }
    }

    /**
     * Returns how many machines are rented for a queue of 20 jobs that can wait, by whether they are spot instances.
     *
     * @param cheapFull whether the cloud has no capacity in the cheap pools
     */
    private static Map<Boolean, Integer> rented(double dueS, boolean cheapFull) {
        List<TaskGroup> queue = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            TaskGroup g = due(10 * i + 1, 4, 20, dueS);
            JobSpec s = spec(10 * i + 1, false, Priority.NORMAL, 4, 4, true, false, false);
            TaskGroup spot = new TaskGroup(s, g.job, g.arrivalOrder, 0, 4);
            spot.runS = g.runS;
            spot.longestRunS = g.longestRunS;
            spot.due = g.due;
            spot.lastDue = g.lastDue;
            spot.startBy = g.startBy;
            spot.mayWaitForBoots = true;
            queue.add(spot);
        }
        List<CandidateNode> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            CandidateNode n = new CandidateNode(T4, "a", true, "m" + i, true, Set.of());
            n.add(new CandidateNode.Running(
                    spec(900, false, Priority.NORMAL, 1, 4, true, false, false), 0, i, 0, false));
            nodes.add(n);
        }
        Map<String, Long> full = new HashMap<>();
        if (cheapFull) {
            full.put(Scheduler.pool("t4", "a", true), 1_000L);
            full.put(Scheduler.pool("t4", "b", true), 1_000L);
        }
        Map<Boolean, Integer> rented = new HashMap<>();
        Scheduler.plan(new Scheduler.Input(
                        0, nodes, queue, List.of(new Team(0, 0, 0, 0)), List.of(T4), full, null, 60_000, 0))
                .rents
                .forEach(r -> rented.merge(r.spot(), r.count(), Integer::sum));
        return rented;
    }

    @Test
    void dearMachinesAreRentedOnlyAsTheQueueNeedsThem() {
        assertEquals(Map.of(true, 80), rented(300, false), "cheap ones for all that waits");
        assertEquals(Map.of(), rented(300, true), "80 tasks of 20 s are over in time on twenty machines");
        int dear = rented(110, true).get(false);
        assertTrue(dear > 0 && dear < 20, dear + " dear machines: some are needed, not one a task");
    }

    /** Returns the evaluations of one cycle over a fleet with a tenth of its nodes free, with ten jobs of this many tasks. */
    private static long steps(int machines, int tasks) {
        List<CandidateNode> nodes = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            CandidateNode n = new CandidateNode(T4, "a", false, "m" + i, true, Set.of());
            if (i % 10 > 0) {
                n.add(new CandidateNode.Running(
                        spec(900, false, Priority.NORMAL, 1, 4, false, false, false), 0, i, 0, false));
            }
            nodes.add(n);
        }
        List<TaskGroup> groups = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            groups.add(
                    new TaskGroup(spec(i, false, Priority.NORMAL, tasks, 4, true, false, false), "j" + i, i, 0, tasks));
        }
        SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                0, nodes, groups, List.of(new Team(0, 0, 0, 0)), List.of(T4), new HashMap<>(), null, 60_000, 0));
        assertEquals(Math.min(10 * tasks, machines / 10), plan.placements.size());
        assertTrue(plan.rents.stream().allMatch(r -> r.count() <= 50), "a request asks for 50 machines at most");
        return plan.evaluations;
    }

    @Test
    void aPassCostsWhatTheFleetIsNotWhatWaits() {
        long few = steps(500, 100);
        assertTrue(few < 25_000, few + " steps for 1,000 waiting tasks");
        long many = steps(500, 100_000);
        assertTrue(many <= 1.2 * few, many + " steps for a thousand times as many, " + few + " before");
    }

    /**
     * Plans with a free node, a blocked task of a service, and a job whose tasks would take all the room.
     *
     * @param unheard whether there is also a node without a heartbeat that has room for the blocked task
     */
    private static SchedulingPlan besideHeld(boolean unheard, Priority arrays) {
        List<CandidateNode> nodes = new ArrayList<>(List.of(new CandidateNode(T4, "a", false, "up", true, Set.of())));
        if (unheard) {
            CandidateNode n = new CandidateNode(T4, "b", false, "unheard", false, Set.of());
            n.awaitingHeartbeat = true;
            nodes.add(n);
        }
        TaskGroup service = new TaskGroup(spec(1, true, Priority.HIGH, 1, 3, false, false, false), "s", 0, 0, 0);
        service.blocked = 1;
        TaskGroup array = new TaskGroup(spec(2, false, arrays, 4, 1, false, false, false), "a", 1, 0, 4);
        return Scheduler.plan(new Scheduler.Input(
                2_000,
                nodes,
                List.of(service, array),
                List.of(new Team(100, 0, 0, 0)),
                List.of(T4),
                new HashMap<>(),
                null,
                1_000,
                0));
    }

    /**
     * After a loss of all controllers, tasks of lower priority were started in the room of blocked service tasks and
     * preempted for them: 562 were started and stopped within 4 s.
     */
    @Test
    void whatACensusHoldsUpKeepsRoomFromLowerPriorities() {
        assertEquals(1, besideHeld(false, Priority.NORMAL).placements.size(), "three processors are kept");
        assertEquals(
                4, besideHeld(true, Priority.NORMAL).placements.size(), "it is most likely on the unheard machine");
        assertEquals(4, besideHeld(false, Priority.HIGH).placements.size(), "equals are not stopped for it either");
    }
}
