package org.landingridge.controller.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.wire.JobSpec;

/** The identical waiting tasks of one job. The leader fills it; the scheduling cycle decrements {@link #waitingTasks}. */
public final class TaskGroup {
    /** The job's specification, with its current priority. */
    public final JobSpec spec;
    /** The job, opaque to the scheduler. */
    public final Object job;
    /** Position in the order of arrival. */
    public final long arrivalOrder;
    /** Index of the job's team in the cycle's list of teams. */
    public final int teamIndex;
    /** Number of tasks that may be placed now. */
    public int waitingTasks;
    /** Number of tasks that may not be placed until it is certain that no machine runs them. */
    public int blockedTasks;
    /** Expected run time of one task, in seconds; 0 if unknown, or if the task is a service replica and does not end. */
    public double expectedRunS;
    /** Expected run time of the longest task, which determines when the job ends, in seconds. */
    public double expectedLongestRunS;
    /** Deadline of the job, in milliseconds of the cycle's clock; Long.MAX_VALUE if it has none. */
    public long deadlineMs = Long.MAX_VALUE;
    /** Time until which finishing is still useful if the deadline is missed, in milliseconds. */
    public long finalDeadlineMs = Long.MAX_VALUE;
    /** Latest start of the last task to meet the deadline, in milliseconds; the arrival time for work without a deadline. */
    public long latestStartMs;
    /** True if jobs of this class can usually wait for several machine boots and still meet their deadline. */
    public boolean mayWaitForBoots;
    /** True for a job whose tasks fail on every machine: it uses free room only, without preemption or scaling out. */
    public boolean probing;
    /** True for a job that ends but has no objective that sets a deadline. */
    public boolean withoutDeadline;
    /** Target time within which a task should start, in seconds; 0 if there is none. */
    public double startTargetS;
    /** Number of the job's tasks on machines, by zone, for the rules oneZone and spread. */
    public final Map<String, Integer> tasksByZone = new HashMap<>();
    /**
     * 0 for a job that is not deferred; 1 if it is deferred so that others meet their deadlines, 2 if it is also deferred
     * so that others meet {@link #finalDeadlineMs}. Groups with a lower value are served first.
     */
    int deferralLevel;

    /** Creates the group of a job, of which {@code waiting} tasks may be placed now. */
    public TaskGroup(JobSpec spec, Object job, long arrivalOrder, int team, int waiting) {
        this.spec = spec;
        this.job = job;
        this.arrivalOrder = arrivalOrder;
        this.teamIndex = team;
        this.waitingTasks = waiting;
    }

    boolean allowsZone(String zone) {
        if (spec.zone() != null && !spec.zone().equals(zone)) {
            return false;
        }
        // Blocked tasks may be running in any zone, on a machine that has not sent a heartbeat yet. If they were not
        // counted, a oneZone job could be split over zones and a spread job could get too many tasks in one zone.
        if (spec.oneZone() && (tasksByZone.isEmpty() ? blockedTasks > 0 : !tasksByZone.containsKey(zone))) {
            return false;
        }
        return !spec.spread() || tasksByZone.getOrDefault(zone, 0) + blockedTasks < (spec.tasks() + 1) / 2;
    }
}
