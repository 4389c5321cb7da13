package org.landingridge.controller.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.fleet.ActiveJob;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.Document;
import org.landingridge.controller.store.Page;
import org.landingridge.controller.store.PageTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores which tasks have finished, as bits of many jobs in one value. When the last task of a job finishes, the job's
 * completion is stored instead of the remaining bits; the job counts as done only once its completion is stored.
 */
public final class CompletionStore {
    /** Receives what has been stored. */
    public interface Events {
        /** Called when it is stored that the task has finished. */
        void finishedTaskStored(Task task);

        /** Called when the job's completion is stored, at this revision. */
        void completionStored(Job job, long revision);
    }

    /** Prefix of the pages' keys, relative to the root. */
    public static final String PREFIX = "done/";

    private static final Logger LOG = LoggerFactory.getLogger(CompletionStore.class);
    /** Share of the value size limit that the maximum sizes of a page's chunks may fill. */
    private static final double MAX_FILL_SHARE = 0.85;

    private final String jobRoot;
    private final BatchWriter writer;
    private final Events events;
    private final PageTable<CompletionPage> pages;
    /** Finished tasks by chunk name, as indexes relative to the chunk's first task. */
    private final Map<String, BitSet> finishedByChunk = new HashMap<>();

    /**
     * Creates a store without finished tasks.
     *
     * @param root          root of the pages' keys
     * @param jobRoot       prefix of the jobs' keys
     * @param maxValueBytes size limit of a value in the state service, in bytes
     */
    public CompletionStore(String root, String jobRoot, BatchWriter writer, int maxValueBytes, Events events) {
        this.jobRoot = jobRoot;
        this.writer = writer;
        this.events = events;
        this.pages =
                new PageTable<>(root + PREFIX, (int) (maxValueBytes * MAX_FILL_SHARE), CompletionPage::new, writer);
    }

    /** Marks the tasks that a stored page lists as finished in the job table. */
    public static void markFinishedTasks(JsonNode page, JobTable jobTable) {
        if (page == null) {
            return;
        }
        for (Map.Entry<String, JsonNode> chunk : page.properties()) {
            String chunkName = chunk.getKey();
            String jobId = CompletionPageCodec.jobId(chunkName);
            if (jobId != null && chunk.getValue().isTextual()) {
                try {
                    int firstTask = CompletionPageCodec.firstTask(chunkName);
                    jobTable.markTasksFinished(jobId, firstTask, CompletionPageCodec.decodeChunk(chunk.getValue()));
                } catch (IllegalArgumentException e) {
                    // Harmless: a finished task that is started again ends immediately, because its result is kept.
                    LOG.error("finished tasks unreadable and started again, chunk={}", chunkName);
                }
            }
        }
    }

    /** Takes over a page of an earlier leader. Chunks of ended jobs are dropped with the page's next write. */
    public void takeOver(String key, JsonNode value, JobTable jobTable) {
        CompletionPage page = pages.addPage(key);
        for (Map.Entry<String, JsonNode> chunk : value.properties()) {
            String jobId = CompletionPageCodec.jobId(chunk.getKey());
            Job job = jobId == null ? null : jobTable.get(jobId);
            if (job != null && job.isActive()) {
                takeOverChunk(page, job, chunk.getKey(), chunk.getValue());
            }
        }
    }

    private void takeOverChunk(CompletionPage page, Job job, String chunkName, JsonNode encodedBits) {
        if (pages.pageOf(chunkName) == null) {
            pages.put(chunkName, CompletionPageCodec.maxChunkBytes(job.id(), job.tasks()), page);
        } else {
            // An earlier leader stopped between the two steps of a split: the chunk stays in the page that was read
            // first.
            writer.mark(pages.pageOf(chunkName));
            writer.mark(page);
        }
        try {
            finishedByChunk
                    .computeIfAbsent(chunkName, key -> new BitSet())
                    .or(CompletionPageCodec.decodeChunk(encodedBits));
        } catch (IllegalArgumentException e) {
            LOG.error("finished tasks unreadable, chunk={} page={}", chunkName, page.key());
        }
    }

    /**
     * Takes over a job. If all its tasks are stored as finished but its completion is not, the completion is written now: no
     * later task completion would trigger the write.
     */
    public void takeOver(ActiveJob job) {
        if (job.count(Task.State.DONE) == job.taskCount()) {
            writer.mark(new JobCompletion(job));
        }
    }

    /** Records that a task has finished. It is stored with one of the next batches. */
    public void recordFinished(Task task) {
        ActiveJob job = task.job();
        int finishedTasks = job.count(Task.State.FINISHED) + job.count(Task.State.DONE);
        if (finishedTasks == job.taskCount()) {
            writer.mark(new JobCompletion(job));
            return;
        }
        String chunkName = CompletionPageCodec.chunkName(job.id(), task.index() / CompletionPageCodec.CHUNK_TASKS);
        CompletionPage page = pages.put(chunkName, CompletionPageCodec.maxChunkBytes(job.id(), job.taskCount()));
        finishedByChunk
                .computeIfAbsent(chunkName, key -> new BitSet())
                .set(task.index() % CompletionPageCodec.CHUNK_TASKS);
        page.unrendered.add(task);
        writer.mark(page);
    }

    /** Drops the chunks of a job that has ended. They are removed from the store with the page's next write. */
    public void dropChunks(ActiveJob job) {
        for (int chunk = 0; chunk <= job.taskCount() / CompletionPageCodec.CHUNK_TASKS; chunk++) {
            String chunkName = CompletionPageCodec.chunkName(job.id(), chunk);
            pages.remove(chunkName);
            finishedByChunk.remove(chunkName);
        }
    }

    /** Splits pages that were filled under a larger size limit. */
    public void splitOversized() {
        pages.splitOversized();
    }

    /** A page that contains chunks of many jobs. */
    private final class CompletionPage extends Page {
        /** Tasks that have finished since the page was last rendered. */
        private List<Task> unrendered = new ArrayList<>();
        /** Tasks that were rendered and are not confirmed as stored yet. */
        private List<Task> unconfirmed = new ArrayList<>();

        CompletionPage(String key) {
            super(key);
        }

        @Override
        public JsonNode render() {
            unconfirmed.addAll(unrendered);
            unrendered = new ArrayList<>();
            // An empty page is deleted, so that the number of pages shrinks with the load.
            return rowNames().isEmpty() ? null : CompletionPageCodec.encodePage(rowNames(), finishedByChunk);
        }

        @Override
        public void stored(long revision) {
            super.stored(revision);
            List<Task> storedTasks = unconfirmed;
            unconfirmed = new ArrayList<>();
            for (Task task : storedTasks) {
                Job job = task.job().job();
                if (job.isActive()) {
                    job.finishedTasks().set(task.index());
                }
                events.finishedTaskStored(task);
            }
        }

        @Override
        public int rank() {
            return 4;
        }
    }

    /** The stored completion of a job, written once all its tasks have finished. */
    private final class JobCompletion implements Document {
        private final ActiveJob job;

        JobCompletion(ActiveJob job) {
            this.job = job;
        }

        @Override
        public String key() {
            return jobRoot + job.id();
        }

        @Override
        public JsonNode render() {
            return StoredJobCodec.terminated(job.job(), Job.Status.DONE);
        }

        @Override
        public void stored(long revision) {
            for (Task task : job.trackedTasks()) {
                events.finishedTaskStored(task);
            }
            events.completionStored(job.job(), revision);
        }

        @Override
        public int rank() {
            return 1;
        }

        /** A job ends as either done or cancelled: an earlier cancellation wins. */
        @Override
        public boolean isNeeded() {
            return job.job().isActive();
        }
    }
}
