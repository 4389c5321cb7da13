package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The order in which groups are served: by priority, and among equals first come, first served as long as that makes no
 * job late; otherwise by deadline.
 */
final class GroupOrder {
    private static final Comparator<TaskGroup> FIRST_COME = Comparator.comparing(
                    (TaskGroup group) -> group.spec.priority())
            .reversed()
            .thenComparingLong(group -> group.order);

    /** By priority, then by when a job must begin; those that gave way come after all others of their priority. */
    static final Comparator<TaskGroup> BY_DEADLINE = Comparator.comparing((TaskGroup group) -> group.spec.priority())
            .reversed()
            .thenComparingInt(group -> group.yielded)
            .thenComparingLong(group -> group.startBy)
            .thenComparingLong(group -> group.order);

    private static final Comparator<TaskGroup> MOST_WORK = Comparator.comparingDouble(GroupOrder::work)
            .reversed()
            .thenComparing(
                    Comparator.comparingLong((TaskGroup group) -> group.order).reversed());

    /** A job is late against its deadline, then against the time until which it still counts. */
    private static final int DEADLINES = 2;

    private final long now;
    /** Milliseconds that all processors together take for a processor second. */
    private final double millisPerProcessorSecond;

    private GroupOrder(Scheduler.Input input) {
        now = input.now();
        millisPerProcessorSecond = 1000 / Math.max(1, processors(input.nodes()));
    }

    /** The groups that wait for anything, in the order in which they are served. */
    static List<TaskGroup> of(Scheduler.Input input) {
        List<TaskGroup> groups = new ArrayList<>();
        for (TaskGroup group : input.groups()) {
            if (group.waiting > 0 || group.blocked > 0) {
                groups.add(group);
            }
        }
        groups.sort(FIRST_COME);
        GroupOrder order = new GroupOrder(input);
        if (!order.allInTime(groups)) {
            groups.sort(BY_DEADLINE);
            order.yieldLate(groups);
            groups.sort(BY_DEADLINE);
        }
        return groups;
    }

    /** Processors for work that ends: those of the nodes without what services use. */
    static double processors(List<CandidateNode> nodes) {
        double processors = 0;
        for (CandidateNode node : nodes) {
            processors += node.type.cpus();
            for (CandidateNode.Running running : node.running) {
                if (running.spec != null && running.spec.service()) {
                    processors -= running.spec.cpus();
                }
            }
        }
        return processors;
    }

    /** True for a group with a known run time and a time by which it should be over. */
    static boolean hasDeadline(TaskGroup group) {
        return group.runS > 0 && group.lastDue != Long.MAX_VALUE;
    }

    /** True if each job begins in time once the work before it has been taken up. */
    private boolean allInTime(List<TaskGroup> groups) {
        double work = 0;
        for (TaskGroup group : groups) {
            work += work(group);
            if (hasDeadline(group) && work * millisPerProcessorSecond > group.startBy - now) {
                return false;
            }
        }
        return true;
    }

    /**
     * Lets jobs yield where not all can be in time. The one that must begin first comes first; where a job is late even
     * so, the largest so far yields, so that as few as possible are late (Moore and Hodgson's rule). Work spent on a job
     * that is late all the same makes the next ones late too, until in a burst hardly any is in time.
     */
    private void yieldLate(List<TaskGroup> groups) {
        for (int round = 0; round < DEADLINES; round++) {
            yieldLate(groups, round);
        }
    }

    private void yieldLate(List<TaskGroup> groups, int round) {
        PriorityQueue<TaskGroup> largest = new PriorityQueue<>(MOST_WORK);
        // Those that yielded wait for all that did not.
        double work = 0;
        for (TaskGroup group : groups) {
            work += group.yielded < round ? work(group) : 0;
        }
        for (TaskGroup group : groups) {
            if (group.yielded != round || !hasDeadline(group)) {
                work += group.yielded == round ? work(group) : 0;
                continue;
            }
            double left = (round == 0 ? group.due : group.lastDue) - now - 1000 * group.longestRunS;
            largest.add(group);
            work += work(group);
            while (group.yielded == round && work * millisPerProcessorSecond > left) {
                TaskGroup out = work(group) * millisPerProcessorSecond > left ? group : largest.poll();
                if (out == group) {
                    largest.remove(group);
                }
                work -= work(out);
                out.yielded = round + 1;
            }
        }
    }

    /** Processor seconds of the tasks that wait. */
    private static double work(TaskGroup group) {
        return group.waiting * group.runS * group.spec.cpus();
    }
}
