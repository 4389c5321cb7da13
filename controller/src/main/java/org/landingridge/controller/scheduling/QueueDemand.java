package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** How many processors the queue needs beside what is there, so that jobs that can wait are still in time. */
final class QueueDemand {
    /** Of the time that a job can wait, the queue may take so much before expensive machines are rented. */
    private static final double WAIT_SHARE = 0.8;
    /** Work that is late all the same is to be taken up within so many seconds of a machine's boot. */
    private static final double LATE_S = 60;
    /** Work without a deadline is to have been taken up within so many seconds. */
    private static final double WITHOUT_DEADLINE_S = 1_800;
    /** A job without a deadline of which nothing runs so long after it came gets room for some of its tasks all the same. */
    private static final double FLOOR_S = 60;

    private static final int FLOOR_TASKS = 4;
    /** No sum is made over less time than this, in seconds: it would ask for a fleet for one job. */
    private static final double LEAST_S = 15;

    private final Scheduler.Input input;
    private final double bootS;
    /** Processors of machines that are up or on their way. */
    private final double processors;

    /**
     * @param coming machines on their way, those of this round among them
     * @param bootS  how long a boot takes, in seconds
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
     * Processors that the queue needs beside what is there: where a job cannot begin within its share of the time it may
     * wait, so many that it can, from when they are up.
     *
     * @param within tasks that found no room within their team's guarantee
     * @param beyond the same beyond it
     */
    double processors(Map<TaskGroup, Integer> within, Map<TaskGroup, Integer> beyond) {
        // All that waits takes its turn, also what its team's limit keeps from running now.
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

    /** Seconds until the group's last task should begin; less than 0 where it is late. */
    private double untilStartS(TaskGroup group) {
        return (group.startBy - input.now()) / 1000.0;
    }

    /** Seconds that the group may wait, as far as a machine that is rented now can still help it. */
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
