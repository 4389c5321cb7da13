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
    private static final MachineType MACHINE_TYPE =
            new MachineType("t4", 4, 0, 8, 30, 1, 1.0, 0.3, 30, List.of("a", "b"));

    static JobSpec spec(
            int jobNumber,
            boolean service,
            Priority priority,
            int tasks,
            double cpus,
            boolean spot,
            boolean oneZone,
            boolean spread) {
        return new JobSpec(
                String.format("job-%06d", jobNumber),
                "c",
                "t",
                service,
                priority,
                tasks,
                cpus,
                0,
                cpus,
                "img-" + jobNumber % 3,
                1,
                null,
                jobNumber % 7 == 0 ? "a" : null,
                oneZone,
                spread,
                spot,
                30,
                0,
                0,
                null);
    }

    /** Returns a random input; the same seed gives the same input. */
    private static Scheduler.Input randomInput(long seed) {
        Random random = new Random(seed);
        List<TeamQuota> teams =
                List.of(new TeamQuota(8, random.nextBoolean() ? 16 : 0, 0, 0), new TeamQuota(4, 12, 0, 0));
        List<CandidateNode> nodes = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(8); i++) {
            CandidateNode node = new CandidateNode(
                    MACHINE_TYPE,
                    random.nextBoolean() ? "a" : "b",
                    random.nextInt(3) == 0,
                    "m" + i,
                    random.nextInt(5) > 0,
                    random.nextBoolean() ? Set.of("img-1") : Set.of());
            for (int taskNumber = random.nextInt(4); node.up && taskNumber > 0; taskNumber--) {
                int team = random.nextInt(2);
                JobSpec spec = spec(
                        900 + taskNumber,
                        random.nextInt(4) == 0,
                        Priority.values()[random.nextInt(3)],
                        1,
                        1,
                        true,
                        false,
                        false);
                node.add(new CandidateNode.RunningTask(
                        spec, team, "a" + i + taskNumber, random.nextInt(1000), random.nextInt(5) == 0));
                teams.get(team).usedCpus += 1;
            }
            nodes.add(node);
        }
        List<TaskGroup> groups = new ArrayList<>();
        for (int i = 0; i < random.nextInt(6); i++) {
            int tasks = 1 + random.nextInt(6);
            groups.add(new TaskGroup(
                    spec(
                            i,
                            random.nextInt(3) == 0,
                            Priority.values()[random.nextInt(3)],
                            tasks,
                            1 + random.nextInt(3),
                            random.nextBoolean(),
                            random.nextInt(4) == 0,
                            random.nextInt(4) == 0),
                    "j" + i,
                    i,
                    random.nextInt(2),
                    tasks));
        }
        return new Scheduler.Input(2_000, nodes, groups, teams, List.of(MACHINE_TYPE), new HashMap<>(), null, 1_000, 0);
    }

    private static double freeCpus(CandidateNode node) {
        double used = 0;
        for (CandidateNode.RunningTask task : node.runningTasks) {
            used += task.spec.cpus();
        }
        return node.type.cpus() - used;
    }

    /** The model: recounts all room and quotas from scratch and checks the plan against them. */
    private static void checkAgainstModel(Scheduler.Input original, Scheduler.Input consumed, SchedulingPlan plan) {
        Map<CandidateNode, Double> placedCpusByNode = new LinkedHashMap<>();
        Map<TaskGroup, Map<String, Integer>> tasksByZoneByGroup = new LinkedHashMap<>();
        double[] usedCpusByTeam = {
            original.teams().get(0).usedCpus, original.teams().get(1).usedCpus
        };
        for (SchedulingPlan.Placement placement : plan.placements) {
            JobSpec spec = placement.group().spec;
            placedCpusByNode.merge(placement.node(), spec.cpus(), Double::sum);
            tasksByZoneByGroup
                    .computeIfAbsent(placement.group(), group -> new HashMap<>())
                    .merge(placement.node().zone, 1, Integer::sum);
            usedCpusByTeam[placement.group().teamIndex] += spec.cpus();
            assertTrue(placement.node().up, "only nodes that are up take tasks");
            assertTrue(!placement.node().spot || spec.spot(), "spot instances only for jobs that allow them");
            assertTrue(
                    spec.zone() == null || spec.zone().equals(placement.node().zone),
                    "tasks are placed in the job's zone");
        }
        placedCpusByNode.forEach((node, cpus) ->
                assertTrue(cpus <= freeCpus(node) + 1e-6, "no node is given more CPUs than it has free"));
        tasksByZoneByGroup.forEach((group, tasksByZone) -> {
            assertTrue(!group.spec.oneZone() || tasksByZone.size() == 1, "tasks of a oneZone job are in one zone");
            assertTrue(
                    !group.spec.spread()
                            || tasksByZone.values().stream().allMatch(count -> count <= (group.spec.tasks() + 1) / 2),
                    "no zone has more than half of a spread job's tasks");
        });
        for (int teamIndex = 0; teamIndex < 2; teamIndex++) {
            double cpuLimit = consumed.teams().get(teamIndex).cpuLimit;
            assertTrue(
                    cpuLimit <= 0
                            || usedCpusByTeam[teamIndex]
                                    <= Math.max(cpuLimit, original.teams().get(teamIndex).usedCpus) + 1e-6,
                    "no team exceeds its limit");
        }
        // No task is left waiting if a node has free room that the task may use now.
        Map<TaskGroup, Integer> placedTasksByGroup = new HashMap<>();
        plan.placements.forEach(placement -> placedTasksByGroup.merge(placement.group(), 1, Integer::sum));
        if (plan.tasksToStop.isEmpty() && plan.unplacedTasks > 0) {
            for (int i = 0; i < consumed.groups().size(); i++) {
                TaskGroup group = consumed.groups().get(i);
                int waitingTasks = original.groups().get(i).waitingTasks - placedTasksByGroup.getOrDefault(group, 0);
                double cpuLimit = consumed.teams().get(group.teamIndex).cpuLimit;
                boolean limitReached = cpuLimit > 0
                        && consumed.teams().get(group.teamIndex).usedCpus + group.spec.cpus() > cpuLimit + 1e-6;
                if (waitingTasks == 0 || limitReached || group.spec.oneZone() || group.spec.spread()) {
                    continue;
                }
                for (CandidateNode node : consumed.nodes()) {
                    boolean mayUseNode = node.up
                            && (!node.spot || group.spec.spot())
                            && (group.spec.zone() == null || group.spec.zone().equals(node.zone));
                    assertTrue(
                            !mayUseNode
                                    || freeCpus(node) - placedCpusByNode.getOrDefault(node, 0.0)
                                            < group.spec.cpus() - 1e-6,
                            group.spec.id() + " waits although there is room on " + node.machine);
                }
            }
        }
        for (CandidateNode.RunningTask task : plan.tasksToStop) {
            boolean allowed = false;
            for (TaskGroup group : consumed.groups()) {
                allowed |= task.spec.priority().compareTo(group.spec.priority()) < 0
                        || task.teamIndex != group.teamIndex
                                && task.spec.priority().compareTo(group.spec.priority()) == 0;
            }
            assertTrue(allowed, "tasks are stopped only for higher priority or another team's guarantee");
        }
        assertEquals(new HashSet<>(plan.tasksToStop).size(), plan.tasksToStop.size(), "no task is stopped twice");
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void plansOfRandomInputsAgreeWithModel(int block) {
        for (long seed = block * 500L; seed < block * 500L + 500; seed++) {
            Scheduler.Input input = randomInput(seed);
            checkAgainstModel(randomInput(seed), input, Scheduler.plan(input));
        }
    }

    @Test
    void sameInputGivesSamePlan() {
        for (long seed = 0; seed < 200; seed++) {
            SchedulingPlan first = Scheduler.plan(randomInput(seed));
            SchedulingPlan second = Scheduler.plan(randomInput(seed));
            assertEquals(
                    first.placements.stream()
                            .map(placement -> placement.group().job + "@" + placement.node().machine)
                            .toList(),
                    second.placements.stream()
                            .map(placement -> placement.group().job + "@" + placement.node().machine)
                            .toList());
            assertEquals(first.rents, second.rents);
        }
    }

    private static Scheduler.Input inputWithGroup(TaskGroup group, List<CandidateNode> nodes) {
        return new Scheduler.Input(
                1_000_000,
                nodes,
                List.of(group),
                List.of(new TeamQuota(0, 0, 0, 0)),
                List.of(MACHINE_TYPE),
                new HashMap<>(),
                null,
                60_000,
                0);
    }

    @Test
    void tasksThatCanRunInTurnBeforeDeadlineShareMachine() {
        TaskGroup group = new TaskGroup(spec(1, false, Priority.NORMAL, 6, 4, false, false, false), "j", 1, 0, 6);
        group.expectedRunS = 30;
        group.deadlineMs = 1_000_000 + 200_000;
        SchedulingPlan plan = Scheduler.plan(inputWithGroup(group, List.of()));
        int rentedMachines =
                plan.rents.stream().mapToInt(SchedulingPlan.Rent::count).sum();
        assertEquals(2, rentedMachines, "six tasks of 30 s finish within 200 s on two machines, three in turn on each");
        group.waitingTasks = 6;
        group.deadlineMs = 1_000_000 + 60_000;
        assertEquals(
                6,
                Scheduler.plan(inputWithGroup(group, List.of())).rents.stream()
                        .mapToInt(SchedulingPlan.Rent::count)
                        .sum());
    }

    @Test
    void servicePreemptsOnNodeWithItsImageWhenFetchWouldBeTooSlow() {
        TaskGroup group = new TaskGroup(spec(1, true, Priority.HIGH, 1, 1, false, false, false), "j", 1, 0, 1);
        group.startTargetS = 1;
        CandidateNode empty = new CandidateNode(MACHINE_TYPE, "a", false, "empty", true, Set.of());
        CandidateNode full = new CandidateNode(MACHINE_TYPE, "a", false, "full", true, Set.of("img-1"));
        full.add(new CandidateNode.RunningTask(
                spec(9, false, Priority.NORMAL, 1, 4, false, false, false), 0, "victim", 5, false));
        SchedulingPlan plan = Scheduler.plan(inputWithGroup(group, List.of(empty, full)));
        assertEquals(
                List.of("victim"),
                plan.tasksToStop.stream().map(task -> task.attempt).toList());
        assertTrue(plan.placements.isEmpty());
    }

    private static TaskGroup groupWithDeadline(int jobNumber, int tasks, double runS, double dueS) {
        TaskGroup group = new TaskGroup(
                spec(jobNumber, false, Priority.NORMAL, tasks, 4, false, false, false),
                "j" + jobNumber,
                jobNumber,
                0,
                tasks);
        group.expectedRunS = runS;
        group.expectedLongestRunS = runS;
        group.deadlineMs = Math.round(dueS * 1000);
        group.finalDeadlineMs = group.deadlineMs;
        group.latestStartMs = group.deadlineMs - Math.round(runS * 1000);
        return group;
    }

    private static List<Object> jobsPlacedOnOneNode(TaskGroup... groups) {
        CandidateNode node = new CandidateNode(MACHINE_TYPE, "a", false, "m", true, Set.of());
        return Scheduler.plan(new Scheduler.Input(
                        0,
                        List.of(node),
                        List.of(groups),
                        List.of(new TeamQuota(0, 0, 0, 0)),
                        List.of(MACHINE_TYPE),
                        new HashMap<>(),
                        null,
                        60_000,
                        0))
                .placements
                .stream()
                .map(placement -> placement.group().job)
                .toList();
    }

    @Test
    void groupsAreServedByArrivalUnlessAJobWouldBeLate() {
        assertEquals(
                List.of("j1"), jobsPlacedOnOneNode(groupWithDeadline(1, 1, 30, 300), groupWithDeadline(2, 1, 30, 200)));
        assertEquals(
                List.of("j7"),
                jobsPlacedOnOneNode(groupWithDeadline(1, 2, 30, 300), groupWithDeadline(7, 1, 30, 65)),
                "the second job would be late if it waited for both tasks of the first");
        // Not both jobs can meet their deadlines: the larger one is deferred, although it arrived first.
        assertEquals(
                List.of("j2"), jobsPlacedOnOneNode(groupWithDeadline(1, 3, 30, 100), groupWithDeadline(2, 1, 30, 62)));
    }

    @Test
    void preemptionForAnotherTeamsGuaranteeStopsAtOwnersGuarantee() {
        List<CandidateNode> nodes = new ArrayList<>();
        TeamQuota lender = new TeamQuota(8, 0, 0, 0);
        TeamQuota owner = new TeamQuota(8, 0, 0, 0);
        for (int i = 0; i < 3; i++) {
            CandidateNode node = new CandidateNode(MACHINE_TYPE, "a", false, "m" + i, true, Set.of());
            node.add(new CandidateNode.RunningTask(
                    spec(900 + i, false, Priority.NORMAL, 1, 4, false, false, false), 0, "a" + i, i, false));
            lender.usedCpus += 4;
            nodes.add(node);
        }
        TaskGroup group = new TaskGroup(spec(1, false, Priority.NORMAL, 2, 4, false, false, false), "j", 1, 1, 2);
        SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                2_000,
                nodes,
                List.of(group),
                List.of(lender, owner),
                List.of(MACHINE_TYPE),
                new HashMap<>(),
                null,
                60_000,
                0));
        assertEquals(1, plan.tasksToStop.size(), "twelve CPUs in use, eight guaranteed: four are borrowed");
        assertEquals(1, plan.unplacedTasks);
    }

    /** Returns a running task of one CPU that has run for {@code ranS} seconds and can save its state if {@code canSave}. */
    private static CandidateNode.RunningTask runningTask(int jobNumber, double ranS, double leftS, boolean canSave) {
        JobSpec spec = spec(jobNumber, false, Priority.NORMAL, 1, 1, true, false, false);
        JobSpec specWithCheckpoints = new JobSpec(
                spec.id(),
                spec.jobClass(),
                spec.team(),
                false,
                spec.priority(),
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
                canSave ? 15 : 0,
                canSave ? 3 : 0,
                null);
        CandidateNode.RunningTask task =
                new CandidateNode.RunningTask(specWithCheckpoints, 0, "a" + jobNumber, 0, false);
        task.elapsedS = ranS;
        task.remainingS = leftS;
        return task;
    }

    private static List<Object> attemptsStoppedToDrain(
            CandidateNode.RunningTask taskOnExpensiveNode, double cpusToKeep, TaskGroup... waitingGroups) {
        CandidateNode expensive = new CandidateNode(MACHINE_TYPE, "a", false, "expensive", true, Set.of());
        expensive.add(taskOnExpensiveNode);
        CandidateNode cheap = new CandidateNode(MACHINE_TYPE, "a", true, "cheap", true, Set.of());
        cheap.add(runningTask(902, 50, 100, true));
        return Scheduler.plan(new Scheduler.Input(
                        0,
                        List.of(expensive, cheap),
                        List.of(waitingGroups),
                        List.of(new TeamQuota(0, 0, 0, 0)),
                        List.of(MACHINE_TYPE),
                        new HashMap<>(),
                        null,
                        60_000,
                        cpusToKeep))
                .tasksToStop
                .stream()
                .map(task -> task.attempt)
                .toList();
    }

    /** A node on which tasks were stopped for one waiting task may be the only one with more tasks to stop for the next. */
    @Test
    void oneNodeMakesRoomForSeveralTasksInOneCycle() {
        List<TeamQuota> teams = List.of(new TeamQuota(8, 0, 0, 0), new TeamQuota(0, 0, 0, 0));
        CandidateNode node = new CandidateNode(MACHINE_TYPE, "a", false, "m", true, Set.of());
        for (int i = 0; i < 4; i++) {
            node.add(new CandidateNode.RunningTask(
                    spec(90 + i, false, Priority.LOW, 1, 1, true, false, false), 1, "a" + i, i, false));
            teams.get(1).usedCpus += 1;
        }
        TaskGroup group = new TaskGroup(spec(2, false, Priority.HIGH, 2, 2, false, false, false), "j", 1, 0, 2);
        SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                2_000, List.of(node), List.of(group), teams, List.of(MACHINE_TYPE), new HashMap<>(), null, 1_000, 0));
        assertEquals(4, plan.tasksToStop.size());
        assertEquals(0, plan.unplacedTasks);
    }

    @Test
    void expensiveMachineIsDrainedWhenCheapOneHasRoom() {
        assertEquals(List.of("a901"), attemptsStoppedToDrain(runningTask(901, 50, 60, true), 0));
        assertEquals(
                List.of(),
                attemptsStoppedToDrain(runningTask(901, 50, 60, false), 0),
                "the task cannot save its state");
        assertEquals(
                List.of(), attemptsStoppedToDrain(runningTask(901, 10, 60, true), 0), "the task has only just started");
        assertEquals(
                List.of(), attemptsStoppedToDrain(runningTask(901, 50, 8, true), 0), "the task has nearly finished");
        assertEquals(
                List.of(),
                attemptsStoppedToDrain(runningTask(901, 50, 60, true), 6),
                "recent demand needs the room of both machines");
        TaskGroup group = new TaskGroup(spec(1, false, Priority.NORMAL, 9, 4, false, false, false), "j", 1, 0, 9);
        assertEquals(List.of(), attemptsStoppedToDrain(runningTask(901, 50, 60, true), 0, group), "tasks are waiting");
    }

    @Test
    void idleExpensiveMachineIsReturnedEarlyUnlessItsRoomIsKept() {
        for (boolean spot : new boolean[] {false, true}) {
            CandidateNode idle = new CandidateNode(MACHINE_TYPE, "a", spot, "idle", true, Set.of());
            idle.idleMs = 5_000;
            CandidateNode busy = new CandidateNode(MACHINE_TYPE, "a", true, "busy", true, Set.of());
            busy.add(runningTask(902, 50, 100, false));
            for (double cpusToKeep : new double[] {0, 6}) {
                SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                        0,
                        List.of(idle, busy),
                        List.of(),
                        List.of(new TeamQuota(0, 0, 0, 0)),
                        List.of(MACHINE_TYPE),
                        new HashMap<>(),
                        null,
                        60_000,
                        cpusToKeep));
                assertEquals(
                        !spot && cpusToKeep == 0 ? 1 : 0,
                        plan.nodesToReturn.size(),
                        "spot " + spot + ", CPUs to keep " + cpusToKeep);
            }
        }
    }

    /**
     * Returns how many machines are rented for a queue of 20 jobs that can wait, by whether they are spot instances.
     *
     * @param cheapPoolsFull whether the cloud has no capacity in the cheap pools
     */
    private static Map<Boolean, Integer> rentedMachinesBySpot(double dueS, boolean cheapPoolsFull) {
        List<TaskGroup> queue = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            TaskGroup group = groupWithDeadline(10 * i + 1, 4, 20, dueS);
            JobSpec spec = spec(10 * i + 1, false, Priority.NORMAL, 4, 4, true, false, false);
            TaskGroup waitingGroup = new TaskGroup(spec, group.job, group.arrivalOrder, 0, 4);
            waitingGroup.expectedRunS = group.expectedRunS;
            waitingGroup.expectedLongestRunS = group.expectedLongestRunS;
            waitingGroup.deadlineMs = group.deadlineMs;
            waitingGroup.finalDeadlineMs = group.finalDeadlineMs;
            waitingGroup.latestStartMs = group.latestStartMs;
            waitingGroup.mayWaitForBoots = true;
            queue.add(waitingGroup);
        }
        List<CandidateNode> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            CandidateNode node = new CandidateNode(MACHINE_TYPE, "a", true, "m" + i, true, Set.of());
            node.add(new CandidateNode.RunningTask(
                    spec(900, false, Priority.NORMAL, 1, 4, true, false, false), 0, i, 0, false));
            nodes.add(node);
        }
        Map<String, Long> noCapacityUntilByPool = new HashMap<>();
        if (cheapPoolsFull) {
            noCapacityUntilByPool.put(Scheduler.poolKey("t4", "a", true), 1_000L);
            noCapacityUntilByPool.put(Scheduler.poolKey("t4", "b", true), 1_000L);
        }
        Map<Boolean, Integer> rented = new HashMap<>();
        Scheduler.plan(new Scheduler.Input(
                        0,
                        nodes,
                        queue,
                        List.of(new TeamQuota(0, 0, 0, 0)),
                        List.of(MACHINE_TYPE),
                        noCapacityUntilByPool,
                        null,
                        60_000,
                        0))
                .rents
                .forEach(rent -> rented.merge(rent.spot(), rent.count(), Integer::sum));
        return rented;
    }

    @Test
    void expensiveMachinesAreRentedOnlyAsQueueNeedsThem() {
        assertEquals(Map.of(true, 80), rentedMachinesBySpot(300, false), "a cheap machine for each waiting task");
        assertEquals(Map.of(), rentedMachinesBySpot(300, true), "80 tasks of 20 s finish in time on twenty machines");
        int expensiveMachines = rentedMachinesBySpot(110, true).get(false);
        assertTrue(
                expensiveMachines > 0 && expensiveMachines < 20,
                expensiveMachines + " expensive machines: some are needed, but not one per task");
    }

    /** Returns the evaluations of one cycle over a fleet with a tenth of its nodes free, with ten jobs of this many tasks. */
    private static long evaluationsOfOneCycle(int machines, int tasks) {
        List<CandidateNode> nodes = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            CandidateNode node = new CandidateNode(MACHINE_TYPE, "a", false, "m" + i, true, Set.of());
            if (i % 10 > 0) {
                node.add(new CandidateNode.RunningTask(
                        spec(900, false, Priority.NORMAL, 1, 4, false, false, false), 0, i, 0, false));
            }
            nodes.add(node);
        }
        List<TaskGroup> groups = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            groups.add(
                    new TaskGroup(spec(i, false, Priority.NORMAL, tasks, 4, true, false, false), "j" + i, i, 0, tasks));
        }
        SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                0,
                nodes,
                groups,
                List.of(new TeamQuota(0, 0, 0, 0)),
                List.of(MACHINE_TYPE),
                new HashMap<>(),
                null,
                60_000,
                0));
        assertEquals(Math.min(10 * tasks, machines / 10), plan.placements.size());
        assertTrue(plan.rents.stream().allMatch(rent -> rent.count() <= 50), "a request is for 50 machines at most");
        return plan.evaluations;
    }

    @Test
    void cycleCostDependsOnFleetNotOnNumberOfWaitingTasks() {
        long evaluationsForFewTasks = evaluationsOfOneCycle(500, 100);
        assertTrue(evaluationsForFewTasks < 25_000, evaluationsForFewTasks + " evaluations for 1,000 waiting tasks");
        long evaluationsForManyTasks = evaluationsOfOneCycle(500, 100_000);
        assertTrue(
                evaluationsForManyTasks <= 1.2 * evaluationsForFewTasks,
                evaluationsForManyTasks + " evaluations for a thousand times as many tasks, " + evaluationsForFewTasks
                        + " before");
    }

    /**
     * Plans with a free node, a blocked task of a service, and a job whose tasks would take all the room.
     *
     * @param nodeAwaitsHeartbeat whether there is also a node without a heartbeat that has room for the blocked task
     */
    private static SchedulingPlan planWithBlockedServiceTask(boolean nodeAwaitsHeartbeat, Priority competingPriority) {
        List<CandidateNode> nodes =
                new ArrayList<>(List.of(new CandidateNode(MACHINE_TYPE, "a", false, "up", true, Set.of())));
        if (nodeAwaitsHeartbeat) {
            CandidateNode node = new CandidateNode(MACHINE_TYPE, "b", false, "silent", false, Set.of());
            node.awaitingHeartbeat = true;
            nodes.add(node);
        }
        TaskGroup service = new TaskGroup(spec(1, true, Priority.HIGH, 1, 3, false, false, false), "s", 0, 0, 0);
        service.blockedTasks = 1;
        TaskGroup competing = new TaskGroup(spec(2, false, competingPriority, 4, 1, false, false, false), "a", 1, 0, 4);
        return Scheduler.plan(new Scheduler.Input(
                2_000,
                nodes,
                List.of(service, competing),
                List.of(new TeamQuota(100, 0, 0, 0)),
                List.of(MACHINE_TYPE),
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
    void blockedServiceTaskReservesRoomFromLowerPriorities() {
        assertEquals(
                1,
                planWithBlockedServiceTask(false, Priority.NORMAL).placements.size(),
                "three CPUs are reserved for the blocked task");
        assertEquals(
                4,
                planWithBlockedServiceTask(true, Priority.NORMAL).placements.size(),
                "the blocked task is most likely on the machine without a heartbeat");
        assertEquals(
                4,
                planWithBlockedServiceTask(false, Priority.HIGH).placements.size(),
                "no room is reserved from tasks of the same priority, since they are not preempted for it");
    }
}
