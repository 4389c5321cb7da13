package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Enforces a quota that was lowered below a team's current use. Tasks are stopped in steps: lowest priority first, and the
 * most recently started first within a priority. Each step stops a quarter of the remaining excess, so that a mistaken
 * quota that is soon corrected does not stop all of a team's work.
 */
public final class ExcessWork {
    /** Interval between two steps, in milliseconds. */
    public static final long STEP_MS = 1_000;
    /** Share of the excess that one step stops. */
    private static final double SHARE = 0.25;
    /** Minimum number of CPUs per step, so that the excess reaches zero. */
    private static final double LEAST_CPUS = 16;
    /** Minimum number of GPUs per step. */
    private static final double LEAST_GPUS = 1;

    private static final double ROUNDING = 1e-6;

    private static final Comparator<CandidateNode.Running> FIRST_TO_STOP = Comparator.comparing(
                    (CandidateNode.Running running) -> running.spec.priority())
            .thenComparing(Comparator.comparingLong((CandidateNode.Running running) -> running.startedAt)
                    .reversed());

    private ExcessWork() {}

    /** Returns the tasks to stop in one step; empty if every team is within its limit. */
    public static List<CandidateNode.Running> step(List<CandidateNode> nodes, List<Team> teams) {
        List<CandidateNode.Running> stops = new ArrayList<>();
        for (int index = 0; index < teams.size(); index++) {
            Team team = teams.get(index);
            List<CandidateNode.Running> running = running(nodes, index);
            double cpus = team.cpusMax > 0
                    ? running.stream().mapToDouble(task -> task.spec.cpus()).sum() - team.cpusMax
                    : 0;
            double gpus = team.gpusMax > 0
                    ? running.stream().mapToDouble(task -> task.spec.gpus()).sum() - team.gpusMax
                    : 0;
            if (cpus > ROUNDING || gpus > ROUNDING) {
                running.sort(FIRST_TO_STOP);
                stop(running, share(cpus, LEAST_CPUS), share(gpus, LEAST_GPUS), stops);
            }
        }
        return stops;
    }

    private static double share(double excess, double least) {
        return Math.max(excess * SHARE, Math.min(excess, least));
    }

    private static List<CandidateNode.Running> running(List<CandidateNode> nodes, int team) {
        List<CandidateNode.Running> found = new ArrayList<>();
        for (CandidateNode node : nodes) {
            for (CandidateNode.Running running : node.running) {
                if (running.team == team && running.spec != null && !running.stopping) {
                    found.add(running);
                }
            }
        }
        return found;
    }

    private static void stop(
            List<CandidateNode.Running> candidates, double cpus, double gpus, List<CandidateNode.Running> stops) {
        double freedCpus = 0;
        double freedGpus = 0;
        for (CandidateNode.Running running : candidates) {
            boolean moreCpus = freedCpus < cpus - ROUNDING;
            boolean moreGpus = freedGpus < gpus - ROUNDING;
            if (!moreCpus && !moreGpus) {
                return;
            }
            if ((moreCpus && running.spec.cpus() > 0) || (moreGpus && running.spec.gpus() > 0)) {
                stops.add(running);
                freedCpus += running.spec.cpus();
                freedGpus += running.spec.gpus();
            }
        }
    }
}
