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
 * Forecasts run times and due times of jobs from the platform's objectives, the jobs' own deadlines and estimates, and the run
 * times of completed tasks.
 */
final class RuntimeForecast {
    /** Weight of the newest job in moving averages over jobs. */
    private static final double NEWEST = 0.1;
    /** Weight of the newest task in a class's moving average of actual to estimated run time. */
    private static final double NEWEST_RATIO = 0.05;
    /**
     * Slack, in boot times, below which a job's deadline counts as tight. More than one, since boot times vary and images must
     * be fetched.
     */
    private static final double PATIENCE = 2.5;
    /**
     * Multiple of its allowed time after which a waiting job no longer yields to jobs that can still be in time, even if its own
     * deadline is missed.
     */
    private static final double STARVED = 6;
    /** Least remaining run time assumed for a running task, as a share of the time that it has run. */
    private static final double OVERRUN = 0.25;
    /**
     * Weight of the owner's estimate, in completed tasks. The first tasks to complete are the shorter ones, so their mean alone
     * would be too low.
     */
    private static final double ESTIMATE_WEIGHT = 4;
    /**
     * Safety factor on expected run times. Estimates are inexact, and without a margin jobs that are scheduled by their latest
     * start would all finish slightly late.
     */
    private static final double RUN_MARGIN = 1.25;
    /** Assumed time from a task's placement to its run, including the start command and the image fetch, in seconds. */
    private static final double START_S = 4;
    /** Boot time assumed until the machine types are known, in seconds. */
    private static final double DEFAULT_BOOT_S = 60;

    /** Run times of the completed tasks of one job. */
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
    private final Map<String, CompletedTasks> completed = new HashMap<>();
    /** The platform's shortest start objective by job class, in seconds. */
    private final Map<String, Double> startWithin = new HashMap<>();
    /** The platform's shortest finish objective by job class, in seconds. */
    private final Map<String, Double> finishWithin = new HashMap<>();
    /** The platform's longest finish objective by job class, in seconds. */
    private final Map<String, Double> finishAtLast = new HashMap<>();
    /** Multiple of a job's own deadline up to which a late finish still counts in the platform's objectives. */
    private double lastDeadlineTimes = 1;
    /** Moving average of actual to estimated run time of tasks, by job class. */
    private final Map<String, Double> ratio = new HashMap<>();
    /** Moving average of the longest to the mean run time of a job's tasks, by job class. */
    private final Map<String, Double> longest = new HashMap<>();
    /** Moving average of the share of jobs with a tight deadline; negative until the first job with a deadline is seen. */
    private double hurried = -1;
    /** Moving average of the share of jobs with a tight deadline, by job class. */
    private final Map<String, Double> hurriedClass = new HashMap<>();

    private double bootS = DEFAULT_BOOT_S;
    /** Index of the newest job that the shares of jobs with a tight deadline include. */
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
     * Learns from a completed task. Owners' estimates are inexact, mostly in the same direction within a job class; the run
     * times of completed tasks of the same job predict better than any estimate.
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

    /** Learns from an ended job how much longer than the mean its longest task ran, and drops the job's run times. */
    void ended(String job) {
        CompletedTasks tasks = completed.remove(job);
        if (tasks != null && tasks.tasks > 1) {
            longest.merge(
                    tasks.jobClass,
                    tasks.longestS * tasks.tasks / tasks.sumS,
                    (old, newest) -> old * (1 - NEWEST) + newest * NEWEST);
        }
    }

    /** Returns the expected run time of a task of the job, in seconds; 0 for a service and for a job without an estimate. */
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

    /**
     * Returns the expected remaining run time of a task, in seconds: at least a fixed share of the time that it has run, since
     * it may run longer than expected.
     */
    double leftS(JobSpec spec, double ranS) {
        return Math.max(runS(spec) - ranS, OVERRUN * ranS);
    }

    /** Sets the group's expected times, and learns from a job that is seen for the first time whether deadlines are tight. */
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

    /**
     * Returns the time within which the job should finish, in seconds, counted from its submission or from when it became ready;
     * null if there is no deadline and no objective.
     */
    private Double within(JobSpec spec) {
        return spec.deadlineS() != null ? spec.deadlineS() : finishWithin.get(spec.jobClass());
    }

    /** Sets the group's expected times without learning from the job. */
    void expect(TaskGroup group, Job job, long now, long timeOfDay) {
        JobSpec spec = job.spec();
        group.startWithinS = startWithin.getOrDefault(spec.jobClass(), 0.0);
        group.runS = runS(spec);
        group.longestRunS =
                START_S + RUN_MARGIN * group.runS * (spec.tasks() > 1 ? longest.getOrDefault(spec.jobClass(), 1.0) : 1);
        Double within = within(spec);
        long submitted = now + job.submittedAt() - timeOfDay;
        if (job.readySince() > 0 && spec.deadlineS() == null) {
            // Only a job's own deadline counts from its submission. Objectives count from when the job became ready.
            submitted = job.readySince();
        }
        group.startBy = submitted;
        if (within == null && group.startWithinS > 0 && !spec.service()) {
            // An objective sets the start of such jobs, so they get a due time and need not wait for cheap machines.
            group.startBy = submitted + Math.round(group.startWithinS * 1000);
            group.due = group.startBy + Math.round(group.longestRunS * 1000);
            group.lastDue = now - submitted < STARVED * group.startWithinS * 1000 ? group.due : Long.MAX_VALUE;
            return;
        }
        if (within == null) {
            // Without a deadline the job doesn't justify expensive machines, unless there are no cheap ones for long.
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
     * Returns how long an idle machine is kept, in milliseconds, and updates the assumed boot time from the machine types. Idle
     * machines are returned early if most jobs can wait for a machine to boot. If most deadlines are tight, machines are kept
     * longer, since the capacity for the next burst must be up already.
     */
    long idleMs(Collection<MachineType> types) {
        bootS = types.stream().mapToDouble(MachineType::bootS).max().orElse(60);
        return Math.round(1000 * (hurried > 0.5 ? policy.tightIdleS() : policy.idleS()));
    }
}
