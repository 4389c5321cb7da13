package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Work beyond a limit that was lowered while it ran. It is given up in steps, least priority first, and what began last first
 * among equals; a step takes a quarter of what is left, so that no team loses all at once to a mistake that is soon put right.
 */
public final class ExcessWork {
    /** Between two steps. */
    public static final long STEP_MS = 1_000;
    /** A step takes this share of the excess. */
    private static final double SHARE = 0.25;
    /** A step takes so many processors at least, so that the last of the excess goes too. */
    private static final double LEAST_CPUS = 16;

    private static final Comparator<CandidateNode.Running> FIRST_TO_GO = Comparator.comparing(
                    (CandidateNode.Running r) -> r.spec.priority())
            .thenComparing(Comparator.comparingLong((CandidateNode.Running r) -> r.startedAt)
                    .reversed());

    private ExcessWork() {}

    /** What to stop in one step. */
    public static List<CandidateNode.Running> step(List<CandidateNode> nodes, List<Team> teams) {
        List<CandidateNode.Running> stops = new ArrayList<>();
        for (int t = 0; t < teams.size(); t++) {
            Team team = teams.get(t);
            List<CandidateNode.Running> running = running(nodes, t);
            double cpus = team.cpusMax > 0
                    ? running.stream().mapToDouble(r -> r.spec.cpus()).sum() - team.cpusMax
                    : 0;
            double gpus = team.gpusMax > 0
                    ? running.stream().mapToDouble(r -> r.spec.gpus()).sum() - team.gpusMax
                    : 0;
            if (cpus > 1e-6 || gpus > 1e-6) {
                running.sort(FIRST_TO_GO);
                take(
                        running,
                        Math.max(cpus * SHARE, Math.min(cpus, LEAST_CPUS)),
                        Math.max(gpus * SHARE, Math.min(gpus, 1)),
                        stops);
            }
        }
        return stops;
    }

    private static List<CandidateNode.Running> running(List<CandidateNode> nodes, int team) {
        List<CandidateNode.Running> running = new ArrayList<>();
        for (CandidateNode n : nodes) {
            for (CandidateNode.Running r : n.running) {
                if (r.team == team && r.spec != null && !r.stopping) {
                    running.add(r);
                }
            }
        }
        return running;
    }

    private static void take(
            List<CandidateNode.Running> running, double cpus, double gpus, List<CandidateNode.Running> stops) {
        double freedCpus = 0;
        double freedGpus = 0;
        for (CandidateNode.Running r : running) {
            boolean enough = freedCpus >= cpus - 1e-6 && freedGpus >= gpus - 1e-6;
            if (enough) {
                return;
            }
            boolean helps =
                    freedCpus < cpus - 1e-6 && r.spec.cpus() > 0 || freedGpus < gpus - 1e-6 && r.spec.gpus() > 0;
            if (helps) {
                stops.add(r);
                freedCpus += r.spec.cpus();
                freedGpus += r.spec.gpus();
            }
        }
    }
}
