package org.landingridge.controller.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.fleet.LiveJob;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.store.Document;
import org.landingridge.controller.store.GroupWriter;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finished tasks, written in groups: many jobs' bits to one stored value. A job's end takes the place of its last
 * bits; only then is it called done.
 */
public final class Progress {
    /** What the progress tells the rest of the reign. */
    public interface Events {
        void stored(Task task);

        void done(Job job, long revision);
    }

    public static final String PREFIX = "done/";
    private static final Logger LOG = LoggerFactory.getLogger(Progress.class);
    /** Tasks to one chunk, so that the largest job's bits fit values of the smallest size. */
    private static final int CHUNK = 4096;
    private final String root;
    private final String jobRoot;
    private final GroupWriter writer;
    private final Events events;
    private final int pageBytes;
    private final List<Page> pages = new ArrayList<>();
    private final Map<String, Page> pageOf = new HashMap<>();

    public Progress(String root, String jobRoot, GroupWriter writer, double valueKb, Events events) {
        this.root = root;
        this.jobRoot = jobRoot;
        this.writer = writer;
        this.events = events;
        this.pageBytes = (int) (valueKb * 1024 * 0.85);
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
                    table.done(e.getKey().substring(0, hash), Integer.parseInt(e.getKey().substring(hash + 1)) * CHUNK, bits(e));
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
        Page page = new Page(key);
        pages.add(page);
        value.fields().forEachRemaining(e -> {
            int hash = e.getKey().lastIndexOf('#');
            Job job = hash > 0 ? table.get(e.getKey().substring(0, hash)) : null;
            if (job != null && job.active()) {
                try {
                    page.chunks.put(e.getKey(), bits(e));
                } catch (IllegalArgumentException x) {
                    page.chunks.put(e.getKey(), new BitSet());
                }
                page.bytes += size(job.id(), job.tasks());
                pageOf.put(e.getKey(), page);
            }
        });
    }

    /**
     * A job all of whose tasks are stored as finished, but not its end: no task will finish any more, so its end is
     * written now or never.
     */
    public void takeOver(LiveJob job) {
        if (job.count(Task.State.DONE) == job.size()) {
            writer.mark(new End(job));
        }
    }

    /** A task has finished: it will be stored with the next group. */
    public void finished(Task task) {
        LiveJob job = task.job();
        int over = job.count(Task.State.FINISHED) + job.count(Task.State.DONE);
        if (over == job.size()) {
            writer.mark(new End(job));
            return;
        }
        String chunk = job.id() + '#' + task.index() / CHUNK;
        Page page = pageOf.get(chunk);
        if (page == null) {
            int size = size(job.id(), job.size());
            page = pages.stream().filter(p -> p.bytes + size < pageBytes).findFirst().orElse(null);
            if (page == null) {
                int n = 0;
                while (taken(root + PREFIX + n)) {
                    n++;
                }
                page = new Page(root + PREFIX + n);
                pages.add(page);
            }
            page.chunks.put(chunk, new BitSet());
            page.bytes += size;
            pageOf.put(chunk, page);
        }
        page.chunks.get(chunk).set(task.index() % CHUNK);
        page.fresh.add(task);
        writer.mark(page);
    }

    /** The job is over: its bits are of no use any more, and go with the page's next write. */
    public void ended(LiveJob job) {
        for (int c = 0; c <= job.size() / CHUNK; c++) {
            Page page = pageOf.remove(job.id() + '#' + c);
            if (page != null) {
                page.chunks.remove(job.id() + '#' + c);
                page.bytes -= size(job.id(), job.size());
            }
        }
    }

    /** Bytes that a chunk may take in its page: its name, and six bits of it to a character. */
    private static int size(String job, int tasks) {
        return 24 + job.length() + Math.min(CHUNK, tasks) / 6;
    }

    private boolean taken(String key) {
        return pages.stream().anyMatch(p -> p.key.equals(key));
    }

    private final class Page implements Document {
        private final String key;
        private final Map<String, BitSet> chunks = new LinkedHashMap<>();
        /** What the chunks may take once all their bits are set. */
        private int bytes;
        private List<Task> fresh = new ArrayList<>();
        private List<Task> rendered = new ArrayList<>();

        Page(String key) {
            this.key = key;
        }

        @Override
        public String key() {
            return key;
        }

        @Override
        public JsonNode render() {
            rendered.addAll(fresh);
            fresh = new ArrayList<>();
            if (chunks.isEmpty()) {
                // No page outlives the load that it was made for.
                return null;
            }
            ObjectNode n = Json.object();
            chunks.forEach((name, bits) -> n.put(name, Base64.getEncoder().encodeToString(bits.toByteArray())));
            return n;
        }

        @Override
        public void stored(long revision) {
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
        private final LiveJob job;

        End(LiveJob job) {
            this.job = job;
        }

        @Override
        public String key() {
            return jobRoot + job.id();
        }

        @Override
        public JsonNode render() {
            return JobTable.ended(job.job(), Job.Status.DONE);
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
