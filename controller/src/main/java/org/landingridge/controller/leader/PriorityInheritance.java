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
        Inherited combinedWith(Inherited other) {
            return new Inherited(
                    priority.compareTo(other.priority) > 0 ? priority : other.priority,
                    Math.min(due, other.due),
                    Math.min(lastDue, other.lastDue));
        }
    }

    private final Map<String, Inherited> inheritedByJob = new HashMap<>();

    private PriorityInheritance() {}

    /**
     * Computes what jobs inherit.
     *
     * @param activeJobs all jobs that are neither done nor cancelled
     */
    static PriorityInheritance of(Collection<Job> activeJobs, RuntimeForecast forecast, long now, long timeOfDay) {
        PriorityInheritance inheritance = new PriorityInheritance();
        List<Job> unreadyJobs = new ArrayList<>();
        for (Job job : activeJobs) {
            if (!job.isReady()) {
                unreadyJobs.add(job);
            }
        }
        // Awaited jobs were accepted before the jobs that await them. From newest to oldest, each job has inherited
        // everything before it passes it on.
        unreadyJobs.sort(Comparator.comparingLong(Job::firstSeenRevision).reversed());
        for (Job job : unreadyJobs) {
            TaskGroup group = new TaskGroup(job.spec(), null, job.firstSeenRevision(), 0, 0);
            forecast.fillExpectations(group, job, now, timeOfDay);
            inheritance.tighten(group, job.id());
            Inherited passedOn = new Inherited(
                    inheritance.effectivePriority(job.spec()),
                    latestStart(group.deadlineMs, group.expectedLongestRunS),
                    latestStart(group.finalDeadlineMs, group.expectedLongestRunS));
            for (String awaitedId : job.awaited()) {
                inheritance.inheritedByJob.merge(awaitedId, passedOn, Inherited::combinedWith);
            }
        }
        return inheritance;
    }

    private static long latestStart(long due, double longestRunS) {
        return due == Long.MAX_VALUE ? due : due - Math.round(longestRunS * 1000);
    }

    private Priority effectivePriority(JobSpec spec) {
        Inherited inherited = inheritedByJob.get(spec.id());
        return inherited == null || inherited.priority.compareTo(spec.priority()) <= 0
                ? spec.priority()
                : inherited.priority;
    }

    /** Returns the job's specification with the higher of its own and its inherited priority. */
    JobSpec withEffectivePriority(JobSpec spec) {
        Priority priority = effectivePriority(spec);
        return priority == spec.priority() ? spec : spec.withPriority(priority);
    }

    /** Tightens the group's due times to the inherited ones, if there are any. */
    void tighten(TaskGroup group, String jobId) {
        Inherited inherited = inheritedByJob.get(jobId);
        if (inherited == null || inherited.due == Long.MAX_VALUE) {
            return;
        }
        group.deadlineMs = Math.min(group.deadlineMs, inherited.due);
        group.finalDeadlineMs = Math.min(group.finalDeadlineMs, inherited.lastDue);
        group.latestStartMs = latestStart(group.deadlineMs, group.expectedLongestRunS);
        group.withoutDeadline = false;
        group.mayWaitForBoots = false;
    }
}
