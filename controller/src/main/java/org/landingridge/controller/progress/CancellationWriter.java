package org.landingridge.controller.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.Document;
import org.landingridge.controller.store.Keys;

/**
 * Stores the cancellations of jobs that await a cancelled job. No user request depends on these writes, because every controller
 * derives such a cancellation from the key of the awaited job. Once they are stored, the awaited job may move to the history.
 */
public final class CancellationWriter {
    private final BatchWriter writer;
    private final JobTable jobTable;
    private final Set<Job> markedJobs = new HashSet<>();

    /** Creates a writer for the cancellations that the table derives. */
    public CancellationWriter(BatchWriter writer, JobTable jobTable) {
        this.writer = writer;
        this.jobTable = jobTable;
    }

    /** Marks every derived cancellation that is not stored yet for writing. */
    public void markUnpersisted() {
        markedJobs.retainAll(jobTable.terminatedJobs().unpersisted());
        for (Job job : jobTable.terminatedJobs().unpersisted()) {
            if (markedJobs.add(job)) {
                writer.mark(new Cancellation(job));
            }
        }
    }

    private final class Cancellation implements Document {
        private final Job job;

        Cancellation(Job job) {
            this.job = job;
        }

        @Override
        public String key() {
            return Keys.JOBS + job.id();
        }

        @Override
        public JsonNode render() {
            return StoredJobCodec.terminated(job, Job.Status.CANCELLED);
        }

        @Override
        public void stored(long revision) {
            jobTable.terminatedJobs().markPersisted(job);
        }

        /** Ranks after all writes that a user or a worker waits for. */
        @Override
        public int rank() {
            return 7;
        }

        @Override
        public boolean isNeeded() {
            return jobTable.terminatedJobs().unpersisted().contains(job);
        }
    }
}
