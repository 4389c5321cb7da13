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
 * Stores finished tasks, many jobs' bits to one value. A job's end takes the place of its last bits; only once that is stored
 * the job is done.
 */
public final class CompletionStore {
    /** Notified of what has been stored. */
    public interface Events {
        /** It is stored that the task has finished. */
        void stored(Task task);

        /** It is stored, at the revision, that the job is done. */
        void done(Job job, long revision);
    }

    /** Of the keys of pages, after the root. */
    public static final String PREFIX = "done/";

    private static final Logger LOG = LoggerFactory.getLogger(CompletionStore.class);
    /** The share of a value's size that may be filled with what the chunks may come to take. */
    private static final double FILL = 0.85;

    private final String jobRoot;
    private final BatchWriter writer;
    private final Events events;
    private final PageTable<CompletionPage> pages;
    /** Finished tasks by the chunk's name, counted from its first task. */
    private final Map<String, BitSet> chunks = new HashMap<>();

    /**
     * A store without finished tasks.
     *
     * @param root       of the keys of pages
     * @param jobRoot    of the jobs' keys
     * @param valueBytes what the state service takes for a value
     */
    public CompletionStore(String root, String jobRoot, BatchWriter writer, int valueBytes, Events events) {
        this.jobRoot = jobRoot;
        this.writer = writer;
        this.events = events;
        this.pages = new PageTable<>(root + PREFIX, (int) (valueBytes * FILL), CompletionPage::new, writer);
    }

    /** Tells the table which tasks are finished by a stored page. */
    public static void read(JsonNode page, JobTable table) {
        if (page == null) {
            return;
        }
        for (Map.Entry<String, JsonNode> chunk : page.properties()) {
            String name = chunk.getKey();
            String jobId = CompletionPageCodec.jobId(name);
            if (jobId != null && chunk.getValue().isTextual()) {
                try {
                    int firstTask = CompletionPageCodec.firstTask(name);
                    table.done(jobId, firstTask, CompletionPageCodec.bits(chunk.getValue()));
                } catch (IllegalArgumentException e) {
                    // A finished task ends at once where it is started again: its result is kept.
                    LOG.error("finished tasks unreadable, they are started again: chunk={}", name);
                }
            }
        }
    }

    /** Takes a page of an earlier leader over; jobs that have ended drop out with the page's next write. */
    public void takeOver(String key, JsonNode value, JobTable table) {
        CompletionPage page = pages.open(key);
        for (Map.Entry<String, JsonNode> chunk : value.properties()) {
            String jobId = CompletionPageCodec.jobId(chunk.getKey());
            Job job = jobId == null ? null : table.get(jobId);
            if (job != null && job.active()) {
                takeOver(page, job, chunk.getKey(), chunk.getValue());
            }
        }
    }

    private void takeOver(CompletionPage page, Job job, String name, JsonNode bits) {
        if (pages.of(name) == null) {
            pages.put(name, CompletionPageCodec.maxBytes(job.id(), job.tasks()), page);
        } else {
            // An earlier leader ended between the two steps of a split: the chunk stays where it was found first.
            writer.mark(pages.of(name));
            writer.mark(page);
        }
        try {
            chunks.computeIfAbsent(name, chunk -> new BitSet()).or(CompletionPageCodec.bits(bits));
        } catch (IllegalArgumentException e) {
            LOG.error("finished tasks unreadable: chunk={} page={}", name, page.key());
        }
    }

    /**
     * A job all of whose tasks are stored as finished, but not its end: no task will finish any more, so its end is
     * written now or never.
     */
    public void takeOver(ActiveJob job) {
        if (job.count(Task.State.DONE) == job.size()) {
            writer.mark(new JobCompletion(job));
        }
    }

    /** A task has finished: it will be stored with the next group. */
    public void finished(Task task) {
        ActiveJob job = task.job();
        int finished = job.count(Task.State.FINISHED) + job.count(Task.State.DONE);
        if (finished == job.size()) {
            writer.mark(new JobCompletion(job));
            return;
        }
        String chunk = CompletionPageCodec.chunkName(job.id(), task.index() / CompletionPageCodec.CHUNK_TASKS);
        CompletionPage page = pages.put(chunk, CompletionPageCodec.maxBytes(job.id(), job.size()));
        chunks.computeIfAbsent(chunk, c -> new BitSet()).set(task.index() % CompletionPageCodec.CHUNK_TASKS);
        page.added.add(task);
        writer.mark(page);
    }

    /** The job has ended: its bits are of no use any more, and go with the page's next write. */
    public void ended(ActiveJob job) {
        for (int chunk = 0; chunk <= job.size() / CompletionPageCodec.CHUNK_TASKS; chunk++) {
            String name = CompletionPageCodec.chunkName(job.id(), chunk);
            pages.remove(name);
            chunks.remove(name);
        }
    }

    /** Pages that were filled up to a larger limit are split. */
    public void splitOversized() {
        pages.splitOversized();
    }

    /** A stored value of many jobs' chunks. */
    private final class CompletionPage extends Page {
        /** Finished since the page was last rendered. */
        private List<Task> added = new ArrayList<>();
        /** In the write that is on its way. */
        private List<Task> rendered = new ArrayList<>();

        CompletionPage(String key) {
            super(key);
        }

        @Override
        public JsonNode render() {
            rendered.addAll(added);
            added = new ArrayList<>();
            // An empty page is deleted: the number of pages follows the load.
            return names().isEmpty() ? null : CompletionPageCodec.page(names(), chunks);
        }

        @Override
        public void stored(long revision) {
            super.stored(revision);
            List<Task> tasks = rendered;
            rendered = new ArrayList<>();
            for (Task task : tasks) {
                Job job = task.job().job();
                if (job.active()) {
                    job.done().set(task.index());
                }
                events.stored(task);
            }
        }

        @Override
        public int rank() {
            return 4;
        }
    }

    /** The end of a job all of whose tasks have finished. */
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
            for (Task task : job.touched()) {
                events.stored(task);
            }
            events.done(job.job(), revision);
        }

        @Override
        public int rank() {
            return 1;
        }

        /** Done and cancelled exclude each other: a cancellation that came first wins. */
        @Override
        public boolean wanted() {
            return job.job().active();
        }
    }
}
