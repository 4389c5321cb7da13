package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Computes how many more CPUs the queue needs so that jobs that can wait still meet their deadlines. */
final class QueueDemand {
    /** Share of a job's allowed wait that the queue may use before expensive machines are rented. */
    private static final double MAX_WAIT_SHARE = 0.8;
    /** Start target for work that will be late in any case, in seconds after the boot of a newly rented machine. */
    private static final double LATE_START_TARGET_S = 60;
    /** Start target for work without a deadline, in seconds. */
    private static final double NO_DEADLINE_START_TARGET_S = 1_800;
    /** A job without a deadline counts as starved this many seconds after its latest start if none of its tasks runs. */
    private static final double STARVED_AFTER_S = 60;
    /** Maximum number of tasks of a starved job that get room in any case. */
    private static final int MAX_STARVED_JOB_TASKS = 4;
    /** Shortest period over which demand is spread, in seconds: a shorter one would request a whole fleet for one job. */
    private static final double MIN_PERIOD_S = 15;

    private final Scheduler.Input input;
    private final double bootS;
    /** CPUs of machines that are up or starting, without those that services use. */
    private final double availableCpus;

    /**
     * @param startingNodes machines that are starting, including those added in this cycle
     * @param bootS         assumed boot time, in seconds
     */
    QueueDemand(Scheduler.Input input, List<CandidateNode> startingNodes, double bootS) {
        this.input = input;
        this.bootS = bootS;
        List<CandidateNode> nodes = new ArrayList<>(startingNodes);
        for (CandidateNode node : input.nodes()) {
            if (node.up) {
                nodes.add(node);
            }
        }
        availableCpus = GroupOrder.batchCpus(nodes);
    }

    /**
     * Returns the number of additional CPUs that the queue needs: enough, once their machines have booted, for each job to
     * start within the permitted share of its allowed wait.
     *
     * @param unplacedWithinGuarantee number of unplaced tasks within their team's guarantee, by group
     * @param unplacedBeyondGuarantee number of unplaced tasks beyond their team's guarantee, by group
     */
    double additionalCpus(
            Map<TaskGroup, Integer> unplacedWithinGuarantee, Map<TaskGroup, Integer> unplacedBeyondGuarantee) {
        // All waiting work counts, including tasks that their team's limit keeps from running now.
        List<TaskGroup> groups = new ArrayList<>(input.groups());
        groups.sort(GroupOrder.BY_DEADLINE);
        double neededCpus = 0;
        double cpuSeconds = 0;
        for (TaskGroup group : groups) {
            int waitingTasks = group.waitingTasks
                    + unplacedWithinGuarantee.getOrDefault(group, 0)
                    + unplacedBeyondGuarantee.getOrDefault(group, 0);
            cpuSeconds += waitingTasks * group.expectedRunS * group.spec.cpus();
            if (waitingTasks == 0 || !(group.withoutDeadline || GroupOrder.hasDeadline(group))) {
                continue;
            }
            if (isStarved(group)) {
                neededCpus = Math.max(neededCpus, Math.min(waitingTasks, MAX_STARVED_JOB_TASKS) * group.spec.cpus());
            }
            double allowedWaitS = allowedWaitS(group);
            double lackingCpuSeconds = cpuSeconds - availableCpus * allowedWaitS * MAX_WAIT_SHARE;
            neededCpus = Math.max(neededCpus, lackingCpuSeconds / Math.max(MIN_PERIOD_S, allowedWaitS - bootS));
        }
        return neededCpus;
    }

    private boolean isStarved(TaskGroup group) {
        return group.withoutDeadline && untilStartS(group) < -STARVED_AFTER_S && group.tasksByZone.isEmpty();
    }

    /** Returns the seconds until the group's last task should start; negative if it is late. */
    private double untilStartS(TaskGroup group) {
        return (group.latestStartMs - input.now()) / 1000.0;
    }

    /** Returns the seconds that the group may wait, no shorter than a machine rented now needs to help it. */
    private double allowedWaitS(TaskGroup group) {
        double untilStartS = untilStartS(group);
        if (group.withoutDeadline) {
            return Math.max(bootS + NO_DEADLINE_START_TARGET_S / 2, untilStartS + NO_DEADLINE_START_TARGET_S);
        }
        if (untilStartS < bootS) {
            return Math.max(
                    bootS + LATE_START_TARGET_S,
                    (group.finalDeadlineMs - input.now()) / 1000.0 - group.expectedLongestRunS);
        }
        return untilStartS;
    }
}
