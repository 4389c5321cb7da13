package org.landingridge.controller.leader;

import java.util.Set;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.history.Compactor;
import org.landingridge.controller.jobs.JobTable;

/** Tells the compactor of the job history when it may run and which jobs it must not move, in this leader term. */
final class CompactionOwner implements Compactor.Owner {
    private final LeaderContext context;
    private final Fleet fleet;

    CompactionOwner(LeaderContext context, Fleet fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    @Override
    public boolean mayAct() {
        return context.leadership().mayAct();
    }

    @Override
    public boolean isBusy() {
        return fleet.unverified() > 0 || !context.writer().isIdle();
    }

    @Override
    public Set<String> jobsToRetain() {
        JobTable table = context.jobTable();
        Set<String> ids = fleet.jobsOnMachines();
        table.activeJobs().forEach(job -> ids.addAll(job.spec().awaits()));
        table.terminatedJobs()
                .unpersisted()
                .forEach(job -> ids.addAll(job.spec().awaits()));
        return ids;
    }
}
