package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * A machine as seen by one scheduling cycle. The leader creates it and adds the tasks that occupy it; the cycle then
 * deducts the room that it assigns. CPU amounts are in processors, memory is in GB.
 */
public final class CandidateNode {
    /** Tolerance for floating-point rounding when a task is checked against free room. */
    private static final double ROUNDING = 1e-6;

    /** A task that occupies room on the node. */
    public static final class Running {
        /** Specification of the task's job; null if unknown. */
        public final JobSpec spec;
        /** Index of the job's team in the cycle's list of teams. */
        public final int team;
        /** The attempt, opaque to the scheduler. */
        public final Object attempt;
        /** When the task was sent to the machine, in milliseconds of the event loop's clock. */
        public final long startedAt;
        /** True if the task has already been told to stop, so its room becomes free without preemption. */
        public boolean stopping;
        /** True if the task is stopped without saving because other work cannot wait; it redoes work since its last checkpoint. */
        public boolean withoutSave;
        /** How long the task has run, in seconds; 0 until it runs. */
        public double ranS;
        /** Expected remaining run time, in seconds. */
        public double leftS;

        /** Creates a task that occupies room; see the fields. */
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
    /** True for a spot instance, which takes only tasks that allow spot instances. */
    public final boolean spot;
    /** The machine, opaque to the scheduler; null for a machine that this cycle requests. */
    public final Object machine;
    /** True if the node takes tasks now; a node that is still starting only reduces the number of machines to rent. */
    public final boolean up;
    /** Images on the machine; the set is not copied. */
    public final Set<String> images;
    /** Tasks that occupy room on the node; call {@link #add} to change it. */
    public final List<Running> running = new ArrayList<>();
    /** How long the machine has been idle, in milliseconds. */
    public long idleMs;
    /** Number of tasks whose image is being fetched to the machine; fetches share the machine's bandwidth. */
    public int fetching;
    /** True if a new leader is still waiting for the machine's first heartbeat: blocked tasks are most likely running there. */
    public boolean awaitingHeartbeat;
    /** True if the machine was recently drained so that it can be returned. */
    public boolean draining;

    private double cpus;
    private double gpus;
    private double memory;
    private int services;
    /** Free CPUs after all stopping tasks have stopped; GPUs and memory follow. */
    private double soonCpus;

    private double soonGpus;
    private double soonMemory;

    /** Creates a machine without tasks. */
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

    /** Adds a task that occupies room on the machine; a task without a known specification takes all of it. */
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

    /** Deducts the room of a task that is placed now, from the current and the later free room. */
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

    /** Deducts room that becomes free after stops, for a task that a later cycle will place. */
    void takeSoon(JobSpec spec) {
        soonCpus -= spec.cpus();
        soonGpus -= spec.gpus();
        soonMemory -= spec.memoryGb();
    }

    /** Adds the room of a task that is stopped in this cycle to the room that becomes free after stops. */
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

    /** Returns true if the node has any free room. */
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

    /** Returns how many tasks of this size the node could take, including room from preemption; at most 1000. */
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

    /** Returns the share of the machine's CPUs that is free now. */
    double freeShare() {
        return cpus / type.cpus();
    }

    double usedCpus() {
        return type.cpus() - cpus;
    }

    /** Returns true if the machine has no tasks and no room on it is taken. */
    boolean unused() {
        return running.isEmpty() && cpus >= type.cpus() - 1e-9;
    }

    /** Returns the number of service replicas on the node. */
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
