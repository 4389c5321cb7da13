package org.landingridge.controller.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
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
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finished tasks, written in groups: many jobs' bits to one stored value. A job's end takes the place of its last
 * bits; only then is it called done.
 */
public final class Progress {
    /** What the progress tells the rest of the leader term. */
    public interface Events {
        void stored(Task task);

        void done(Job job, long revision);
    }

    public static final String PREFIX = "done/";
    private static final Logger LOG = LoggerFactory.getLogger(Progress.class);
    /** Tasks to one chunk, so that the largest job's bits fit values of the smallest size. */
    private static final int CHUNK = 4096;
    /** Of a value so much is filled with what the chunks may come to take. */
    private static final double FILL = 0.85;

    private final String jobRoot;
    private final BatchWriter writer;
    private final Events events;
    private final PageTable<ChunkPage> pages;
    /** Finished tasks by chunk, the first of which has the offset 0. */
    private final Map<String, BitSet> chunks = new HashMap<>();

    /** @param valueBytes what the state service takes for a value */
    public Progress(String root, String jobRoot, BatchWriter writer, int valueBytes, Events events) {
        this.jobRoot = jobRoot;
        this.writer = writer;
        this.events = events;
        this.pages = new PageTable<>(root + PREFIX, (int) (valueBytes * FILL), ChunkPage::new, writer);
    }

    /** A page as the mirror sees it: tells the table which tasks are done. */
    public static void read(JsonNode page, JobTable table) {
        if (page == null) {
            return;
        }
        page.fields().forEachRemaining(e -> {
            int hash = e.getKey().lastIndexOf('#');
            if (hash > 0 && e.getValue().isTextual()) {
                try {
                    table.done(
                            e.getKey().substring(0, hash),
                            Integer.parseInt(e.getKey().substring(hash + 1)) * CHUNK,
                            bits(e));
                } catch (IllegalArgumentException x) {
                    // What had finished ends at once where it is started again: its result is kept.
                    LOG.error("the finished tasks of {} cannot be read: they are asked for again", e.getKey());
                }
            }
        });
    }

    private static BitSet bits(Map.Entry<String, JsonNode> e) {
        return BitSet.valueOf(Base64.getDecoder().decode(e.getValue().asText()));
    }

    public void takeOver(String key, JsonNode value, JobTable table) {
        ChunkPage page = pages.open(key);
        value.fields().forEachRemaining(e -> {
            int hash = e.getKey().lastIndexOf('#');
            Job job = hash > 0 ? table.get(e.getKey().substring(0, hash)) : null;
            if (job != null && job.active()) {
                if (pages.of(e.getKey()) == null) {
                    pages.put(e.getKey(), size(job.id(), job.tasks()), page);
                } else {
                    // A leader ended between the two steps of a split: the chunk stays where it was found first.
                    writer.mark(pages.of(e.getKey()));
                    writer.mark(page);
                }
                try {
                    chunks.computeIfAbsent(e.getKey(), c -> new BitSet()).or(bits(e));
                } catch (IllegalArgumentException x) {
                    LOG.error("{} cannot be read in {}", e.getKey(), key);
                }
            }
        });
    }

    /**
     * A job all of whose tasks are stored as finished, but not its end: no task will finish any more, so its end is
     * written now or never.
     */
    public void takeOver(ActiveJob job) {
        if (job.count(Task.State.DONE) == job.size()) {
            writer.mark(new End(job));
        }
    }

    /** A task has finished: it will be stored with the next group. */
    public void finished(Task task) {
        ActiveJob job = task.job();
        int over = job.count(Task.State.FINISHED) + job.count(Task.State.DONE);
        if (over == job.size()) {
            writer.mark(new End(job));
            return;
        }
        String chunk = job.id() + '#' + task.index() / CHUNK;
        ChunkPage page = pages.put(chunk, size(job.id(), job.size()));
        chunks.computeIfAbsent(chunk, c -> new BitSet()).set(task.index() % CHUNK);
        page.fresh.add(task);
        writer.mark(page);
    }

    /** The job is over: its bits are of no use any more, and go with the page's next write. */
    public void ended(ActiveJob job) {
        for (int c = 0; c <= job.size() / CHUNK; c++) {
            pages.remove(job.id() + '#' + c);
            chunks.remove(job.id() + '#' + c);
        }
    }

    /** Bytes that a chunk may take in its page: its name, and six bits of it to a character. */
    private static int size(String job, int tasks) {
        return 24 + job.length() + Math.min(CHUNK, tasks) / 6;
    }

    /** Pages that were filled up to a larger limit are split. */
    public void splitOversized() {
        pages.splitOversized();
    }

    private final class ChunkPage extends Page {
        private List<Task> fresh = new ArrayList<>();
        private List<Task> rendered = new ArrayList<>();

        ChunkPage(String key) {
            super(key);
        }

        @Override
        public JsonNode render() {
            rendered.addAll(fresh);
            fresh = new ArrayList<>();
            if (names().isEmpty()) {
                // No page outlives the load that it was made for.
                return null;
            }
            ObjectNode n = Json.object();
            names().forEach(name -> n.put(
                    name, Base64.getEncoder().encodeToString(chunks.get(name).toByteArray())));
            return n;
        }

        @Override
        public void stored(long revision) {
            super.stored(revision);
            List<Task> done = rendered;
            rendered = new ArrayList<>();
            for (Task t : done) {
                if (t.job().job().active()) {
                    t.job().job().done().set(t.index());
                }
                events.stored(t);
            }
        }

        @Override
        public int rank() {
            return 4;
        }
    }

    /** The end of a job all of whose tasks have finished. */
    private final class End implements Document {
        private final ActiveJob job;

        End(ActiveJob job) {
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
            for (Task t : job.touched()) {
                events.stored(t);
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
