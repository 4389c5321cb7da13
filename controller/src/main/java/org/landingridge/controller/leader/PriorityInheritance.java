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
 * What jobs inherit from those that need them, directly or through others: the highest priority, and the time by which they have
 * to be over so that the last job of the pipeline can still be in time.
 */
final class PriorityInheritance {
    /**
     * What one job inherits.
     *
     * @param due     by the clock of the pass; Long.MAX_VALUE: nothing is expected of what needs it
     * @param lastDue until when being over still counts for something
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

    /** @param active all jobs that are neither done nor cancelled */
    static PriorityInheritance of(Collection<Job> active, RuntimeForecast forecast, long now, long timeOfDay) {
        PriorityInheritance all = new PriorityInheritance();
        List<Job> waiting = new ArrayList<>();
        for (Job job : active) {
            if (!job.ready()) {
                waiting.add(job);
            }
        }
        // What a job awaits was accepted before it: in this order each has inherited all before it hands on.
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

    /** The job as the scheduler is to see it. */
    JobSpec spec(JobSpec spec) {
        Priority priority = priority(spec);
        return priority == spec.priority() ? spec : spec.withPriority(priority);
    }

    /** Tightens what is expected of a group. */
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
