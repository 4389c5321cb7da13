package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Enforces a quota that was lowered below a team's current use. Tasks are stopped in steps: lowest priority first, and the
 * most recently started first within a priority. Each step stops a quarter of the remaining excess, so that a mistaken
 * quota that is soon corrected does not stop all of a team's work.
 */
public final class QuotaEnforcement {
    /** Interval between two steps, in milliseconds. */
    public static final long STEP_INTERVAL_MS = 1_000;
    /** Share of the excess that one step stops. */
    private static final double STEP_SHARE = 0.25;
    /** Minimum number of CPUs per step, so that the excess reaches zero. */
    private static final double MIN_STEP_CPUS = 16;
    /** Minimum number of GPUs per step. */
    private static final double MIN_STEP_GPUS = 1;

    private static final double ROUNDING_TOLERANCE = 1e-6;

    private static final Comparator<CandidateNode.RunningTask> STOP_ORDER = Comparator.comparing(
                    (CandidateNode.RunningTask task) -> task.spec.priority())
            .thenComparing(Comparator.comparingLong((CandidateNode.RunningTask task) -> task.startedAtMs)
                    .reversed());

    private QuotaEnforcement() {}

    /** Returns the tasks to stop in one step; empty if every team is within its limit. */
    public static List<CandidateNode.RunningTask> tasksToStop(List<CandidateNode> nodes, List<TeamQuota> teams) {
        List<CandidateNode.RunningTask> tasksToStop = new ArrayList<>();
        for (int teamIndex = 0; teamIndex < teams.size(); teamIndex++) {
            TeamQuota team = teams.get(teamIndex);
            List<CandidateNode.RunningTask> teamTasks = runningTasks(nodes, teamIndex);
            double excessCpus = team.cpuLimit > 0
                    ? teamTasks.stream().mapToDouble(task -> task.spec.cpus()).sum() - team.cpuLimit
                    : 0;
            double excessGpus = team.gpuLimit > 0
                    ? teamTasks.stream().mapToDouble(task -> task.spec.gpus()).sum() - team.gpuLimit
                    : 0;
            if (excessCpus > ROUNDING_TOLERANCE || excessGpus > ROUNDING_TOLERANCE) {
                teamTasks.sort(STOP_ORDER);
                selectTasks(
                        teamTasks,
                        stepAmount(excessCpus, MIN_STEP_CPUS),
                        stepAmount(excessGpus, MIN_STEP_GPUS),
                        tasksToStop);
            }
        }
        return tasksToStop;
    }

    private static double stepAmount(double excess, double minimum) {
        return Math.max(excess * STEP_SHARE, Math.min(excess, minimum));
    }

    private static List<CandidateNode.RunningTask> runningTasks(List<CandidateNode> nodes, int teamIndex) {
        List<CandidateNode.RunningTask> tasks = new ArrayList<>();
        for (CandidateNode node : nodes) {
            for (CandidateNode.RunningTask task : node.runningTasks) {
                if (task.teamIndex == teamIndex && task.spec != null && !task.stopping) {
                    tasks.add(task);
                }
            }
        }
        return tasks;
    }

    private static void selectTasks(
            List<CandidateNode.RunningTask> candidates,
            double cpusToFree,
            double gpusToFree,
            List<CandidateNode.RunningTask> tasksToStop) {
        double freedCpus = 0;
        double freedGpus = 0;
        for (CandidateNode.RunningTask task : candidates) {
            boolean needsCpus = freedCpus < cpusToFree - ROUNDING_TOLERANCE;
            boolean needsGpus = freedGpus < gpusToFree - ROUNDING_TOLERANCE;
            if (!needsCpus && !needsGpus) {
                return;
            }
            if ((needsCpus && task.spec.cpus() > 0) || (needsGpus && task.spec.gpus() > 0)) {
                tasksToStop.add(task);
                freedCpus += task.spec.cpus();
                freedGpus += task.spec.gpus();
            }
        }
    }
}
