package org.landingridge.controller.scheduling;

import org.landingridge.wire.JobSpec;

/**
 * A team's quota in one scheduling cycle: its guarantee, its limit and its current use, in CPUs and GPUs. A limit of 0 means
 * that there is no limit.
 */
public final class Team {
    private static final double ROUNDING = 1e-6;

    final double cpus;
    final double cpusMax;
    final double gpus;
    final double gpusMax;
    /** CPUs of the team's tasks on machines, including stopping tasks. */
    public double usedCpus;
    /** GPUs of the team's tasks on machines, including stopping tasks. */
    public double usedGpus;

    private double stoppingCpus;
    private double stoppingGpus;
    /** CPUs that the team may also use on unverified machines; they count against the limit but not the guarantee. */
    private double unverifiedCpus;

    private double unverifiedGpus;

    /** Creates the quota of a team without current use. */
    public Team(double cpus, double cpusMax, double gpus, double gpusMax) {
        this.cpus = cpus;
        this.cpusMax = cpusMax;
        this.gpus = gpus;
        this.gpusMax = gpusMax;
    }

    /** Adds CPUs and GPUs that the team may use on a machine with unknown tasks; they count against the limit. */
    public void addUnverified(double moreCpus, double moreGpus) {
        unverifiedCpus += moreCpus;
        unverifiedGpus += moreGpus;
    }

    /** Marks a task as stopping: it still counts as used, but no longer as something the team can spare. */
    public void stopping(JobSpec spec) {
        stoppingCpus += spec.cpus();
        stoppingGpus += spec.gpus();
    }

    /** Reverts {@link #stopping} for a task that is not stopped. */
    void notStopping(JobSpec spec) {
        stoppingCpus -= spec.cpus();
        stoppingGpus -= spec.gpus();
    }

    void add(JobSpec spec, int tasks) {
        usedCpus += tasks * spec.cpus();
        usedGpus += tasks * spec.gpus();
    }

    /** Returns how many more tasks of this size fit within the guarantee, or else the limit; {@code most} at most. */
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

    /**
     * Returns the CPUs in use or waited for that lie within the limit and the guarantee; a guarantee of 0 sets no bound.
     *
     * @param waiting CPUs of waiting tasks
     */
    public double guaranteed(double waiting) {
        double wanted = usedCpus + waiting;
        double within = cpusMax > 0 ? Math.min(wanted, cpusMax) : wanted;
        return cpus > 0 ? Math.min(within, cpus) : within;
    }

    /** Returns true if the team uses more than its guarantee, even after all stopping tasks have stopped. */
    boolean borrows() {
        return usedCpus - stoppingCpus > cpus + ROUNDING || usedGpus - stoppingGpus > gpus + ROUNDING;
    }

    /** Returns true if the team's use stays at or above its guarantee without this task. */
    boolean canSpare(JobSpec spec) {
        return usedCpus - stoppingCpus - spec.cpus() >= cpus - ROUNDING
                && usedGpus - stoppingGpus - spec.gpus() >= gpus - ROUNDING;
    }
}
