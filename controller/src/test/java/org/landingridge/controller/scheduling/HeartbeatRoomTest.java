package org.landingridge.controller.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.Priority;

/**
 * Guards against plans with more tasks on a machine than its heartbeat can list, and against tasks that are preempted, starved or
 * given machines only because the heartbeats are full.
 */
class HeartbeatRoomTest {
    private static final MachineType MACHINE_TYPE =
            new MachineType("g96", 96, 0, 768, 30, 1, 1.0, 0.3, 30, List.of("a"));
    private static final double SMALL_CPUS = 0.01;
    private static final int MANY_TASKS = 2_000;
    /** Attempts of a job with an identifier of ten characters that one heartbeat can list. */
    private static final int MAX_ENTRIES = Heartbeat.MAX_ENTRIES_BYTES / Heartbeat.maxEntryBytes("job-000001");

    private static JobSpec spec(int jobNumber, boolean service, Priority priority, int tasks, double cpus) {
        return SchedulerTest.spec(jobNumber, service, priority, tasks, cpus, false, false, false);
    }

    private static TaskGroup group(JobSpec spec, int order) {
        return new TaskGroup(spec, "j" + order, order, 0, spec.tasks());
    }

    private static CandidateNode node() {
        return new CandidateNode(MACHINE_TYPE, "a", false, "m", true, Set.of());
    }

    private static CandidateNode nodeWithTasks(JobSpec spec, int count) {
        CandidateNode node = node();
        for (int i = 0; i < count; i++) {
            node.add(new CandidateNode.RunningTask(spec, 0, "running-" + i, i, false));
        }
        return node;
    }

    private static SchedulingPlan plan(List<CandidateNode> nodes, TaskGroup... groups) {
        return Scheduler.plan(new Scheduler.Input(
                1_000_000,
                nodes,
                List.of(groups),
                List.of(new TeamQuota(0, 0, 0, 0)),
                List.of(MACHINE_TYPE),
                new HashMap<>(),
                null,
                60_000,
                0));
    }

    private static int rentedMachines(SchedulingPlan plan) {
        return plan.rents.stream().mapToInt(SchedulingPlan.Rent::count).sum();
    }

    @Test
    @DisplayName("small tasks get three quarters of a machine's heartbeat at most, larger ones the rest")
    void smallTasksLeaveRoomInHeartbeat() {
        TaskGroup small = group(spec(1, false, Priority.NORMAL, MANY_TASKS, SMALL_CPUS), 1);
        TaskGroup larger = group(spec(2, false, Priority.NORMAL, 90, 0.99), 2);
        SchedulingPlan plan = plan(List.of(node()), small, larger);
        long smallPlaced = plan.placements.stream()
                .filter(placement -> placement.group() == small)
                .count();
        assertTrue(smallPlaced > MAX_ENTRIES / 2 && smallPlaced <= MAX_ENTRIES * 3 / 4, smallPlaced + " placed");
        assertTrue(
                plan.placements.size() > smallPlaced + 80,
                plan.placements.size() - smallPlaced + " tasks of the second job placed");
        assertTrue(plan.placements.size() <= MAX_ENTRIES);
    }

    @Test
    @DisplayName("ended attempts take heartbeat room until they are dropped, and nothing is preempted meanwhile")
    void endedAttemptsTakeRoomAndCauseNoPreemption() {
        CandidateNode node = nodeWithTasks(spec(1, false, Priority.LOW, 300, SMALL_CPUS), 300);
        for (int i = 300; i < MAX_ENTRIES; i++) {
            node.addEndedAttempt("job-000001", null);
        }
        SchedulingPlan plan = plan(List.of(node), group(spec(2, true, Priority.HIGH, 1, 2), 2));
        assertEquals(0, plan.placements.size());
        assertEquals(0, plan.tasksToStop.size());
        assertEquals(0, rentedMachines(plan));
    }

    @Test
    @DisplayName("a task of higher priority preempts one task of a machine whose heartbeat is full")
    void higherPriorityPreemptsOneTaskWhenHeartbeatIsFull() {
        CandidateNode node = nodeWithTasks(spec(1, false, Priority.LOW, MAX_ENTRIES, SMALL_CPUS), MAX_ENTRIES);
        SchedulingPlan plan = plan(List.of(node), group(spec(2, true, Priority.HIGH, 1, 2), 2));
        assertEquals(1, plan.tasksToStop.size());
    }

    @Test
    @DisplayName(
            "a small task of higher priority preempts one small task, however many larger ones the heartbeat lists")
    void smallTaskPreemptsOneTaskBesideManyLargerOnes() {
        int smallTasks = MAX_ENTRIES * 3 / 4;
        CandidateNode node = nodeWithTasks(spec(1, false, Priority.LOW, smallTasks, SMALL_CPUS), smallTasks);
        JobSpec larger = spec(2, false, Priority.NORMAL, 80, 0.99);
        for (int i = 0; i < larger.tasks(); i++) {
            node.add(new CandidateNode.RunningTask(larger, 0, "larger-" + i, i, false));
        }
        SchedulingPlan plan = plan(List.of(node), group(spec(3, true, Priority.HIGH, 1, SMALL_CPUS), 3));
        assertEquals(1, plan.tasksToStop.size());
    }

    @Test
    @DisplayName(
            "tasks that end do not make machines be rented for the sake of heartbeats, replicas that do not end do")
    void machinesAreRentedForHeartbeatsOfReplicasOnly() {
        assertEquals(1, rentedMachines(plan(List.of(), group(spec(1, false, Priority.NORMAL, MANY_TASKS, 0.01), 1))));
        int replicasPerMachine = MAX_ENTRIES * 3 / 4;
        assertEquals(
                (MANY_TASKS + replicasPerMachine - 1) / replicasPerMachine,
                rentedMachines(plan(List.of(), group(spec(1, true, Priority.NORMAL, MANY_TASKS, 0.01), 1))));
    }
}
