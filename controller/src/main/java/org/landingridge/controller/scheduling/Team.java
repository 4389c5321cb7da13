package org.landingridge.controller.scheduling;

import org.landingridge.wire.JobSpec;

/** A team's guarantee and limit, and what its work uses now; 0 as a limit means none. */
public final class Team {
    final double cpus;
    final double cpusMax;
    final double gpus;
    final double gpusMax;
    public double usedCpus;
    public double usedGpus;
    private double stoppingCpus;
    private double stoppingGpus;
    /** What may be in use besides, unseen: it counts within the limit only. */
    private double heldCpus;

    private double heldGpus;

    public Team(double cpus, double cpusMax, double gpus, double gpusMax) {
        this.cpus = cpus;
        this.cpusMax = cpusMax;
        this.gpus = gpus;
        this.gpusMax = gpusMax;
    }

    /** Tasks like this that still fit within the guarantee, or within the limit, {@code most} at most. */
    int more(JobSpec spec, boolean guaranteed, int most) {
        int n = most;
        if (guaranteed || cpusMax > 0) {
            n = fit(n, spec.cpus(), room(guaranteed, cpus, cpusMax, usedCpus, heldCpus));
        }
        if (guaranteed || gpusMax > 0) {
            n = fit(n, spec.gpus(), room(guaranteed, gpus, gpusMax, usedGpus, heldGpus));
        }
        return n;
    }

    private static double room(boolean guaranteed, double guarantee, double limit, double used, double held) {
        double within = limit > 0 ? limit - used - held : Double.MAX_VALUE;
        return guaranteed ? Math.min(within, guarantee - used) : within;
    }

    public void hold(double moreCpus, double moreGpus) {
        heldCpus += moreCpus;
        heldGpus += moreGpus;
    }

    private static int fit(int most, double each, double room) {
        return each <= 0 ? most : (int) Math.max(0, Math.min(most, Math.floor((room + 1e-6) / each)));
    }

    /** Processors of what it uses and of what waits that lie within its guarantee; all where it has none. */
    public double guaranteed(double waiting) {
        double wanted = usedCpus + waiting;
        double within = cpusMax > 0 ? Math.min(wanted, cpusMax) : wanted;
        return cpus > 0 ? Math.min(within, cpus) : within;
    }

    /** True while the team uses more than it is guaranteed, and will go on to. */
    boolean borrows() {
        return usedCpus - stoppingCpus > cpus + 1e-6 || usedGpus - stoppingGpus > gpus + 1e-6;
    }

    /** True if the team keeps its guarantee without this task. */
    boolean canSpare(JobSpec spec) {
        return usedCpus - stoppingCpus - spec.cpus() >= cpus - 1e-6
                && usedGpus - stoppingGpus - spec.gpus() >= gpus - 1e-6;
    }

    /** Notes a task that has been told to stop: it still counts as used, but is the team's no more. */
    public void stopping(JobSpec spec) {
        stoppingCpus += spec.cpus();
        stoppingGpus += spec.gpus();
    }

    /** Takes back {@link #stopping} for tasks that are left running after all. */
    void goesOn(JobSpec spec) {
        stoppingCpus -= spec.cpus();
        stoppingGpus -= spec.gpus();
    }

    void add(JobSpec spec, int tasks) {
        usedCpus += tasks * spec.cpus();
        usedGpus += tasks * spec.gpus();
    }
}
