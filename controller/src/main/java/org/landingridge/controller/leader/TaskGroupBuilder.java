package org.landingridge.controller.leader;

import java.util.LinkedHashMap;
import java.util.Map;
import org.landingridge.controller.fleet.ActiveJob;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.scheduling.TaskGroup;

/** Builds the scheduler's task groups from the waiting tasks of each job, with its forecast and its inherited priority. */
final class TaskGroupBuilder {
    private final LeaderContext context;
    private final Fleet fleet;
    private final RuntimeForecast forecast;
    private final ConfiguredTeams configuredTeams;

    TaskGroupBuilder(LeaderContext context, Fleet fleet, RuntimeForecast forecast, ConfiguredTeams configuredTeams) {
        this.context = context;
        this.fleet = fleet;
        this.forecast = forecast;
        this.configuredTeams = configuredTeams;
    }

    /** Returns a group for each job that is ready and belongs to a configured team, by job id. */
    Map<String, TaskGroup> build(long now) {
        long timeOfDay = context.loop().timeOfDay();
        PriorityInheritance inheritance =
                PriorityInheritance.of(context.jobTable().activeJobs(), forecast, now, timeOfDay);
        Map<String, TaskGroup> groupsByJob = new LinkedHashMap<>();
        for (ActiveJob job : fleet.jobs()) {
            int teamIndex = configuredTeams.indexOf(job.spec().team(), -1);
            // A job that awaits others is left out of limits, guarantees, the order of jobs and forecasts.
            if (teamIndex >= 0 && job.job().isReady()) {
                groupsByJob.put(job.id(), buildGroup(job, teamIndex, inheritance, now, timeOfDay));
            }
        }
        return groupsByJob;
    }

    private TaskGroup buildGroup(
            ActiveJob job, int teamIndex, PriorityInheritance inheritance, long now, long timeOfDay) {
        int placeable = fleet.placeableTasks(job);
        boolean isBroken = job.health() == ActiveJob.Health.BROKEN;
        int startable = isBroken ? Math.min(placeable, allowedProbes(job)) : placeable;
        TaskGroup group = new TaskGroup(
                inheritance.withEffectivePriority(job.spec()),
                job,
                job.job().firstSeenRevision(),
                teamIndex,
                job.pausedUntil() <= now ? startable : 0);
        group.probing = isBroken;
        group.blockedTasks = job.count(Task.State.PENDING) - placeable;
        forecast.fillAndLearn(group, job.job(), now, timeOfDay);
        inheritance.tighten(group, job.id());
        return group;
    }

    /** Returns how many tasks of a broken job may start: one at a time. */
    private static int allowedProbes(ActiveJob job) {
        return job.count(Task.State.ON_MACHINE) == 0 ? 1 : 0;
    }
}
