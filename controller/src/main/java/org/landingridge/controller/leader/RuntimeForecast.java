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
    private static final double NEWEST_JOB_WEIGHT = 0.1;
    /** Weight of the newest task in a class's moving average of actual to estimated run time. */
    private static final double NEWEST_TASK_WEIGHT = 0.05;
    /**
     * Slack, in boot times, below which a job's deadline counts as tight. More than one, since boot times vary and images must
     * be fetched.
     */
    private static final double TIGHT_SLACK_BOOT_TIMES = 2.5;
    /**
     * Multiple of its allowed time after which a waiting job no longer yields to jobs that can still be in time, even if its own
     * deadline is missed.
     */
    private static final double STARVATION_FACTOR = 6;
    /** Least remaining run time assumed for a running task, as a share of the time that it has run. */
    private static final double MIN_REMAINING_SHARE = 0.25;
    /**
     * Weight of the owner's estimate, in completed tasks. The first tasks to complete are the shorter ones, so their mean alone
     * would be too low.
     */
    private static final double ESTIMATE_WEIGHT_TASKS = 4;
    /**
     * Safety factor on expected run times. Estimates are inexact, and without a margin jobs that are scheduled by their latest
     * start would all finish slightly late.
     */
    private static final double RUN_TIME_MARGIN_FACTOR = 1.25;
    /** Assumed time from a task's placement to its run, including the start command and the image fetch, in seconds. */
    private static final double START_OVERHEAD_S = 4;
    /** Boot time assumed until the machine types are known, in seconds. */
    private static final double DEFAULT_BOOT_S = 60;

    /** Run times of the completed tasks of one job. */
    private static final class CompletedTasks {
        private final String jobClass;
        private int count;
        private double sumS;
        private double longestS;

        CompletedTasks(String jobClass) {
            this.jobClass = jobClass;
        }

        void add(double durationS) {
            count++;
            sumS += durationS;
            longestS = Math.max(longestS, durationS);
        }
    }

    private final Policy policy;
    private final Map<String, CompletedTasks> completedByJob = new HashMap<>();
    /** The platform's shortest start objective by job class, in seconds. */
    private final Map<String, Double> startWithinSByClass = new HashMap<>();
    /** The platform's shortest finish objective by job class, in seconds. */
    private final Map<String, Double> finishWithinSByClass = new HashMap<>();
    /** The platform's longest finish objective by job class, in seconds. */
    private final Map<String, Double> latestFinishSByClass = new HashMap<>();
    /** Multiple of a job's own deadline up to which a late finish still counts in the platform's objectives. */
    private double latestDeadlineFactor = 1;
    /** Moving average of actual to estimated run time of tasks, by job class. */
    private final Map<String, Double> runTimeRatioByClass = new HashMap<>();
    /** Moving average of the longest to the mean run time of a job's tasks, by job class. */
    private final Map<String, Double> longestToMeanByClass = new HashMap<>();
    /** Moving average of the share of jobs with a tight deadline; negative until the first job with a deadline is seen. */
    private double tightShare = -1;
    /** Moving average of the share of jobs with a tight deadline, by job class. */
    private final Map<String, Double> tightShareByClass = new HashMap<>();

    private double bootS = DEFAULT_BOOT_S;
    /** Index of the newest job that the shares of jobs with a tight deadline include. */
    private int newestLearnedIndex = -1;

    RuntimeForecast(List<Settings.Objective> objectives, Policy policy) {
        this.policy = policy;
        for (Settings.Objective objective : objectives) {
            if (objective.jobClass() != null && objective.kind().equals("wait")) {
                startWithinSByClass.merge(objective.jobClass(), objective.withinS(), Math::min);
            } else if (objective.jobClass() != null && objective.kind().equals("finished")) {
                finishWithinSByClass.merge(objective.jobClass(), objective.withinS(), Math::min);
                latestFinishSByClass.merge(objective.jobClass(), objective.withinS(), Math::max);
            } else if (objective.kind().equals("deadline")) {
                latestDeadlineFactor = Math.max(latestDeadlineFactor, objective.times());
            }
        }
    }

    /**
     * Learns from a completed task. Owners' estimates are inexact, mostly in the same direction within a job class; the run
     * times of completed tasks of the same job predict better than any estimate.
     */
    void recordCompletedTask(JobSpec spec, double durationS) {
        if (durationS > 0) {
            completedByJob
                    .computeIfAbsent(spec.id(), id -> new CompletedTasks(spec.jobClass()))
                    .add(durationS);
        }
        if (spec.estimateS() > 0 && durationS > 0) {
            double actualToEstimated = Math.max(0.1, Math.min(10, durationS / spec.estimateS()));
            runTimeRatioByClass.merge(
                    spec.jobClass(),
                    actualToEstimated,
                    (average, newest) -> average * (1 - NEWEST_TASK_WEIGHT) + newest * NEWEST_TASK_WEIGHT);
        }
    }

    /** Learns from an ended job how much longer than the mean its longest task ran, and drops the job's run times. */
    void recordJobEnded(String jobId) {
        CompletedTasks completedTasks = completedByJob.remove(jobId);
        if (completedTasks != null && completedTasks.count > 1) {
            longestToMeanByClass.merge(
                    completedTasks.jobClass,
                    completedTasks.longestS * completedTasks.count / completedTasks.sumS,
                    (average, newest) -> average * (1 - NEWEST_JOB_WEIGHT) + newest * NEWEST_JOB_WEIGHT);
        }
    }

    /** Returns the expected run time of a task of the job, in seconds; 0 for a service and for a job without an estimate. */
    double expectedRunS(JobSpec spec) {
        if (spec.service()) {
            return 0;
        }
        double correctedEstimateS = spec.estimateS() * runTimeRatioByClass.getOrDefault(spec.jobClass(), 1.0);
        CompletedTasks completedTasks = completedByJob.get(spec.id());
        return completedTasks == null || correctedEstimateS <= 0
                ? correctedEstimateS
                : (correctedEstimateS * ESTIMATE_WEIGHT_TASKS + completedTasks.sumS)
                        / (ESTIMATE_WEIGHT_TASKS + completedTasks.count);
    }

    /**
     * Returns the expected remaining run time of a task, in seconds: at least a fixed share of the time that it has run, since
     * it may run longer than expected.
     */
    double remainingRunS(JobSpec spec, double elapsedS) {
        return Math.max(expectedRunS(spec) - elapsedS, MIN_REMAINING_SHARE * elapsedS);
    }

    /** Sets the group's expected times, and learns from a job that is seen for the first time whether deadlines are tight. */
    void fillAndLearn(TaskGroup group, Job job, long now, long timeOfDay) {
        fillExpectations(group, job, now, timeOfDay);
        Double allowedS = allowedTimeS(job.spec());
        if (allowedS == null) {
            return;
        }
        double tightSample = allowedS - group.expectedRunS < TIGHT_SLACK_BOOT_TIMES * bootS ? 1 : 0;
        if (job.index() > newestLearnedIndex) {
            newestLearnedIndex = job.index();
            tightShare = tightShare < 0
                    ? tightSample
                    : tightShare * (1 - NEWEST_JOB_WEIGHT) + tightSample * NEWEST_JOB_WEIGHT;
            tightShareByClass.merge(
                    job.spec().jobClass(),
                    tightSample,
                    (average, newest) -> average * (1 - NEWEST_JOB_WEIGHT) + newest * NEWEST_JOB_WEIGHT);
        }
        group.mayWaitForBoots = tightShareByClass.getOrDefault(job.spec().jobClass(), tightSample) <= 0.5;
    }

    /**
     * Returns the time within which the job should finish, in seconds, counted from its submission or from when it became ready;
     * null if there is no deadline and no objective.
     */
    private Double allowedTimeS(JobSpec spec) {
        return spec.deadlineS() != null ? spec.deadlineS() : finishWithinSByClass.get(spec.jobClass());
    }

    /** Sets the group's expected times without learning from the job. */
    void fillExpectations(TaskGroup group, Job job, long now, long timeOfDay) {
        JobSpec spec = job.spec();
        group.startTargetS = startWithinSByClass.getOrDefault(spec.jobClass(), 0.0);
        group.expectedRunS = expectedRunS(spec);
        group.expectedLongestRunS = START_OVERHEAD_S
                + RUN_TIME_MARGIN_FACTOR
                        * group.expectedRunS
                        * (spec.tasks() > 1 ? longestToMeanByClass.getOrDefault(spec.jobClass(), 1.0) : 1);
        Double allowedS = allowedTimeS(spec);
        long countedFrom = now + job.submittedAt() - timeOfDay;
        if (job.readySince() > 0 && spec.deadlineS() == null) {
            // Only a job's own deadline counts from its submission. Objectives count from when the job became ready.
            countedFrom = job.readySince();
        }
        group.latestStartMs = countedFrom;
        if (allowedS == null && group.startTargetS > 0 && !spec.service()) {
            // An objective sets the start of such jobs, so they get a due time and need not wait for cheap machines.
            group.latestStartMs = countedFrom + Math.round(group.startTargetS * 1000);
            group.deadlineMs = group.latestStartMs + Math.round(group.expectedLongestRunS * 1000);
            group.finalDeadlineMs = now - countedFrom < STARVATION_FACTOR * group.startTargetS * 1000
                    ? group.deadlineMs
                    : Long.MAX_VALUE;
            return;
        }
        if (allowedS == null) {
            // Without a deadline the job doesn't justify expensive machines, unless there are no cheap ones for long.
            group.withoutDeadline = !spec.service();
            group.mayWaitForBoots = group.withoutDeadline;
            return;
        }
        group.deadlineMs = countedFrom + Math.round(allowedS * 1000);
        group.latestStartMs = group.deadlineMs - Math.round(group.expectedLongestRunS * 1000);
        if (now - countedFrom < STARVATION_FACTOR * allowedS * 1000) {
            double latestFinishFactor = spec.deadlineS() != null
                    ? latestDeadlineFactor
                    : latestFinishSByClass.get(spec.jobClass()) / allowedS;
            group.finalDeadlineMs = countedFrom + Math.round(allowedS * latestFinishFactor * 1000);
        }
    }

    /**
     * Returns how long an idle machine is kept, in milliseconds, and updates the assumed boot time from the machine types. Idle
     * machines are returned early if most jobs can wait for a machine to boot. If most deadlines are tight, machines are kept
     * longer, since the capacity for the next burst must be up already.
     */
    long idleTimeoutMs(Collection<MachineType> types) {
        bootS = types.stream().mapToDouble(MachineType::bootS).max().orElse(60);
        return Math.round(1000 * (tightShare > 0.5 ? policy.tightIdleS() : policy.idleS()));
    }
}
