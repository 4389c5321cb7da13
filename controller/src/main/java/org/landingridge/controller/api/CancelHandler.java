package org.landingridge.controller.api;

import java.util.List;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.Http.Exchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Cancels jobs by a compare-and-set that replaces the stored description of the job by a cancellation record. */
final class CancelHandler {
    private static final Logger LOG = LoggerFactory.getLogger(CancelHandler.class);
    private static final int MAX_ATTEMPTS = 4;

    private final StateClient client;
    private final WatchCache watchCache;
    private final JobTable table;
    private final JobLookup lookup;
    private final JobResponses responses;

    CancelHandler(JobService.Dependencies dependencies, JobResponses responses) {
        this.client = dependencies.client();
        this.watchCache = dependencies.watchCache();
        this.table = dependencies.table();
        this.lookup = dependencies.lookup();
        this.responses = responses;
    }

    void cancel(Exchange exchange, String id) {
        tryCancel(exchange, id, 0);
    }

    private void tryCancel(Exchange exchange, String id, int attempts) {
        lookup.find(id, new JobLookup.Callback() {
            @Override
            public void active(Job job) {
                if (attempts >= MAX_ATTEMPTS) {
                    responses.unavailable(exchange, "the state service does not answer");
                } else {
                    storeCancellation(exchange, job, attempts);
                }
            }

            @Override
            public void terminated(TerminatedJob terminatedJob) {
                responses.finalStatus(exchange, id, terminatedJob.status());
            }

            @Override
            public void absent() {
                responses.notFound(exchange);
            }

            @Override
            public void unavailable(String reason) {
                responses.unavailable(exchange, reason);
            }
        });
    }

    private void storeCancellation(Exchange exchange, Job job, int attempts) {
        String key = Keys.JOBS + job.id();
        List<Guard> guards = List.of(new Guard(key, watchCache.version(key)));
        List<Write> writes = List.of(new Write(key, StoredJobCodec.terminated(job, Job.Status.CANCELLED), 0));
        client.commit(guards, writes, answer -> {
            if (answer.ok()) {
                recordCancelled(exchange, job, answer.revision());
            } else if (answer.status() == Status.CONFLICT || answer.status() == Status.UNKNOWN) {
                tryCancel(exchange, job.id(), attempts + 1);
            } else {
                responses.unavailable(exchange, "the state service refused the write");
            }
        });
    }

    private void recordCancelled(Exchange exchange, Job job, long revision) {
        watchCache.recordCommitted(Keys.JOBS + job.id(), revision);
        table.end(job, Job.Status.CANCELLED, job.tasks(), revision, true);
        LOG.info("job cancelled, job={}", job.id());
        responses.finalStatus(exchange, job.id(), Job.Status.CANCELLED);
    }
}
