package org.landingridge.controller.scheduling;

import org.landingridge.wire.JobSpec;

/**
 * A team's quota in one scheduling cycle: its guarantee, its limit and its current use, in CPUs and GPUs. A limit of 0 means
 * that there is no limit.
 */
public final class TeamQuota {
    private static final double ROUNDING_TOLERANCE = 1e-6;

    final double guaranteedCpus;
    final double cpuLimit;
    final double guaranteedGpus;
    final double gpuLimit;
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
    public TeamQuota(double guaranteedCpus, double cpuLimit, double guaranteedGpus, double gpuLimit) {
        this.guaranteedCpus = guaranteedCpus;
        this.cpuLimit = cpuLimit;
        this.guaranteedGpus = guaranteedGpus;
        this.gpuLimit = gpuLimit;
    }

    /** Adds CPUs and GPUs that the team may use on a machine with unknown tasks; they count against the limit. */
    public void addUnverified(double cpus, double gpus) {
        unverifiedCpus += cpus;
        unverifiedGpus += gpus;
    }

    /** Marks a task as stopping: it still counts as used, but no longer as something the team can spare. */
    public void markStopping(JobSpec spec) {
        stoppingCpus += spec.cpus();
        stoppingGpus += spec.gpus();
    }

    /** Reverts {@link #markStopping} for a task that is not stopped. */
    void unmarkStopping(JobSpec spec) {
        stoppingCpus -= spec.cpus();
        stoppingGpus -= spec.gpus();
    }

    void add(JobSpec spec, int tasks) {
        usedCpus += tasks * spec.cpus();
        usedGpus += tasks * spec.gpus();
    }

    /** Returns how many more tasks of this size fit within the guarantee, or else the limit; {@code maxTasks} at most. */
    int additionalTasks(JobSpec spec, boolean withinGuarantee, int maxTasks) {
        int tasks = maxTasks;
        if (withinGuarantee || cpuLimit > 0) {
            tasks = tasksThatFit(
                    tasks,
                    spec.cpus(),
                    remainingQuota(withinGuarantee, guaranteedCpus, cpuLimit, usedCpus, unverifiedCpus));
        }
        if (withinGuarantee || gpuLimit > 0) {
            tasks = tasksThatFit(
                    tasks,
                    spec.gpus(),
                    remainingQuota(withinGuarantee, guaranteedGpus, gpuLimit, usedGpus, unverifiedGpus));
        }
        return tasks;
    }

    private static double remainingQuota(
            boolean withinGuarantee, double guarantee, double limit, double used, double unverified) {
        double withinLimit = limit > 0 ? limit - used - unverified : Double.MAX_VALUE;
        return withinGuarantee ? Math.min(withinLimit, guarantee - used) : withinLimit;
    }

    private static int tasksThatFit(int maxTasks, double perTask, double room) {
        return perTask <= 0
                ? maxTasks
                : (int) Math.max(0, Math.min(maxTasks, Math.floor((room + ROUNDING_TOLERANCE) / perTask)));
    }

    /**
     * Returns the CPUs in use or waited for that lie within the limit and the guarantee; a guarantee of 0 sets no bound.
     *
     * @param waitingCpus CPUs of waiting tasks
     */
    public double guaranteedDemandCpus(double waitingCpus) {
        double demand = usedCpus + waitingCpus;
        double withinLimit = cpuLimit > 0 ? Math.min(demand, cpuLimit) : demand;
        return guaranteedCpus > 0 ? Math.min(withinLimit, guaranteedCpus) : withinLimit;
    }

    /** Returns true if the team uses more than its guarantee, even after all stopping tasks have stopped. */
    boolean isBorrowing() {
        return usedCpus - stoppingCpus > guaranteedCpus + ROUNDING_TOLERANCE
                || usedGpus - stoppingGpus > guaranteedGpus + ROUNDING_TOLERANCE;
    }

    /** Returns true if the team's use stays at or above its guarantee without this task. */
    boolean canSpare(JobSpec spec) {
        return usedCpus - stoppingCpus - spec.cpus() >= guaranteedCpus - ROUNDING_TOLERANCE
                && usedGpus - stoppingGpus - spec.gpus() >= guaranteedGpus - ROUNDING_TOLERANCE;
    }
}
