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
    private final ConfiguredTeams teams;

    TaskGroupBuilder(LeaderContext context, Fleet fleet, RuntimeForecast forecast, ConfiguredTeams teams) {
        this.context = context;
        this.fleet = fleet;
        this.forecast = forecast;
        this.teams = teams;
    }

    /** Returns a group for each job that is ready and belongs to a configured team, by job id. */
    Map<String, TaskGroup> build(long now) {
        long timeOfDay = context.loop().timeOfDay();
        PriorityInheritance inheritance = PriorityInheritance.of(context.table().active(), forecast, now, timeOfDay);
        Map<String, TaskGroup> groups = new LinkedHashMap<>();
        for (ActiveJob job : fleet.jobs()) {
            int team = teams.index(job.spec().team(), -1);
            // A job that awaits others is left out of limits, guarantees, the order of jobs and forecasts.
            if (team >= 0 && job.job().ready()) {
                groups.put(job.id(), group(job, team, inheritance, now, timeOfDay));
            }
        }
        return groups;
    }

    private TaskGroup group(ActiveJob job, int team, PriorityInheritance inheritance, long now, long timeOfDay) {
        int placeable = fleet.placeable(job);
        boolean broken = job.health() == ActiveJob.Health.BROKEN;
        int waiting = broken ? Math.min(placeable, probes(job)) : placeable;
        TaskGroup group = new TaskGroup(
                inheritance.spec(job.spec()), job, job.job().created(), team, job.notBefore() <= now ? waiting : 0);
        group.probing = broken;
        group.blocked = job.count(Task.State.PENDING) - placeable;
        forecast.fill(group, job.job(), now, timeOfDay);
        inheritance.apply(group, job.id());
        return group;
    }

    /** Returns how many tasks of a broken job may start: one at a time. */
    private static int probes(ActiveJob job) {
        return job.count(Task.State.ON_MACHINE) == 0 ? 1 : 0;
    }
}
