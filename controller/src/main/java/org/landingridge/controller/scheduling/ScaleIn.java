package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.landingridge.wire.JobSpec;

/**
 * Give-back when idle. Where nothing waits, machines are also vacated on purpose, dear ones first: at the end of a peak
 * each would otherwise be held for minutes by one long task, although cheaper or fuller machines have room for it.
 */
final class ScaleIn {
    /** How long a machine that is not needed stands idle, in milliseconds: the next task may be a report away. */
    private static final long NEEDLESS_MS = 3_000;
    /** Room kept beside what is in use, as a share of it: tasks end and begin all the time. */
    private static final double HEADROOM = 0.05;
    /** A task is not moved before it has run for so long, in seconds: each move costs a save and a start. */
    private static final double SETTLED_S = 30;
    /** A move costs a save, a fetch and about so many seconds for telling. */
    private static final double TELLING_S = 2;
    /** A machine is vacated if it becomes free sooner by so many seconds, beside what the moves cost. */
    private static final double GAIN_S = 10;

    private final Scheduler.Input in;
    private final SchedulingPlan plan;
    private final Prices prices;
    /** Machines that are up, those first that are best done without: the dear ones, and of these the emptiest. */
    private final List<CandidateNode> up = new ArrayList<>();
    /** Processors on them, in use on them, and to be kept. */
    private double there;

    private double used;
    private double needed;

    ScaleIn(Scheduler.Input in, SchedulingPlan plan) {
        this.in = in;
        this.plan = plan;
        prices = new Prices(in.types());
        for (CandidateNode n : in.nodes()) {
            if (n.up) {
                up.add(n);
                there += n.type.cpus();
                used += n.type.cpus() - n.cpus;
            }
        }
        needed = Math.max(in.standing(), used * (1 + HEADROOM));
        up.sort(Comparator.comparing((CandidateNode n) -> !dear(n)).thenComparingDouble(n -> n.type.cpus() - n.cpus));
    }

    private boolean dear(CandidateNode n) {
        return prices.dear(n.type, n.spot);
    }

    void run() {
        if (plan.unplaced > 0) {
            return;
        }
        idle();
        if (plan.stops.isEmpty()) {
            vacate();
        }
    }

    private void idle() {
        int room = 0;
        JobSpec like = in.spare() == null ? null : in.spare().like();
        for (CandidateNode n : up) {
            room += like != null && !n.spot ? ScaleOut.roomFor(n, like) : 0;
        }
        for (CandidateNode n : up) {
            boolean empty = n.running.isEmpty() && n.cpus >= n.type.cpus() - 1e-9;
            boolean needless =
                    empty && (dear(n) || n.draining) && n.idleMs >= NEEDLESS_MS && there - n.type.cpus() >= needed;
            if (!empty || n.idleMs < in.idleMs() && !needless) {
                continue;
            }
            if (like != null && !n.spot) {
                int here = ScaleOut.roomFor(n, like);
                if (room - here < in.spare().tasks()) {
                    continue;
                }
                room -= here;
            }
            there -= n.type.cpus();
            plan.idle.add(n);
        }
    }

    /**
     * Stops tasks that can save where that empties a machine soon and others have room: dear machines first, then the
     * emptiest.
     */
    private void vacate() {
        double free = -used * HEADROOM;
        for (CandidateNode n : up) {
            free += n.soonCpus;
        }
        for (int i = 0; i < up.size() && there - up.get(i).type.cpus() >= needed; i++) {
            CandidateNode n = up.get(i);
            free -= n.soonCpus;
            List<CandidateNode.Running> movable = movable(n);
            double cpus = movable.stream().mapToDouble(r -> r.spec.cpus()).sum();
            if (movable.isEmpty() || n.draining) {
                continue;
            }
            if (cpus > free || !move(movable, up.subList(i + 1, up.size()))) {
                return;
            }
            free -= cpus;
            there -= n.type.cpus();
            plan.vacated.add(n);
        }
    }

    /** Finds room for the tasks on the fullest machines where they fit, and stops them; false where there is none. */
    private boolean move(List<CandidateNode.Running> tasks, List<CandidateNode> to) {
        for (CandidateNode.Running r : tasks) {
            CandidateNode best = null;
            for (CandidateNode n : to) {
                plan.steps++;
                if (!n.draining && n.fitsSoon(r.spec) && (best == null || n.soonCpus < best.soonCpus)) {
                    best = n;
                }
            }
            if (best == null) {
                return false;
            }
            best.soonCpus -= r.spec.cpus();
            best.soonGpus -= r.spec.gpus();
            best.soonMemory -= r.spec.memoryGb();
        }
        for (CandidateNode.Running r : tasks) {
            r.stopping = true;
            plan.stops.add(r);
        }
        return true;
    }

    /** The tasks whose move sets the machine free sooner: none where something else holds it as long anyway. */
    private static List<CandidateNode.Running> movable(CandidateNode n) {
        double held = 0;
        for (CandidateNode.Running r : n.running) {
            if (!movable(r)) {
                held = Math.max(held, r.spec == null || r.spec.service() ? Double.MAX_VALUE : r.leftS);
            }
        }
        List<CandidateNode.Running> longer = new ArrayList<>();
        double last = 0;
        for (CandidateNode.Running r : n.running) {
            double cost = r.spec == null
                    ? 0
                    : r.spec.saveS() + TELLING_S + r.spec.imageGb() / Math.max(0.01, n.type.fetchGbPerS());
            if (movable(r) && r.leftS > Math.max(held, cost)) {
                longer.add(r);
                last = Math.max(last, r.leftS - cost);
            }
        }
        return last > held + GAIN_S ? longer : List.of();
    }

    private static boolean movable(CandidateNode.Running r) {
        return !r.stopping
                && r.spec != null
                && r.spec.checkpointS() > 0
                && r.spec.spot()
                && r.spec.zone() == null
                && !r.spec.oneZone()
                && !r.spec.spread()
                && r.ranS >= SETTLED_S;
    }
}
