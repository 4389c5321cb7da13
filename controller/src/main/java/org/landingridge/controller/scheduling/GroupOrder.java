package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The order in which groups are served: by priority, and within a priority first come, first served as long as every job
 * can meet its deadline, otherwise by deadline.
 */
final class GroupOrder {
    private static final Comparator<TaskGroup> BY_ARRIVAL = Comparator.comparing(
                    (TaskGroup group) -> group.spec.priority())
            .reversed()
            .thenComparingLong(group -> group.arrivalOrder);

    /** By priority, then by latest start time; deferred jobs come after all others of their priority. */
    static final Comparator<TaskGroup> BY_DEADLINE = Comparator.comparing((TaskGroup group) -> group.spec.priority())
            .reversed()
            .thenComparingInt(group -> group.deferralLevel)
            .thenComparingLong(group -> group.latestStartMs)
            .thenComparingLong(group -> group.arrivalOrder);

    private static final Comparator<TaskGroup> MOST_WORK_FIRST = Comparator.comparingDouble(
                    GroupOrder::waitingCpuSeconds)
            .reversed()
            .thenComparing(Comparator.comparingLong((TaskGroup group) -> group.arrivalOrder)
                    .reversed());

    /** Lateness is checked in two rounds: against {@link TaskGroup#deadlineMs}, then against {@link TaskGroup#finalDeadlineMs}. */
    private static final int DEADLINE_ROUNDS = 2;

    private final long now;
    /** Milliseconds that all CPUs together need for one CPU second of work. */
    private final double millisPerCpuSecond;

    private GroupOrder(Scheduler.Input input) {
        now = input.now();
        millisPerCpuSecond = 1000 / Math.max(1, batchCpus(input.nodes()));
    }

    /** Returns the groups with waiting or blocked tasks, in the order in which they are served. */
    static List<TaskGroup> sortedGroups(Scheduler.Input input) {
        List<TaskGroup> groups = new ArrayList<>();
        for (TaskGroup group : input.groups()) {
            if (group.waitingTasks > 0 || group.blockedTasks > 0) {
                groups.add(group);
            }
        }
        groups.sort(BY_ARRIVAL);
        GroupOrder groupOrder = new GroupOrder(input);
        if (!groupOrder.allCanStartInTime(groups)) {
            groups.sort(BY_DEADLINE);
            groupOrder.deferLateJobs(groups);
            groups.sort(BY_DEADLINE);
        }
        return groups;
    }

    /** Returns the CPUs available to work that ends: all CPUs of the nodes minus those that services use. */
    static double batchCpus(List<CandidateNode> nodes) {
        double cpus = 0;
        for (CandidateNode node : nodes) {
            cpus += node.type.cpus();
            for (CandidateNode.RunningTask task : node.runningTasks) {
                if (task.spec != null && task.spec.service()) {
                    cpus -= task.spec.cpus();
                }
            }
        }
        return cpus;
    }

    /** Returns true for a group with a known run time and a deadline. */
    static boolean hasDeadline(TaskGroup group) {
        return group.expectedRunS > 0 && group.finalDeadlineMs != Long.MAX_VALUE;
    }

    /** Returns true if each job can start in time after all work before it in the list. */
    private boolean allCanStartInTime(List<TaskGroup> groups) {
        double cpuSeconds = 0;
        for (TaskGroup group : groups) {
            cpuSeconds += waitingCpuSeconds(group);
            if (hasDeadline(group) && cpuSeconds * millisPerCpuSecond > group.latestStartMs - now) {
                return false;
            }
        }
        return true;
    }

    /**
     * Defers jobs if not all can meet their deadlines. Jobs are taken by latest start time; when one would be late, the
     * largest job so far is deferred, which minimizes the number of late jobs (Moore-Hodgson algorithm). Otherwise work on
     * jobs that will be late would delay the next ones, until almost no job of a burst is in time.
     */
    private void deferLateJobs(List<TaskGroup> groups) {
        for (int round = 0; round < DEADLINE_ROUNDS; round++) {
            deferLateJobs(groups, round);
        }
    }

    private void deferLateJobs(List<TaskGroup> groups, int round) {
        PriorityQueue<TaskGroup> largestFirst = new PriorityQueue<>(MOST_WORK_FIRST);
        // Deferred jobs wait for all jobs that are not deferred.
        double cpuSeconds = 0;
        for (TaskGroup group : groups) {
            cpuSeconds += group.deferralLevel < round ? waitingCpuSeconds(group) : 0;
        }
        for (TaskGroup group : groups) {
            if (group.deferralLevel != round || !hasDeadline(group)) {
                cpuSeconds += group.deferralLevel == round ? waitingCpuSeconds(group) : 0;
                continue;
            }
            double availableMs =
                    (round == 0 ? group.deadlineMs : group.finalDeadlineMs) - now - 1000 * group.expectedLongestRunS;
            largestFirst.add(group);
            cpuSeconds += waitingCpuSeconds(group);
            while (group.deferralLevel == round && cpuSeconds * millisPerCpuSecond > availableMs) {
                TaskGroup deferred =
                        waitingCpuSeconds(group) * millisPerCpuSecond > availableMs ? group : largestFirst.poll();
                if (deferred == group) {
                    largestFirst.remove(group);
                }
                cpuSeconds -= waitingCpuSeconds(deferred);
                deferred.deferralLevel = round + 1;
            }
        }
    }

    /** Returns the CPU seconds that the group's waiting tasks need. */
    private static double waitingCpuSeconds(TaskGroup group) {
        return group.waitingTasks * group.expectedRunS * group.spec.cpus();
    }
}
