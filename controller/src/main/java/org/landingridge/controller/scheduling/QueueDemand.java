package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Computes how many more CPUs the queue needs so that jobs that can wait still meet their deadlines. */
final class QueueDemand {
    /** Share of a job's allowed wait that the queue may use before expensive machines are rented. */
    private static final double WAIT_SHARE = 0.8;
    /** Start target for work that will be late in any case, in seconds after the boot of a newly rented machine. */
    private static final double LATE_S = 60;
    /** Start target for work without a deadline, in seconds. */
    private static final double WITHOUT_DEADLINE_S = 1_800;
    /** A job without a deadline counts as starved this many seconds after its latest start if none of its tasks runs. */
    private static final double FLOOR_S = 60;

    /** Maximum number of tasks of a starved job that get room in any case. */
    private static final int FLOOR_TASKS = 4;
    /** Shortest period over which demand is spread, in seconds: a shorter one would request a whole fleet for one job. */
    private static final double LEAST_S = 15;

    private final Scheduler.Input input;
    private final double bootS;
    /** CPUs of machines that are up or starting, without those that services use. */
    private final double processors;

    /**
     * @param coming machines that are starting, including those added in this cycle
     * @param bootS  assumed boot time, in seconds
     */
    QueueDemand(Scheduler.Input input, List<CandidateNode> coming, double bootS) {
        this.input = input;
        this.bootS = bootS;
        List<CandidateNode> nodes = new ArrayList<>(coming);
        for (CandidateNode node : input.nodes()) {
            if (node.up) {
                nodes.add(node);
            }
        }
        processors = GroupOrder.processors(nodes);
    }

    /**
     * Returns the number of additional CPUs that the queue needs: enough, once their machines have booted, for each job to
     * start within the permitted share of its allowed wait.
     *
     * @param within number of unplaced tasks within their team's guarantee, by group
     * @param beyond number of unplaced tasks beyond their team's guarantee, by group
     */
    double processors(Map<TaskGroup, Integer> within, Map<TaskGroup, Integer> beyond) {
        // All waiting work counts, including tasks that their team's limit keeps from running now.
        List<TaskGroup> order = new ArrayList<>(input.groups());
        order.sort(GroupOrder.BY_DEADLINE);
        double most = 0;
        double work = 0;
        for (TaskGroup group : order) {
            int waiting = group.waiting + within.getOrDefault(group, 0) + beyond.getOrDefault(group, 0);
            work += waiting * group.runS * group.spec.cpus();
            if (waiting == 0 || !(group.withoutDeadline || GroupOrder.hasDeadline(group))) {
                continue;
            }
            if (starved(group)) {
                most = Math.max(most, Math.min(waiting, FLOOR_TASKS) * group.spec.cpus());
            }
            double leftS = leftS(group);
            double behind = work - processors * leftS * WAIT_SHARE;
            most = Math.max(most, behind / Math.max(LEAST_S, leftS - bootS));
        }
        return most;
    }

    private boolean starved(TaskGroup group) {
        return group.withoutDeadline && untilStartS(group) < -FLOOR_S && group.perZone.isEmpty();
    }

    /** Returns the seconds until the group's last task should start; negative if it is late. */
    private double untilStartS(TaskGroup group) {
        return (group.startBy - input.now()) / 1000.0;
    }

    /** Returns the seconds that the group may wait, no shorter than a machine rented now needs to help it. */
    private double leftS(TaskGroup group) {
        double untilStartS = untilStartS(group);
        if (group.withoutDeadline) {
            return Math.max(bootS + WITHOUT_DEADLINE_S / 2, untilStartS + WITHOUT_DEADLINE_S);
        }
        if (untilStartS < bootS) {
            return Math.max(bootS + LATE_S, (group.lastDue - input.now()) / 1000.0 - group.longestRunS);
        }
        return untilStartS;
    }
}
