package org.landingridge.controller.fleet;

import org.landingridge.controller.recovery.Action;
import org.landingridge.controller.recovery.Reconciliation;
import org.landingridge.controller.recovery.TaskEvidence;

/** Counts and finds pending tasks, and those of them that certainly are on no machine, so that they may be started. */
final class PlaceableTasks {
    private final ActiveJobs jobs;
    private final UnverifiedMachines unverifiedMachines;

    PlaceableTasks(ActiveJobs jobs, UnverifiedMachines unverifiedMachines) {
        this.jobs = jobs;
        this.unverifiedMachines = unverifiedMachines;
    }

    /** Returns the number of pending tasks of all jobs that are ready to start. */
    int pendingCount() {
        int sum = 0;
        for (ActiveJob job : jobs.all()) {
            sum += job.job().isReady() ? job.count(Task.State.PENDING) : 0;
        }
        return sum;
    }

    /**
     * Returns the number of the job's pending tasks that certainly are on no machine. An earlier leader had each task on at
     * most one machine: a task that this leader has seen on a fenced machine and that was lost since is on no other one,
     * even while there are unverified machines.
     */
    int placeableCount(ActiveJob job) {
        if (!job.job().isReady()) {
            return 0;
        }
        boolean mayBeHeld = unverifiedMachines.mayHoldTasksOf(job.spec());
        if (isPlaceable(job, false, mayBeHeld)) {
            return job.count(Task.State.PENDING);
        }
        int sum = 0;
        for (Task task : job.trackedTasks()) {
            sum += task.state() == Task.State.PENDING && isPlaceable(job, task.accountedFor(), mayBeHeld) ? 1 : 0;
        }
        return sum;
    }

    /** Returns the job's next pending task that may be placed, or null. */
    Task nextPlaceable(ActiveJob job) {
        // Every start passes here, so no task starts before all jobs that its job depends on are stored as done.
        if (!job.job().isReady()) {
            return null;
        }
        boolean mayBeHeld = unverifiedMachines.mayHoldTasksOf(job.spec());
        boolean untrackedPlaceable = isPlaceable(job, false, mayBeHeld);
        for (int examined = 0; examined < job.taskCount(); examined++) {
            int index = job.nextIndex();
            if (job.isUntracked(index)) {
                if (untrackedPlaceable) {
                    return job.task(index);
                }
            } else {
                Task task = job.task(index);
                if (task.state() == Task.State.PENDING && isPlaceable(job, task.accountedFor(), mayBeHeld)) {
                    return task;
                }
            }
        }
        return null;
    }

    /** Returns the number of pending tasks that wait until the machines that may hold them are accounted for. */
    int blockedCount() {
        if (unverifiedMachines.remaining() == 0) {
            return 0;
        }
        int sum = 0;
        for (ActiveJob job : jobs.all()) {
            sum += job.job().isReady() ? job.count(Task.State.PENDING) - placeableCount(job) : 0;
        }
        return sum;
    }

    /** Returns whether pending tasks of jobs from earlier leader terms wait while machines are not accounted for. */
    boolean anyBlocked() {
        if (unverifiedMachines.remaining() == 0) {
            return false;
        }
        for (ActiveJob job : jobs.all()) {
            if (!job.acceptedThisTerm() && job.job().isReady() && job.count(Task.State.PENDING) > 0) {
                return true;
            }
        }
        return false;
    }

    private static boolean isPlaceable(ActiveJob job, boolean accountedFor, boolean mayBeHeld) {
        return Reconciliation.task(new TaskEvidence(job.acceptedThisTerm(), accountedFor, mayBeHeld))
                .is(Action.PLACE);
    }
}
