package org.landingridge.controller.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.scheduling.TaskGroup;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/**
 * What jobs inherit from the jobs that await them, directly or indirectly: the highest priority, and the time by which they must
 * finish so that the last job of the pipeline can still meet its deadline.
 */
final class PriorityInheritance {
    /**
     * What one job inherits. Times are by the event loop's clock.
     *
     * @param due     when the job should finish; Long.MAX_VALUE if no job that awaits it has a deadline
     * @param lastDue until when a late finish still has some value
     */
    record Inherited(Priority priority, long due, long lastDue) {
        Inherited and(Inherited other) {
            return new Inherited(
                    priority.compareTo(other.priority) > 0 ? priority : other.priority,
                    Math.min(due, other.due),
                    Math.min(lastDue, other.lastDue));
        }
    }

    private final Map<String, Inherited> byId = new HashMap<>();

    private PriorityInheritance() {}

    /**
     * Computes what jobs inherit.
     *
     * @param active all jobs that are neither done nor cancelled
     */
    static PriorityInheritance of(Collection<Job> active, RuntimeForecast forecast, long now, long timeOfDay) {
        PriorityInheritance all = new PriorityInheritance();
        List<Job> waiting = new ArrayList<>();
        for (Job job : active) {
            if (!job.ready()) {
                waiting.add(job);
            }
        }
        // Awaited jobs were accepted before the jobs that await them. From newest to oldest, each job has inherited
        // everything before it passes it on.
        waiting.sort(Comparator.comparingLong(Job::created).reversed());
        for (Job job : waiting) {
            TaskGroup group = new TaskGroup(job.spec(), null, job.created(), 0, 0);
            forecast.expect(group, job, now, timeOfDay);
            all.apply(group, job.id());
            Inherited handedOn = new Inherited(
                    all.priority(job.spec()),
                    before(group.due, group.longestRunS),
                    before(group.lastDue, group.longestRunS));
            for (String needed : job.awaited()) {
                all.byId.merge(needed, handedOn, Inherited::and);
            }
        }
        return all;
    }

    private static long before(long due, double longestRunS) {
        return due == Long.MAX_VALUE ? due : due - Math.round(longestRunS * 1000);
    }

    private Priority priority(JobSpec spec) {
        Inherited inherited = byId.get(spec.id());
        return inherited == null || inherited.priority.compareTo(spec.priority()) <= 0
                ? spec.priority()
                : inherited.priority;
    }

    /** Returns the job's specification with the higher of its own and its inherited priority. */
    JobSpec spec(JobSpec spec) {
        Priority priority = priority(spec);
        return priority == spec.priority() ? spec : spec.withPriority(priority);
    }

    /** Tightens the group's due times to the inherited ones, if there are any. */
    void apply(TaskGroup group, String id) {
        Inherited inherited = byId.get(id);
        if (inherited == null || inherited.due == Long.MAX_VALUE) {
            return;
        }
        group.due = Math.min(group.due, inherited.due);
        group.lastDue = Math.min(group.lastDue, inherited.lastDue);
        group.startBy = before(group.due, group.longestRunS);
        group.withoutDeadline = false;
        group.mayWaitForBoots = false;
    }
}
