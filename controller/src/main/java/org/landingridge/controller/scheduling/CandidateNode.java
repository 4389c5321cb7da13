package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/** A machine in one pass of the scheduler. */
public final class CandidateNode {
    /** Something that takes room on the node. */
    public static final class Running {
        public final JobSpec spec;
        public final int team;
        /** Opaque to the scheduler. */
        public final Object attempt;

        public final long startedAt;
        /** Already told to stop: its room comes free by itself. */
        public boolean stopping;
        /** Stopped for work that cannot wait until it has saved: what it did since its last checkpoint is done again. */
        public boolean atOnce;
        /** How long it has run, in seconds; 0 until it runs. */
        public double ranS;
        /** How much longer it is expected to run, in seconds. */
        public double leftS;

        public Running(JobSpec spec, int team, Object attempt, long startedAt, boolean stopping) {
            this.spec = spec;
            this.team = team;
            this.attempt = attempt;
            this.startedAt = startedAt;
            this.stopping = stopping;
        }
    }

    public final MachineType type;
    public final String zone;
    public final boolean spot;
    /** Opaque to the scheduler. */
    public final Object machine;
    /** UP nodes take tasks now; the others are on their way and only count against renting. */
    public final boolean up;

    public final Set<String> images;
    public final List<Running> running = new ArrayList<>();
    public long idleMs;
    /** Tasks that wait for their image there: fetches share the machine's rate. */
    public int fetching;
    /** Not heard yet by a new leader, though it should be soon: held tasks are most likely there. */
    public boolean unheard;
    /** Vacated a short while ago, to be given back. */
    public boolean draining;

    double cpus;
    double gpus;
    double memory;
    /** Replicas of services on the node. */
    int services;
    /** Room that comes free once what is stopping has stopped. */
    double soonCpus;

    double soonGpus;
    double soonMemory;

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

    public void add(Running r) {
        running.add(r);
        if (r.spec == null) {
            // Nothing is known of it: it may take the whole machine.
            cpus = gpus = memory = soonCpus = soonGpus = soonMemory = 0;
            return;
        }
        take(r.spec, !r.stopping);
    }

    void take(JobSpec s, boolean lasting) {
        cpus -= s.cpus();
        gpus -= s.gpus();
        memory -= s.memoryGb();
        services += s.service() ? 1 : 0;
        if (lasting) {
            soonCpus -= s.cpus();
            soonGpus -= s.gpus();
            soonMemory -= s.memoryGb();
        }
    }

    boolean allows(TaskGroup g) {
        JobSpec s = g.spec;
        return (!spot || s.spot()) && (s.types() == null || s.types().contains(type.name())) && g.zoneAllowed(zone);
    }

    /** True while anything at all may fit. */
    boolean roomy() {
        return memory > 1e-6 && (cpus > 1e-6 || gpus > 1e-6);
    }

    boolean fits(JobSpec s) {
        return fits(s, cpus, gpus, memory);
    }

    boolean fitsSoon(JobSpec s) {
        return fits(s, soonCpus, soonGpus, soonMemory);
    }

    static boolean fits(JobSpec s, double cpus, double gpus, double memory) {
        return s.cpus() <= cpus + 1e-6 && s.gpus() <= gpus + 1e-6 && s.memoryGb() <= memory + 1e-6;
    }
}
