package org.landingridge.controller.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.scheduling.TaskGroup;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * Forecasts of the run and start times of jobs, from the platform's objectives, the jobs' own deadlines and what completed
 * tasks showed.
 */
final class RuntimeForecast {
    /** Weight of the newest job in a running share. */
    private static final double NEWEST = 0.1;
    /** Weight of the newest task in the running ratio of a class. */
    private static final double NEWEST_RATIO = 0.05;
    /** A job with fewer boot times than that to spare is taken to be hurried: boots vary, and images are fetched. */
    private static final double PATIENCE = 2.5;
    /** A job that has waited for so many times its allowance is first come again, whatever it has missed. */
    private static final double STARVED = 6;
    /** Of what a task has run beyond expectation it is taken to run so much again. */
    private static final double OVERRUN = 0.25;
    /** The estimate counts as much as so many tasks that completed; the first to complete are the shorter ones. */
    private static final double ESTIMATE_WEIGHT = 4;
    /** Estimates err: served in the order of their latest start, jobs without a margin are all late by a little. */
    private static final double RUN_MARGIN = 1.25;
    /** From a task's placing to its run, image and command included, in seconds. */
    private static final double START_S = 4;
    /** Boot time, in seconds, until the machine types are known. */
    private static final double DEFAULT_BOOT_S = 60;

    /** Completed tasks of one job. */
    private static final class CompletedTasks {
        private final String jobClass;
        private int tasks;
        private double sumS;
        private double longestS;

        CompletedTasks(String jobClass) {
            this.jobClass = jobClass;
        }

        void add(double tookS) {
            tasks++;
            sumS += tookS;
            longestS = Math.max(longestS, tookS);
        }
    }

    private final Policy policy;
    /** By job. */
    private final Map<String, CompletedTasks> completed = new HashMap<>();
    /** The platform's objectives by class, in seconds. */
    private final Map<String, Double> startWithin = new HashMap<>();

    private final Map<String, Double> finishWithin = new HashMap<>();
    private final Map<String, Double> finishAtLast = new HashMap<>();
    /** Times the deadline that the platform still asks about. */
    private double lastDeadlineTimes = 1;
    /** How many times its estimate a task runs, by class. */
    private final Map<String, Double> ratio = new HashMap<>();
    /** How many times the mean the longest task of a job runs, by class. */
    private final Map<String, Double> longest = new HashMap<>();
    /** Running share of the jobs that cannot wait for a boot and still be in time; negative while nothing is known. */
    private double hurried = -1;
    /** The same by class. */
    private final Map<String, Double> hurriedClass = new HashMap<>();

    private double bootS = DEFAULT_BOOT_S;
    /** Index of the newest job from which hurry was learned. */
    private int newestIndex = -1;

    RuntimeForecast(List<Settings.Objective> objectives, Policy policy) {
        this.policy = policy;
        for (Settings.Objective objective : objectives) {
            if (objective.jobClass() != null && objective.kind().equals("wait")) {
                startWithin.merge(objective.jobClass(), objective.withinS(), Math::min);
            } else if (objective.jobClass() != null && objective.kind().equals("finished")) {
                finishWithin.merge(objective.jobClass(), objective.withinS(), Math::min);
                finishAtLast.merge(objective.jobClass(), objective.withinS(), Math::max);
            } else if (objective.kind().equals("deadline")) {
                lastDeadlineTimes = Math.max(lastDeadlineTimes, objective.times());
            }
        }
    }

    /**
     * Learns from a task that completed. Owners' estimates err, by class mostly in one direction; the tasks of one job
     * are more alike than any estimate.
     */
    void completed(JobSpec spec, double tookS) {
        if (tookS > 0) {
            completed
                    .computeIfAbsent(spec.id(), id -> new CompletedTasks(spec.jobClass()))
                    .add(tookS);
        }
        if (spec.estimateS() > 0 && tookS > 0) {
            double times = Math.max(0.1, Math.min(10, tookS / spec.estimateS()));
            ratio.merge(spec.jobClass(), times, (old, newest) -> old * (1 - NEWEST_RATIO) + newest * NEWEST_RATIO);
        }
    }

    /** Learns from a job that is over how much longer the longest of its tasks ran. */
    void ended(String job) {
        CompletedTasks tasks = completed.remove(job);
        if (tasks != null && tasks.tasks > 1) {
            longest.merge(
                    tasks.jobClass,
                    tasks.longestS * tasks.tasks / tasks.sumS,
                    (old, newest) -> old * (1 - NEWEST) + newest * NEWEST);
        }
    }

    /** How long a task of the job is expected to run, in seconds; 0 for a service, and where nothing is known. */
    double runS(JobSpec spec) {
        if (spec.service()) {
            return 0;
        }
        double estimateS = spec.estimateS() * ratio.getOrDefault(spec.jobClass(), 1.0);
        CompletedTasks tasks = completed.get(spec.id());
        return tasks == null || estimateS <= 0
                ? estimateS
                : (estimateS * ESTIMATE_WEIGHT + tasks.sumS) / (ESTIMATE_WEIGHT + tasks.tasks);
    }

    /** How much longer a task is expected to run: one that has outrun its estimate, a part of what it ran already. */
    double leftS(JobSpec spec, double ranS) {
        return Math.max(runS(spec) - ranS, OVERRUN * ranS);
    }

    /** Notes what is expected of a group; the first sight of a job also tells how hurried jobs are. */
    void fill(TaskGroup group, Job job, long now, long timeOfDay) {
        expect(group, job, now, timeOfDay);
        Double within = within(job.spec());
        if (within == null) {
            return;
        }
        double hurry = within - group.runS < PATIENCE * bootS ? 1 : 0;
        if (job.index() > newestIndex) {
            newestIndex = job.index();
            hurried = hurried < 0 ? hurry : hurried * (1 - NEWEST) + hurry * NEWEST;
            hurriedClass.merge(job.spec().jobClass(), hurry, (old, newest) -> old * (1 - NEWEST) + newest * NEWEST);
        }
        group.mayWaitForBoots = hurriedClass.getOrDefault(job.spec().jobClass(), hurry) <= 0.5;
    }

    /** Seconds within which the job should be over, from its submission or from when it could start; null: nobody said. */
    private Double within(JobSpec spec) {
        return spec.deadlineS() != null ? spec.deadlineS() : finishWithin.get(spec.jobClass());
    }

    /** Notes what is expected of a group, and learns nothing. */
    void expect(TaskGroup group, Job job, long now, long timeOfDay) {
        JobSpec spec = job.spec();
        group.startWithinS = startWithin.getOrDefault(spec.jobClass(), 0.0);
        group.runS = runS(spec);
        group.longestRunS =
                START_S + RUN_MARGIN * group.runS * (spec.tasks() > 1 ? longest.getOrDefault(spec.jobClass(), 1.0) : 1);
        Double within = within(spec);
        long submitted = now + job.submittedAt() - timeOfDay;
        if (job.readySince() > 0 && spec.deadlineS() == null) {
            // Only the deadline counts from the submission: all else from when the job could start.
            submitted = job.readySince();
        }
        group.startBy = submitted;
        if (within == null && group.startWithinS > 0 && !spec.service()) {
            // Its start is expected: what it takes for that is not left to whatever cheap machines there are.
            group.startBy = submitted + Math.round(group.startWithinS * 1000);
            group.due = group.startBy + Math.round(group.longestRunS * 1000);
            group.lastDue = now - submitted < STARVED * group.startWithinS * 1000 ? group.due : Long.MAX_VALUE;
            return;
        }
        if (within == null) {
            // Nobody has said by when: dear machines are not for it, unless the cheap ones do not come for long.
            group.withoutDeadline = !spec.service();
            group.mayWaitForBoots = group.withoutDeadline;
            return;
        }
        group.due = submitted + Math.round(within * 1000);
        group.startBy = group.due - Math.round(group.longestRunS * 1000);
        if (now - submitted < STARVED * within * 1000) {
            double times = spec.deadlineS() != null ? lastDeadlineTimes : finishAtLast.get(spec.jobClass()) / within;
            group.lastDue = submitted + Math.round(within * times * 1000);
        }
    }

    /**
     * How long an idle machine is kept. Where work may wait for a boot and still be in time, machines go back soon;
     * where it may not, the room for the next burst has to be there already.
     */
    long idleMs(Collection<MachineType> types) {
        bootS = types.stream().mapToDouble(MachineType::bootS).max().orElse(60);
        return Math.round(1000 * (hurried > 0.5 ? policy.tightIdleS() : policy.idleS()));
    }
}
