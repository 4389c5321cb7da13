package org.landingridge.controller.fleet;

import org.landingridge.controller.recovery.Action;
import org.landingridge.controller.recovery.Reconciliation;
import org.landingridge.controller.recovery.TaskEvidence;

/** Which tasks wait, and which of them are certainly on no machine, so that they may be started. */
final class PlaceableTasks {
    private final ActiveJobs jobs;
    private final UnverifiedMachines unverifiedMachines;

    PlaceableTasks(ActiveJobs jobs, UnverifiedMachines unverifiedMachines) {
        this.jobs = jobs;
        this.unverifiedMachines = unverifiedMachines;
    }

    /** Number of tasks that wait for a place. */
    int waiting() {
        int sum = 0;
        for (ActiveJob job : jobs.all()) {
            sum += job.job().ready() ? job.count(Task.State.PENDING) : 0;
        }
        return sum;
    }

    /**
     * Number of tasks that wait for a place and are certainly on no machine. An earlier leader had each task in one place at
     * most: what this leader term has seen on a fenced machine and then lost is accounted for, whatever other machines may
     * hold.
     */
    int placeable(ActiveJob job) {
        if (!job.job().ready()) {
            return 0;
        }
        boolean heldPossibly = unverifiedMachines.mayHold(job.spec());
        if (placeable(job, false, heldPossibly)) {
            return job.count(Task.State.PENDING);
        }
        int sum = 0;
        for (Task task : job.touched()) {
            sum += task.state() == Task.State.PENDING && placeable(job, task.accounted(), heldPossibly) ? 1 : 0;
        }
        return sum;
    }

    /** The job's next waiting task that may be placed, or null. */
    Task next(ActiveJob job) {
        // Every start passes here: whatever asks, nothing of a job begins before all that it needs is stored as done.
        if (!job.job().ready()) {
            return null;
        }
        boolean heldPossibly = unverifiedMachines.mayHold(job.spec());
        boolean anyUntouched = placeable(job, false, heldPossibly);
        for (int tried = 0; tried < job.size(); tried++) {
            int index = job.advance();
            if (job.untouched(index)) {
                if (anyUntouched) {
                    return job.task(index);
                }
            } else {
                Task task = job.task(index);
                if (task.state() == Task.State.PENDING && placeable(job, task.accounted(), heldPossibly)) {
                    return task;
                }
            }
        }
        return null;
    }

    /** Number of tasks that wait until the machines that may hold them are accounted for. */
    int blocked() {
        if (unverifiedMachines.left() == 0) {
            return 0;
        }
        int sum = 0;
        for (ActiveJob job : jobs.all()) {
            sum += job.job().ready() ? job.count(Task.State.PENDING) - placeable(job) : 0;
        }
        return sum;
    }

    /** True if tasks of earlier leaders' jobs wait while machines are not accounted for. */
    boolean anyBlocked() {
        if (unverifiedMachines.left() == 0) {
            return false;
        }
        for (ActiveJob job : jobs.all()) {
            if (!job.own() && job.job().ready() && job.count(Task.State.PENDING) > 0) {
                return true;
            }
        }
        return false;
    }

    private static boolean placeable(ActiveJob job, boolean accounted, boolean heldPossibly) {
        return Reconciliation.task(new TaskEvidence(job.own(), accounted, heldPossibly))
                .is(Action.PLACE);
    }
}
