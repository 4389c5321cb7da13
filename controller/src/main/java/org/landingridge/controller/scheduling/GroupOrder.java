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
    private static final Comparator<TaskGroup> FIRST_COME = Comparator.comparing(
                    (TaskGroup group) -> group.spec.priority())
            .reversed()
            .thenComparingLong(group -> group.order);

    /** By priority, then by latest start time; deferred jobs come after all others of their priority. */
    static final Comparator<TaskGroup> BY_DEADLINE = Comparator.comparing((TaskGroup group) -> group.spec.priority())
            .reversed()
            .thenComparingInt(group -> group.yielded)
            .thenComparingLong(group -> group.startBy)
            .thenComparingLong(group -> group.order);

    private static final Comparator<TaskGroup> MOST_WORK = Comparator.comparingDouble(GroupOrder::work)
            .reversed()
            .thenComparing(
                    Comparator.comparingLong((TaskGroup group) -> group.order).reversed());

    /** Lateness is checked in two rounds: against {@link TaskGroup#due}, then against {@link TaskGroup#lastDue}. */
    private static final int DEADLINES = 2;

    private final long now;
    /** Milliseconds that all CPUs together need for one CPU second of work. */
    private final double millisPerProcessorSecond;

    private GroupOrder(Scheduler.Input input) {
        now = input.now();
        millisPerProcessorSecond = 1000 / Math.max(1, processors(input.nodes()));
    }

    /** Returns the groups with waiting or blocked tasks, in the order in which they are served. */
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

    /** Returns the CPUs available to work that ends: all CPUs of the nodes minus those that services use. */
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

    /** Returns true for a group with a known run time and a deadline. */
    static boolean hasDeadline(TaskGroup group) {
        return group.runS > 0 && group.lastDue != Long.MAX_VALUE;
    }

    /** Returns true if each job can start in time after all work before it in the list. */
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
     * Defers jobs if not all can meet their deadlines. Jobs are taken by latest start time; when one would be late, the
     * largest job so far is deferred, which minimizes the number of late jobs (Moore-Hodgson algorithm). Otherwise work on
     * jobs that are late anyway would delay the next ones, until almost no job of a burst is in time.
     */
    private void yieldLate(List<TaskGroup> groups) {
        for (int round = 0; round < DEADLINES; round++) {
            yieldLate(groups, round);
        }
    }

    private void yieldLate(List<TaskGroup> groups, int round) {
        PriorityQueue<TaskGroup> largest = new PriorityQueue<>(MOST_WORK);
        // Deferred jobs wait for all jobs that are not deferred.
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

    /** Returns the CPU seconds that the group's waiting tasks need. */
    private static double work(TaskGroup group) {
        return group.waiting * group.runS * group.spec.cpus();
    }
}
