package org.landingridge.controller.leader;

import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.progress.CompletionStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports stored task results to the fleet, and ends jobs whose tasks are all done. */
final class CompletionEvents implements CompletionStore.Events {
    private static final Logger LOG = LoggerFactory.getLogger(CompletionEvents.class);
    private final LeaderContext context;
    private final Fleet fleet;

    CompletionEvents(LeaderContext context, Fleet fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    @Override
    public void finishedTaskStored(Task task) {
        fleet.resultStored(task);
    }

    @Override
    public void completionStored(Job job, long revision) {
        long durationS = (context.loop().timeOfDay() - job.submittedAt()) / 1000;
        LOG.debug("job done, job={} tookS={}", job.id(), durationS);
        Double deadlineS = job.spec() == null ? null : job.spec().deadlineS();
        if (deadlineS != null && durationS > deadlineS) {
            context.incidents()
                    .record(job.id() + " (" + job.spec().jobClass() + ") missed its deadline: done after "
                            + durationS + " s, deadline " + Math.round(deadlineS) + " s; " + fleet.pendingTasks()
                            + " tasks of all jobs are waiting for capacity");
        }
        context.jobTable().end(job, Job.Status.DONE, job.tasks(), revision, true);
    }
}
