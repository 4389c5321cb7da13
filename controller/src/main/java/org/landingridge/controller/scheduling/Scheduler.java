package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.Priority;

/**
 * First come within team limits, fullest fit, renting in rounds for what waits, give-back when idle. A pure function
 * of its input: the same input gives the same plan.
 */
public final class Scheduler {
    /**
     * Everything that one pass looks at.
     *
     * @param idleMs   how long an idle machine is kept
     * @param standing processors that were asked for lately within the teams' guarantees: so many are kept up
     */
    public record Input(
            long now,
            List<CandidateNode> nodes,
            List<TaskGroup> groups,
            List<Team> teams,
            List<MachineType> types,
            Map<String, Long> noCapacityUntil,
            Spare spare,
            long idleMs,
            double standing) {}

    /** Standing room for services: so many more tasks of this size are to find a place at once. */
    public record Spare(JobSpec like, int tasks) {}

    /**
     * A node for the next task of a group, and what would have to be stopped there for it; the lowest score goes first, then
     * the first in the input.
     */
    private record Candidate(double score, int index, CandidateNode node, List<CandidateNode.Running> stops)
            implements Comparable<Candidate> {
        Candidate(double score, int index, CandidateNode node) {
            this(score, index, node, List.of());
        }

        @Override
        public int compareTo(Candidate other) {
            int byScore = Double.compare(score, other.score);
            return byScore != 0 ? byScore : Integer.compare(index, other.index);
        }
    }

    /** Of the time within which a task should start, so much may pass while another one saves. */
    private static final double WAIT_FOR_SAVE = 0.4;
    /** More work than this, in seconds of its run, is not thrown away for a task that starts in time. */
    private static final double MOST_LOST_S = 60;

    private static final Comparator<TaskGroup> FIRST_COME =
            Comparator.comparing((TaskGroup g) -> g.spec.priority()).reversed().thenComparingLong(g -> g.order);
    static final Comparator<TaskGroup> URGENT = Comparator.comparing((TaskGroup g) -> g.spec.priority())
            .reversed()
            .thenComparingInt(g -> g.missed)
            .thenComparingLong(g -> g.startBy)
            .thenComparingLong(g -> g.order);

    private final Input in;
    private final SchedulingPlan plan = new SchedulingPlan();
    /** Nodes that may still take tasks now: full ones need not be looked at for every group. */
    private final List<CandidateNode> roomy = new ArrayList<>();
    /** Nodes on which room comes free, since something is stopping there. */
    private final Set<CandidateNode> freeing = new LinkedHashSet<>();
    /** Nodes that a new leader has not heard yet. */
    private final List<CandidateNode> unheard = new ArrayList<>();
    /** Nodes on which anything could be stopped at all. */
    private final List<CandidateNode> stoppable = new ArrayList<>();
    /** The least priority of work that could be stopped: nothing is sought for groups that may not stop it. */
    private Priority least;

    private Scheduler(Input in) {
        this.in = in;
    }

    public static SchedulingPlan plan(Input in) {
        return new Scheduler(in).run();
    }

    /** The key under which a lack of capacity is remembered. */
    public static String pool(String type, String zone, boolean spot) {
        return type + '/' + zone + (spot ? "/spot" : "/ordinary");
    }

    private SchedulingPlan run() {
        for (CandidateNode n : in.nodes) {
            if (n.up && n.roomy()) {
                roomy.add(n);
            }
            if (n.unheard) {
                unheard.add(n);
            }
            boolean some = false;
            for (CandidateNode.Running r : n.running) {
                if (n.up
                        && r.spec != null
                        && (least == null || r.spec.priority().compareTo(least) < 0)) {
                    least = r.spec.priority();
                }
                if (n.up && r.stopping) {
                    freeing.add(n);
                }
                some |= !r.stopping && r.spec != null;
            }
            if (n.up && some) {
                stoppable.add(n);
            }
        }
        List<TaskGroup> order = new ArrayList<>();
        for (TaskGroup g : in.groups) {
            if (g.waiting > 0 || g.held > 0) {
                order.add(g);
            }
        }
        order.sort(FIRST_COME);
        if (!inTime(order)) {
            order.sort(URGENT);
            giveWay(order);
            order.sort(URGENT);
        }
        List<TaskGroup> borrowing = new ArrayList<>();
        Map<TaskGroup, Integer> within = new LinkedHashMap<>();
        Map<TaskGroup, Integer> beyond = new LinkedHashMap<>();
        Priority last =
                order.isEmpty() ? null : order.get(order.size() - 1).spec.priority();
        for (TaskGroup g : order) {
            if (g.held > 0 && g.spec.priority().compareTo(last) > 0) {
                reserve(g);
            }
            if (g.waiting > 0 && place(g, true, within)) {
                borrowing.add(g);
            }
        }
        for (TaskGroup g : borrowing) {
            place(g, false, beyond);
        }
        new ScaleOut(in, plan).run(within, beyond);
        new ScaleIn(in, plan).run();
        return plan;
    }

    /** True if first come, first served makes no job late: each begins once the work before it has been taken up. */
    private boolean inTime(List<TaskGroup> order) {
        double seconds = 1000 / processors();
        double work = 0;
        for (TaskGroup g : order) {
            work += work(g);
            if (expected(g) && work * seconds > g.startBy - in.now) {
                return false;
            }
        }
        return true;
    }

    /** Processors for work that ends, on machines that are up or on their way. */
    private double processors() {
        return Math.max(1, processors(in.nodes));
    }

    static double processors(List<CandidateNode> nodes) {
        double processors = 0;
        for (CandidateNode n : nodes) {
            processors += n.type.cpus();
            for (CandidateNode.Running r : n.running) {
                if (r.spec != null && r.spec.service()) {
                    processors -= r.spec.cpus();
                }
            }
        }
        return processors;
    }

    static boolean expected(TaskGroup g) {
        return g.runS > 0 && g.lastDue != Long.MAX_VALUE;
    }

    /**
     * Lets jobs step behind where not all can be in time. The one that must begin first comes first; where a job is
     * late even so, the largest so far gives way, so that as few as possible are late (Moore and Hodgson's rule). Work
     * spent on a job that is late all the same makes the next ones late too, until in a burst hardly any is in time.
     */
    private void giveWay(List<TaskGroup> order) {
        double seconds = 1000 / processors();
        for (int chance = 0; chance < 2; chance++) {
            PriorityQueue<TaskGroup> largest = new PriorityQueue<>(Comparator.comparingDouble(Scheduler::work)
                    .reversed()
                    .thenComparing(
                            Comparator.comparingLong((TaskGroup g) -> g.order).reversed()));
            // Those that gave way wait for all that did not.
            double work = 0;
            for (TaskGroup g : order) {
                work += g.missed < chance ? work(g) : 0;
            }
            for (TaskGroup g : order) {
                if (g.missed != chance || !expected(g)) {
                    work += g.missed == chance ? work(g) : 0;
                    continue;
                }
                double left = (chance == 0 ? g.due : g.lastDue) - in.now - 1000 * g.lastS;
                largest.add(g);
                work += work(g);
                while (g.missed == chance && work * seconds > left) {
                    TaskGroup out = work(g) * seconds > left ? g : largest.poll();
                    if (out == g) {
                        largest.remove(g);
                    }
                    work -= work(out);
                    out.missed = chance + 1;
                }
            }
        }
    }

    /** Processor seconds of the tasks that wait. */
    private static double work(TaskGroup g) {
        return g.waiting * g.runS * g.spec.cpus();
    }

    /**
     * Keeps room for tasks that cannot be placed yet from work of lower priority, which would be stopped for them a few
     * seconds after its start. What unheard machines can hold is most likely there, and needs no room elsewhere.
     */
    private void reserve(TaskGroup g) {
        int held = g.held;
        for (CandidateNode n : unheard) {
            while (held > 0 && n.allows(g) && n.fits(g.spec)) {
                n.take(g.spec, true);
                held--;
            }
        }
        PriorityQueue<Candidate> fitting = held > 0 ? fitting(g) : null;
        for (Candidate c; held > 0 && (c = next(g, fitting)) != null; held--) {
            c.node.take(g.spec, true);
            if (c.node.fits(g.spec)) {
                fitting.add(new Candidate(score(g, c.node), c.index, c.node));
            }
        }
    }

    /** Places what it can; true if tasks wait that lie beyond the team's guarantee. */
    private boolean place(TaskGroup g, boolean guaranteed, Map<TaskGroup, Integer> unplaced) {
        Team team = in.teams.get(g.team);
        PriorityQueue<Candidate> fitting = null;
        Victims victims = mayStopAny(g, guaranteed) ? new Victims(g, guaranteed) : null;
        while (g.waiting > 0) {
            int within = team.more(g.spec, guaranteed, g.waiting);
            if (within == 0) {
                return guaranteed && team.more(g.spec, false, 1) > 0;
            }
            if (fitting == null) {
                fitting = fitting(g);
            }
            Candidate best = next(g, fitting);
            CandidateNode node = best == null ? null : best.node;
            boolean slow = node != null && !timely(g, node);
            // A free machine that must fetch the image first is too slow where a start is expected sooner: then room
            // is made on one that has it.
            CandidateNode made = (node == null || slow) && !g.probing ? makeRoom(g, slow, victims) : null;
            if (made != null) {
                node = made;
                node.soonCpus -= g.spec.cpus();
                node.soonGpus -= g.spec.gpus();
                node.soonMemory -= g.spec.memoryGb();
                if (best != null) {
                    fitting.add(best);
                }
            } else if (node != null) {
                node.take(g.spec, true);
                plan.placements.add(new SchedulingPlan.Placement(g, node));
                if (node.fits(g.spec)) {
                    fitting.add(new Candidate(score(g, node), best.index, node));
                }
            } else {
                // The tasks of a group are alike: where one finds no room, the others find none either. Room on
                // machines that are still to come is sought by the renting round, for all at once.
                if (!g.probing) {
                    unplaced.merge(g, within, Integer::sum);
                    plan.unplaced += within;
                }
                team.add(g.spec, within);
                g.waiting -= within;
                continue;
            }
            g.perZone.merge(node.zone, 1, Integer::sum);
            team.add(g.spec, 1);
            g.waiting--;
        }
        return false;
    }

    /** The nodes on which a task of the group fits now, best first. */
    private PriorityQueue<Candidate> fitting(TaskGroup g) {
        roomy.removeIf(n -> !n.roomy());
        plan.steps += roomy.size();
        PriorityQueue<Candidate> all = new PriorityQueue<>();
        for (int i = 0; i < roomy.size(); i++) {
            CandidateNode n = roomy.get(i);
            if (n.fits(g.spec) && n.allows(g)) {
                all.add(new Candidate(score(g, n), i, n));
            }
        }
        return all;
    }

    /** The best node left; what earlier tasks of the group made forbidden (one zone, spread) is passed over for good. */
    private static Candidate next(TaskGroup g, PriorityQueue<Candidate> fitting) {
        Candidate c = fitting.poll();
        while (c != null && !c.node.allows(g)) {
            c = fitting.poll();
        }
        return c;
    }

    /** The node with the image, else the fullest on which the task still fits; cheap nodes first where allowed. */
    private static double score(TaskGroup g, CandidateNode n) {
        double score = n.cpus / n.type.cpus() + (n.spot || !g.spec.spot() ? 0 : 2) + (n.draining ? 4 : 0);
        if (g.spec.image() != null && !n.images.contains(g.spec.image())) {
            score += g.spec.service() ? 4 + n.fetching : 0.5;
        }
        if (g.spec.service()) {
            // Replicas spread: one machine's loss should hurt little.
            score += 0.3 * n.services;
        }
        return score;
    }

    /** False if the task would start late there, since its image must be fetched first. */
    private static boolean timely(TaskGroup g, CandidateNode n) {
        return g.startWithinS <= 0
                || g.spec.image() == null
                || n.images.contains(g.spec.image())
                || g.spec.imageGb() / Math.max(0.01, n.type.fetchGbPerS()) < g.startWithinS * 0.6;
    }

    /** False if there is certainly nothing on any node that the group may have stopped. */
    private boolean mayStopAny(TaskGroup g, boolean guaranteed) {
        if (least == null) {
            return false;
        }
        int order = least.compareTo(g.spec.priority());
        if (order != 0 || !guaranteed) {
            return order < 0;
        }
        for (int t = 0; t < in.teams.size(); t++) {
            if (t != g.team && in.teams.get(t).borrows()) {
                return true;
            }
        }
        return false;
    }

    private CandidateNode makeRoom(TaskGroup g, boolean onlyTimely, Victims victims) {
        CandidateNode node = soon(g, onlyTimely);
        return node != null || victims == null ? node : victims.stop(onlyTimely);
    }

    private CandidateNode soon(TaskGroup g, boolean onlyTimely) {
        plan.steps += freeing.size();
        for (CandidateNode n : freeing) {
            if (n.fitsSoon(g.spec) && !n.fits(g.spec) && n.allows(g) && (!onlyTimely || timely(g, n))) {
                return n;
            }
        }
        return null;
    }

    /**
     * Work of lower priority, or beyond another team's guarantee, that may be stopped for a group's tasks. Its tasks are
     * alike: each node is judged once, and again only when its turn comes, since what a team can spare shrinks with every stop.
     */
    private final class Victims {
        private static final double UNTIMELY = 1e9;
        private final TaskGroup g;
        private final boolean guaranteed;
        private PriorityQueue<Candidate> choices;
        private Candidate stoppedOn;

        Victims(TaskGroup g, boolean guaranteed) {
            this.g = g;
            this.guaranteed = guaranteed;
        }

        /** Stops what costs least; the node on which that makes room for one task, or null. */
        CandidateNode stop(boolean onlyTimely) {
            if (stoppedOn != null) {
                // Judged only now: until the task that it was for has taken its room, nothing more seems needed there.
                add(stoppedOn.index, stoppedOn.node);
                stoppedOn = null;
            }
            if (choices == null) {
                choices = new PriorityQueue<>();
                plan.steps += stoppable.size();
                for (int i = 0; i < stoppable.size(); i++) {
                    add(i, stoppable.get(i));
                }
            }
            while (!choices.isEmpty()) {
                if (onlyTimely && choices.peek().score >= UNTIMELY) {
                    return null;
                }
                Candidate old = choices.poll();
                plan.steps++;
                Candidate now = choice(old.index, old.node);
                if (now == null) {
                    continue;
                }
                if (now.score > old.score) {
                    choices.add(now);
                    continue;
                }
                carryOut(now);
                stoppedOn = now;
                return now.node;
            }
            return null;
        }

        private void add(int index, CandidateNode n) {
            Candidate c = choice(index, n);
            if (c != null) {
                choices.add(c);
            }
        }

        private Candidate choice(int index, CandidateNode n) {
            if (!n.allows(g)) {
                return null;
            }
            List<CandidateNode.Running> candidates = List.of();
            for (CandidateNode.Running r : n.running) {
                if (!r.stopping && r.spec != null && mayStop(g, guaranteed, r)) {
                    if (candidates.isEmpty()) {
                        candidates = new ArrayList<>();
                    }
                    candidates.add(r);
                }
            }
            if (candidates.isEmpty()) {
                return null;
            }
            // Least work lost first: what started last.
            candidates.sort(Comparator.comparing((CandidateNode.Running r) -> r.spec.priority())
                    .thenComparing(r -> -r.startedAt));
            List<CandidateNode.Running> victims = new ArrayList<>();
            double cpus = n.soonCpus;
            double gpus = n.soonGpus;
            double memory = n.soonMemory;
            double cost = 0;
            for (CandidateNode.Running r : candidates) {
                if (CandidateNode.fits(g.spec, cpus, gpus, memory)) {
                    break;
                }
                if (!mayStop(g, guaranteed, r)) {
                    // The victims before it are all that its team can spare.
                    continue;
                }
                victims.add(r);
                in.teams.get(r.team).stopping(r.spec);
                cpus += r.spec.cpus();
                gpus += r.spec.gpus();
                memory += r.spec.memoryGb();
                cost += r.spec.cpus() * (in.now - r.startedAt + 1_000);
            }
            victims.forEach(r -> in.teams.get(r.team).goesOn(r.spec));
            return CandidateNode.fits(g.spec, cpus, gpus, memory) && !victims.isEmpty()
                    ? new Candidate(cost + (timely(g, n) ? 0 : UNTIMELY), index, n, victims)
                    : null;
        }

        private void carryOut(Candidate c) {
            for (CandidateNode.Running r : c.stops) {
                r.stopping = true;
                r.atOnce = g.startWithinS > 0
                        && r.spec.saveS() > g.startWithinS * WAIT_FOR_SAVE
                        && Math.min(r.ranS, r.spec.checkpointS()) < MOST_LOST_S;
                in.teams.get(r.team).stopping(r.spec);
                c.node.soonCpus += r.spec.cpus();
                c.node.soonGpus += r.spec.gpus();
                c.node.soonMemory += r.spec.memoryGb();
                plan.stops.add(r);
            }
            freeing.add(c.node);
        }
    }

    /**
     * Work of lower priority may be stopped, and what another team has borrowed. No team is brought below its own
     * guarantee for another's: it would take the room back at once, and both would lose their work again and again.
     */
    private boolean mayStop(TaskGroup g, boolean guaranteed, CandidateNode.Running r) {
        int order = r.spec.priority().compareTo(g.spec.priority());
        if (order < 0 && r.team == g.team) {
            return true;
        }
        boolean spare = in.teams.get(r.team).canSpare(r.spec);
        return order < 0 && (guaranteed || spare)
                || order == 0 && guaranteed && spare && r.team != g.team && !r.spec.service();
    }
}
