package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * A machine in one scheduling cycle. The leader fills it and adds what runs on it; from then on the cycle counts down its
 * room. All CPUs are processors, all memory is GB.
 */
public final class CandidateNode {
    /** What is missing to a fit by rounding alone does not count. */
    private static final double ROUNDING = 1e-6;

    /** Something that takes room on the node. */
    public static final class Running {
        /** The job; null where nothing is known of it. */
        public final JobSpec spec;
        /** Index of its team in the cycle's input. */
        public final int team;
        /** The attempt, opaque to the scheduler. */
        public final Object attempt;
        /** When it was sent, by the event loop's clock. */
        public final long startedAt;
        /** Commanded to stop already: its room comes free by itself. */
        public boolean stopping;
        /** Stopped for work that cannot wait until it has saved: what it did since its last checkpoint is done again. */
        public boolean withoutSave;
        /** How long it has run, in seconds; 0 until it runs. */
        public double ranS;
        /** How much longer it is expected to run, in seconds. */
        public double leftS;

        /** Something that takes room; see the fields. */
        public Running(JobSpec spec, int team, Object attempt, long startedAt, boolean stopping) {
            this.spec = spec;
            this.team = team;
            this.attempt = attempt;
            this.startedAt = startedAt;
            this.stopping = stopping;
        }
    }

    /** The machine's type. */
    public final MachineType type;
    /** The machine's zone. */
    public final String zone;
    /** True for a spot instance: it takes only tasks that allow it. */
    public final boolean spot;
    /** The machine, opaque to the scheduler; null for one that is still asked for. */
    public final Object machine;
    /** Nodes that are up take tasks now; the others are on their way and only count against scaling out. */
    public final boolean up;
    /** Images that the machine has; not copied. */
    public final Set<String> images;
    /** What takes room on the node; add with {@link #add} only. */
    public final List<Running> running = new ArrayList<>();
    /** How long the machine has been idle, in milliseconds. */
    public long idleMs;
    /** Tasks that wait for their image there: fetches share the machine's rate. */
    public int fetching;
    /** A new leader has had no heartbeat from it, though one is due soon: blocked tasks are most likely there. */
    public boolean awaitingHeartbeat;
    /** Vacated a short while ago, to be returned. */
    public boolean draining;

    private double cpus;
    private double gpus;
    private double memory;
    private int services;
    /** Room once what is stopping has stopped. */
    private double soonCpus;

    private double soonGpus;
    private double soonMemory;

    /** An empty machine. */
    public CandidateNode(MachineType type, String zone, boolean spot, Object machine, boolean up, Set<String> images) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.machine = machine;
        this.up = up;
        this.images = images;
        this.cpus = type.cpus();
        this.gpus = type.gpus();
        this.memory = type.memoryGb();
        this.soonCpus = cpus;
        this.soonGpus = gpus;
        this.soonMemory = memory;
    }

    /** Adds something that runs there; what nothing is known of may take the whole machine. */
    public void add(Running added) {
        running.add(added);
        if (added.spec == null) {
            takeAll();
            return;
        }
        takeNow(added.spec);
        if (!added.stopping) {
            takeSoon(added.spec);
        }
    }

    private void takeAll() {
        cpus = 0;
        gpus = 0;
        memory = 0;
        soonCpus = 0;
        soonGpus = 0;
        soonMemory = 0;
    }

    /** Takes room for a task that is placed now and stays. */
    void take(JobSpec spec) {
        takeNow(spec);
        takeSoon(spec);
    }

    private void takeNow(JobSpec spec) {
        cpus -= spec.cpus();
        gpus -= spec.gpus();
        memory -= spec.memoryGb();
        services += spec.service() ? 1 : 0;
    }

    /** Takes room that comes free, for a task that is placed in a later cycle. */
    void takeSoon(JobSpec spec) {
        soonCpus -= spec.cpus();
        soonGpus -= spec.gpus();
        soonMemory -= spec.memoryGb();
    }

    /** Frees the room of a task that is stopped in this cycle. */
    void freeSoon(JobSpec spec) {
        soonCpus += spec.cpus();
        soonGpus += spec.gpus();
        soonMemory += spec.memoryGb();
    }

    boolean allows(TaskGroup group) {
        JobSpec spec = group.spec;
        return (!spot || spec.spot())
                && (spec.types() == null || spec.types().contains(type.name()))
                && group.zoneAllowed(zone);
    }

    /** True while anything at all may fit. */
    boolean hasRoom() {
        return memory > ROUNDING && (cpus > ROUNDING || gpus > ROUNDING);
    }

    boolean fits(JobSpec spec) {
        return fits(spec, cpus, gpus, memory);
    }

    boolean fitsSoon(JobSpec spec) {
        return fits(spec, soonCpus, soonGpus, soonMemory);
    }

    static boolean fits(JobSpec spec, double cpus, double gpus, double memory) {
        return spec.cpus() <= cpus + ROUNDING && spec.gpus() <= gpus + ROUNDING && spec.memoryGb() <= memory + ROUNDING;
    }

    /** Tasks of this size that the node could take at once, counting what they may preempt; at most 1000. */
    int roomFor(JobSpec spec) {
        double roomCpus = soonCpus;
        double roomMemory = soonMemory;
        for (Running other : running) {
            if (other.spec != null && !other.stopping && other.spec.priority().compareTo(spec.priority()) < 0) {
                roomCpus += other.spec.cpus();
                roomMemory += other.spec.memoryGb();
            }
        }
        double byCpu = spec.cpus() > 0 ? (roomCpus + ROUNDING) / spec.cpus() : 1000;
        double byMemory = spec.memoryGb() > 0 ? (roomMemory + ROUNDING) / spec.memoryGb() : 1000;
        return (int) Math.max(0, Math.min(byCpu, byMemory));
    }

    /** Free processors now, as a share of the machine's. */
    double freeShare() {
        return cpus / type.cpus();
    }

    double usedCpus() {
        return type.cpus() - cpus;
    }

    /** True if no processor of it is in use. */
    boolean unused() {
        return running.isEmpty() && cpus >= type.cpus() - 1e-9;
    }

    /** Replicas of services on the node. */
    int services() {
        return services;
    }

    double soonCpus() {
        return soonCpus;
    }

    double soonGpus() {
        return soonGpus;
    }

    double soonMemory() {
        return soonMemory;
    }
}
