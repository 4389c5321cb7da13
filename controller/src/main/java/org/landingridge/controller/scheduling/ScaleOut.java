package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * A round of renting: what waits is packed onto machines that are on their way, then onto cheap ones, for as long as
 * there are any. Dear ones are rented for work within a guarantee and work in a hurry; for what can wait, only as many
 * as the whole queue needs to be in time.
 */
final class ScaleOut {
    /** Estimates err by half: what looks like two rounds may be three. */
    private static final double ROUND_MARGIN = 1.3;
    /** Machines of one request to the cloud; the next round asks for more. */
    private static final int MAX_RENT = 50;
    /** A boot may take so many times what the cloud says. */
    private static final double BOOT_MARGIN = 1.3;
    /** Of the time that a job can wait, the queue may take so much before dear machines are rented. */
    private static final double WAIT_SHARE = 0.8;
    /** Work that is late all the same is to be taken up within so many seconds of a machine's boot. */
    private static final double LATE_S = 60;
    /** Work of which nobody has said by when is to have been taken up within so many seconds. */
    private static final double UNHURRIED_S = 1_800;
    /** A job of that sort of which nothing runs so long after it came gets room for some of its tasks all the same. */
    private static final double FLOOR_S = 60;

    private static final int FLOOR_TASKS = 4;
    /** No sum is made over less time than this, in seconds: it would ask for a fleet for one job. */
    private static final double LEAST_S = 15;

    private final Scheduler.Input in;
    private final SchedulingPlan plan;
    private final Prices prices;
    private final Map<String, Integer> perZone = new HashMap<>();
    /** Machines that are on their way, and those that this round adds. */
    private final List<CandidateNode> coming = new ArrayList<>();

    private final Map<String, Integer> wanted = new LinkedHashMap<>();
    private double bootS;
    /** Processors of dear machines that may still be rented in this round. */
    private double dearBudget = Double.MAX_VALUE;

    ScaleOut(Scheduler.Input in, SchedulingPlan plan) {
        this.in = in;
        this.plan = plan;
        this.prices = new Prices(in.types());
    }

    /** Rents for tasks that found no room: those within their team's guarantee, and those beyond. */
    void run(Map<TaskGroup, Integer> within, Map<TaskGroup, Integer> beyond) {
        for (CandidateNode n : in.nodes()) {
            perZone.merge(n.zone, 1, Integer::sum);
            if (!n.up) {
                coming.add(n);
            }
        }
        for (MachineType t : in.types()) {
            bootS = Math.max(bootS, t.bootS() * BOOT_MARGIN);
        }
        Map<TaskGroup, Integer> left = new LinkedHashMap<>();
        Map<TaskGroup, Integer> patient = new LinkedHashMap<>();
        within.forEach((g, count) -> {
            int rest = pack(g, count, false);
            if (rest > 0) {
                left.put(g, rest);
            }
        });
        beyond.forEach((g, count) -> {
            int rest = pack(g, count, false);
            if (rest > 0) {
                (g.patient ? patient : left).put(g, rest);
            }
        });
        left.forEach((g, count) -> pack(g, Math.min(count, slots(g, count)), true));
        if (!patient.isEmpty()) {
            dearBudget = needed(within, beyond);
            patient.forEach((g, count) -> pack(g, count, true));
            dearBudget = Double.MAX_VALUE;
        }
        if (in.spare() != null && in.spare().like() != null) {
            TaskGroup room = new TaskGroup(in.spare().like(), null, Long.MAX_VALUE, 0, 0);
            int missing = in.spare().tasks();
            for (CandidateNode n : in.nodes()) {
                if (!n.spot && n.up && n.allows(room)) {
                    missing -= roomFor(n, room.spec);
                }
            }
            pack(room, missing, true);
        }
        wanted.forEach((pool, count) -> {
            String[] p = pool.split("/");
            plan.rents.add(new SchedulingPlan.Rent(p[0], p[1], p[2].equals("spot"), count));
        });
    }

    /**
     * Places worth renting for so many waiting tasks: where there is time before the job is due, one place serves
     * several tasks in turn, and the places that its tasks have already serve on.
     */
    private int slots(TaskGroup g, int count) {
        if (g.due == Long.MAX_VALUE || g.runS <= 0) {
            return count;
        }
        double fetchS = 0;
        for (MachineType t : in.types()) {
            if (t.fits(g.spec)) {
                fetchS = Math.max(fetchS, g.spec.imageGb() / Math.max(0.01, t.fetchGbPerS()));
            }
        }
        double left = (g.due - in.now()) / 1000.0;
        double each = g.runS * ROUND_MARGIN + 1;
        int turns = (int) Math.max(1, (left - bootS - fetchS) / each);
        int here = g.perZone.values().stream().mapToInt(Integer::intValue).sum();
        int served = here * (int) Math.max(0, (left - each / 2) / each);
        return Math.max(0, (count - served + turns - 1) / turns);
    }

    /** Tasks of this size that the node could take at once, counting what they may preempt. */
    static int roomFor(CandidateNode n, JobSpec s) {
        double cpus = n.soonCpus;
        double memory = n.soonMemory;
        for (CandidateNode.Running r : n.running) {
            if (r.spec != null && !r.stopping && r.spec.priority().compareTo(s.priority()) < 0) {
                cpus += r.spec.cpus();
                memory += r.spec.memoryGb();
            }
        }
        double byCpu = s.cpus() > 0 ? (cpus + 1e-6) / s.cpus() : 1000;
        double byMemory = s.memoryGb() > 0 ? (memory + 1e-6) / s.memoryGb() : 1000;
        return (int) Math.max(0, Math.min(byCpu, byMemory));
    }

    /**
     * Processors of dear machines that the queue needs beside what is there and on its way: where a job cannot begin
     * within its share of the time it may wait, so many that it can, from when they are up.
     */
    private double needed(Map<TaskGroup, Integer> within, Map<TaskGroup, Integer> beyond) {
        // All that waits takes its turn, also what its team's limit keeps from running now.
        List<TaskGroup> order = new ArrayList<>(in.groups());
        order.sort(Scheduler.URGENT);
        List<CandidateNode> there = new ArrayList<>(coming);
        for (CandidateNode n : in.nodes()) {
            if (n.up) {
                there.add(n);
            }
        }
        double processors = Scheduler.processors(there);
        double most = 0;
        double work = 0;
        for (TaskGroup g : order) {
            int waiting = g.waiting + within.getOrDefault(g, 0) + beyond.getOrDefault(g, 0);
            work += waiting * g.runS * g.spec.cpus();
            if (waiting == 0 || !g.unhurried && !Scheduler.expected(g)) {
                continue;
            }
            double left = (g.startBy - in.now()) / 1000.0;
            if (g.unhurried) {
                if (left < -FLOOR_S && g.perZone.isEmpty()) {
                    most = Math.max(most, Math.min(waiting, FLOOR_TASKS) * g.spec.cpus());
                }
                left = Math.max(bootS + UNHURRIED_S / 2, left + UNHURRIED_S);
            } else if (left < bootS) {
                left = Math.max(bootS + LATE_S, (g.lastDue - in.now()) / 1000.0 - g.lastS);
            }
            double behind = work - processors * left * WAIT_SHARE;
            most = Math.max(most, behind / Math.max(LEAST_S, left - bootS));
        }
        return most;
    }

    /**
     * Packs so many tasks of a group onto machines on their way, then onto new ones for as long as there are any.
     *
     * @return tasks that found no place
     */
    private int pack(TaskGroup g, int tasks, boolean dear) {
        int at = 0;
        for (int left = tasks; left > 0; left--) {
            plan.steps++;
            while (at < coming.size()
                    && !(coming.get(at).fits(g.spec) && coming.get(at).allows(g))) {
                plan.steps++;
                at++;
            }
            if (at == coming.size()) {
                CandidateNode fresh = cheapest(g, dear);
                if (fresh == null) {
                    return left;
                }
                coming.add(fresh);
                perZone.merge(fresh.zone, 1, Integer::sum);
                wanted.merge(Scheduler.pool(fresh.type.name(), fresh.zone, fresh.spot), 1, Integer::sum);
            }
            coming.get(at).take(g.spec, true);
        }
        return 0;
    }

    /** The machine to be rented for a task of the group, or null where there is none to be had in this round. */
    private CandidateNode cheapest(TaskGroup g, boolean dear) {
        for (boolean spot : g.spec.spot() ? new boolean[] {true, false} : new boolean[] {false}) {
            MachineType bestType = null;
            String bestZone = null;
            double bestCost = Double.MAX_VALUE;
            for (MachineType t : in.types()) {
                if (!t.fits(g.spec) || prices.dear(t, spot) && (!dear || dearBudget <= 0)) {
                    continue;
                }
                double each =
                        Math.max(g.spec.cpus() / t.cpus(), t.memoryGb() > 0 ? g.spec.memoryGb() / t.memoryGb() : 0);
                for (String zone : t.zones()) {
                    String pool = Scheduler.pool(t.name(), zone, spot);
                    if (!g.zoneAllowed(zone)
                            || in.noCapacityUntil().getOrDefault(pool, 0L) > in.now()
                            || wanted.getOrDefault(pool, 0) >= MAX_RENT) {
                        continue;
                    }
                    // Equal prices: the zone with the fewest machines, so that a zone's loss hurts little.
                    double cost =
                            (spot ? t.spotPrice() : t.price()) * each * (1 + 1e-3 * perZone.getOrDefault(zone, 0));
                    if (cost < bestCost) {
                        bestCost = cost;
                        bestType = t;
                        bestZone = zone;
                    }
                }
            }
            if (bestType != null) {
                dearBudget -= prices.dear(bestType, spot) ? bestType.cpus() : 0;
                return new CandidateNode(bestType, bestZone, spot, null, false, Set.of());
            }
        }
        return null;
    }
}
