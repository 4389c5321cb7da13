package org.landingridge.controller.scheduling;

import org.landingridge.wire.JobSpec;

/**
 * A team's quota in one cycle: its guarantee and limit, and what its work uses now. CPUs are processors; 0 as a limit means
 * none.
 */
public final class Team {
    private static final double ROUNDING = 1e-6;

    final double cpus;
    final double cpusMax;
    final double gpus;
    final double gpusMax;
    /** Processors of its tasks on machines, those that are stopping too. */
    public double usedCpus;
    /** GPUs of its tasks on machines, those that are stopping too. */
    public double usedGpus;

    private double stoppingCpus;
    private double stoppingGpus;
    /** What unverified machines may use besides: it counts within the limit only. */
    private double unverifiedCpus;

    private double unverifiedGpus;

    /** A team that uses nothing yet. */
    public Team(double cpus, double cpusMax, double gpus, double gpusMax) {
        this.cpus = cpus;
        this.cpusMax = cpusMax;
        this.gpus = gpus;
        this.gpusMax = gpusMax;
    }

    /** Counts what the team may use on a machine whose tasks are not known, against its limit. */
    public void addUnverified(double moreCpus, double moreGpus) {
        unverifiedCpus += moreCpus;
        unverifiedGpus += moreGpus;
    }

    /** Counts a task as stopping: it still counts as used, but the team cannot spare it any more. */
    public void stopping(JobSpec spec) {
        stoppingCpus += spec.cpus();
        stoppingGpus += spec.gpus();
    }

    /** Takes {@link #stopping} back, for a task that is left running after all. */
    void notStopping(JobSpec spec) {
        stoppingCpus -= spec.cpus();
        stoppingGpus -= spec.gpus();
    }

    void add(JobSpec spec, int tasks) {
        usedCpus += tasks * spec.cpus();
        usedGpus += tasks * spec.gpus();
    }

    /** Tasks like this that still fit within the guarantee, or within the limit, {@code most} at most. */
    int more(JobSpec spec, boolean guaranteed, int most) {
        int tasks = most;
        if (guaranteed || cpusMax > 0) {
            tasks = fit(tasks, spec.cpus(), room(guaranteed, cpus, cpusMax, usedCpus, unverifiedCpus));
        }
        if (guaranteed || gpusMax > 0) {
            tasks = fit(tasks, spec.gpus(), room(guaranteed, gpus, gpusMax, usedGpus, unverifiedGpus));
        }
        return tasks;
    }

    private static double room(boolean guaranteed, double guarantee, double limit, double used, double unverified) {
        double within = limit > 0 ? limit - used - unverified : Double.MAX_VALUE;
        return guaranteed ? Math.min(within, guarantee - used) : within;
    }

    private static int fit(int most, double each, double room) {
        return each <= 0 ? most : (int) Math.max(0, Math.min(most, Math.floor((room + ROUNDING) / each)));
    }

    /** Processors of what it uses and of what waits that lie within its guarantee; all where it has none. */
    public double guaranteed(double waiting) {
        double wanted = usedCpus + waiting;
        double within = cpusMax > 0 ? Math.min(wanted, cpusMax) : wanted;
        return cpus > 0 ? Math.min(within, cpus) : within;
    }

    /** True while the team uses more than it is guaranteed, and will go on to. */
    boolean borrows() {
        return usedCpus - stoppingCpus > cpus + ROUNDING || usedGpus - stoppingGpus > gpus + ROUNDING;
    }

    /** True if the team keeps its guarantee without this task. */
    boolean canSpare(JobSpec spec) {
        return usedCpus - stoppingCpus - spec.cpus() >= cpus - ROUNDING
                && usedGpus - stoppingGpus - spec.gpus() >= gpus - ROUNDING;
    }
}
