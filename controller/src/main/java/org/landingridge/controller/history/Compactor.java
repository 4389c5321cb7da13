package org.landingridge.controller.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.controller.upgrade.Capabilities;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves ended jobs from keys of their own, which every controller mirrors, to segments of the history. A move is one
 * transaction: it deletes the jobs' keys and puts their segment, conditional on the leader's key and on the version of
 * each. So at every revision each job is in one of the two places; a move of a leader of the past, one that arrives late
 * and the second of two change nothing; and after an unknown outcome what holds is read, and the next move is thought
 * out anew from that.
 */
public final class Compactor {
    /** What the rest of the leader term knows and the compactor must heed. */
    public interface Owner {
        boolean mayAct();

        /** True while the leader has something else to write, or does not know yet what is on its machines. */
        boolean busy();

        /**
         * Jobs whose ends have to stay where every controller reads them at its start: something of them is, or may be, on a
         * machine, or a job names them that has not ended. The caller may change the set.
         */
        Set<String> needed();
    }

    /**
     * IDLE: nothing to do, or no leave to do it. SCANNING: looking for ended jobs that are not in the table. READING: the
     * segment is asked for. WRITING: the transaction is out. SETTLING: waiting until the mirror shows what holds. PAUSED:
     * the state service refused. CLOSED: the leader term is over.
     */
    private enum State {
        IDLE,
        SCANNING,
        READING,
        WRITING,
        SETTLING,
        PAUSED,
        CLOSED
    }

    private static final Logger LOG = LoggerFactory.getLogger(Compactor.class);
    private static final long IDLE_MS = 1_000;
    /** No job is moved sooner after its end: what is still said of it over old paths has arrived by then. */
    private static final long MIN_AGE_MS = 30_000;
    /** So many of the jobs that ended last stay where a poll finds them at once. */
    private static final int KEPT = 256;

    private static final long FIRST_PAUSE_MS = 2_000;
    private static final long LONGEST_PAUSE_MS = 60_000;
    private static final int SCAN_PAGE = 100;
    private static final long SCAN_PAUSE_MS = 300;
    /** After a scan that found nothing to move. */
    private static final long RESCAN_MS = 60_000;

    private static final int MOST_STRAYS = 500;
    /** While users' submissions take more than this share of the change rate, nothing is moved. */
    private static final double CROWDED = 0.5;

    private static final double LOAD_WINDOW_S = 2;

    /** An ended job that may be moved. */
    private record Candidate(String id, long version, TerminatedJob ended) {}

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final JobTable table;
    private final History history;
    private final Capabilities capabilities;
    private final Metrics metrics;
    private final Owner owner;
    private final LongSupplier leaderVersion;
    private final int valueBytes;
    private final double writeRps;
    private final double share;
    /** Ended jobs that the table has no room for, found by a scan of their keys. */
    private final Map<String, Candidate> strays = new LinkedHashMap<>();
    /** Segments that could not be read in this leader term: their jobs stay where they are. */
    private final Set<String> unreadable = new HashSet<>();
    /** Jobs that stand in both places with different ends. */
    private final Set<String> contradicted = new HashSet<>();
    /** Segments that would grow beyond what the state service takes: their jobs stay under keys of their own. */
    private final Set<String> full = new HashSet<>();

    private State state = State.IDLE;
    private int maxOps;
    private String scanFrom;
    private long scanNotBefore;
    private boolean strayInPass;
    private int droppedAtStart;
    private long nextAllowed;
    private long pauseMs = FIRST_PAUSE_MS;
    private double load;
    private long loadAt;
    private boolean waitsForUpgrade;

    /**
     * @param leaderVersion version of the leader's key, or 0 while this process may not write
     * @param limits   of the state service
     * @param share    of those, what this may use; 0: nothing is moved
     */
    public Compactor(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            JobTable table,
            History history,
            Capabilities capabilities,
            Metrics metrics,
            Owner owner,
            LongSupplier leaderVersion,
            Settings.State limits,
            double share) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.table = table;
        this.history = history;
        this.capabilities = capabilities;
        this.metrics = metrics;
        this.owner = owner;
        this.leaderVersion = leaderVersion;
        this.maxOps = limits.txnOps();
        this.valueBytes = limits.valueBytes();
        this.writeRps = limits.writeRps();
        this.share = share;
    }

    public void start() {
        loadAt = loop.now();
        if (share > 0 && maxOps >= 2) {
            loop.after(IDLE_MS, this::step);
        }
    }

    public void close() {
        to(State.CLOSED);
    }

    /** A user's change went through: it and its like come first. */
    public void noted() {
        decay();
        load++;
    }

    private void decay() {
        long now = loop.now();
        load *= Math.exp(-(now - loadAt) / 1000.0 / LOAD_WINDOW_S);
        loadAt = now;
    }

    private boolean crowded() {
        decay();
        return load / LOAD_WINDOW_S > CROWDED * writeRps;
    }

    /** The only place where the state changes; nothing follows CLOSED. */
    private boolean to(State next) {
        if (state == State.CLOSED) {
            return false;
        }
        state = next;
        return true;
    }

    private void idle(long forMs) {
        if (to(State.IDLE)) {
            loop.after(Math.max(forMs, nextAllowed - loop.now()), this::step);
        }
    }

    private void step() {
        if (state == State.CLOSED) {
            return;
        }
        if (!owner.mayAct() || owner.busy() || crowded() || !allKnow()) {
            idle(IDLE_MS);
            return;
        }
        Map<String, List<Candidate>> batch = batch();
        if (!batch.isEmpty()) {
            read(batch, new HashMap<>());
        } else if (table.terminated().partial() && strays.size() < MOST_STRAYS && loop.now() >= scanNotBefore) {
            scan();
        } else {
            idle(IDLE_MS);
        }
    }

    private boolean allKnow() {
        List<String> unknowing = capabilities.unaware(Capabilities.Feature.HISTORY);
        if (!unknowing.isEmpty() != waitsForUpgrade) {
            waitsForUpgrade = !waitsForUpgrade;
            if (waitsForUpgrade) {
                LOG.info(
                        "ended jobs stay where they are until these run a version that knows the history: {}",
                        unknowing);
            }
        }
        return unknowing.isEmpty();
    }

    /**
     * As many jobs as a transaction takes, by segment, those first that ended first. Ids that follow each other share a
     * segment, and then seven go at once; where each has its own, four do.
     */
    private Map<String, List<Candidate>> batch() {
        long now = loop.now();
        Map<String, List<Candidate>> batch = new LinkedHashMap<>();
        int surplus = table.terminated().all().size() - KEPT;
        // A few more are waited for: each transaction wakes every controller's watch, however little it moves.
        if (surplus < maxOps / 2 && strays.isEmpty()) {
            return batch;
        }
        Set<String> held = owner.needed();
        held.addAll(contradicted);
        int ops = 0;
        for (Candidate c : strays.values()) {
            if (!held.contains(c.id)) {
                ops += add(batch, c, maxOps - ops);
            }
        }
        for (Job job : table.terminated().all()) {
            if (ops >= maxOps || now - job.endedAt() < MIN_AGE_MS) {
                break;
            }
            long version = watchCache.version(Keys.JOBS + job.id());
            // What is not in the mirror yet may name the job: a move is thought out on all that came before its end.
            if (version > watchCache.revision()
                    || table.terminated().unpersisted().contains(job)) {
                continue;
            }
            boolean due = surplus-- > 0
                    || batch.containsKey(SegmentAddress.of(job.id()).key());
            if (due && version > 0 && !held.contains(job.id()) && !strays.containsKey(job.id())) {
                ops += add(
                        batch,
                        new Candidate(job.id(), version, new TerminatedJob(job.status(), job.tasks())),
                        maxOps - ops);
            }
        }
        return batch;
    }

    /** Takes the job into the batch where there is room for it; returns how many puts and deletes it takes. */
    private int add(Map<String, List<Candidate>> batch, Candidate c, int room) {
        String key = SegmentAddress.of(c.id).key();
        int ops = batch.containsKey(key) ? 1 : 2;
        if (ops > room || unreadable.contains(key) || full.contains(key)) {
            return 0;
        }
        batch.computeIfAbsent(key, k -> new ArrayList<>()).add(c);
        return ops;
    }

    /** Reads the batch's segments, one after the other; those that cannot be read drop out with their jobs. */
    private void read(Map<String, List<Candidate>> batch, Map<String, History.Found> read) {
        to(State.READING);
        String key = batch.keySet().stream()
                .filter(k -> !read.containsKey(k))
                .findFirst()
                .orElse(null);
        if (key == null) {
            write(batch, read);
            return;
        }
        history.find(batch.get(key).get(0).id, found -> {
            if (state != State.READING) {
                return;
            }
            switch (found.outcome()) {
                case READ -> {
                    read.put(key, found);
                    read(batch, read);
                }
                case UNREADABLE -> {
                    unreadable.add(key);
                    batch.remove(key).forEach(c -> strays.remove(c.id));
                    read(batch, read);
                }
                case UNAVAILABLE -> pause();
            }
        });
    }

    private void write(Map<String, List<Candidate>> batch, Map<String, History.Found> read) {
        long leader = leaderVersion.getAsLong();
        List<Guard> guards = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        List<Candidate> moved = new ArrayList<>();
        guards.add(new Guard(Keys.LEADER, leader));
        batch.forEach((key, candidates) -> {
            Segment before = read.get(key).segment();
            Map<Integer, TerminatedJob> moving = new LinkedHashMap<>();
            for (Candidate c : candidates) {
                TerminatedJob there = before.get(SegmentAddress.of(c.id).offset());
                if (there != null && !there.equals(c.ended)) {
                    // Two ends of one job: whichever users were told, nothing here may choose between them.
                    LOG.error("{} has ended {} by its key and {} by segment {}: both stay", c.id, c.ended, there, key);
                    contradicted.add(c.id);
                    continue;
                }
                moving.put(SegmentAddress.of(c.id).offset(), c.ended);
                moved.add(c);
                guards.add(new Guard(Keys.JOBS + c.id, c.version));
                writes.add(new Write(Keys.JOBS + c.id, null, 0));
            }
            if (!moving.isEmpty()) {
                guards.add(new Guard(key, read.get(key).version()));
                writes.add(new Write(key, before.with(moving).json(), 0));
            }
        });
        if (setFullAside(writes)) {
            idle(0);
            return;
        }
        if (leader == 0 || writes.isEmpty()) {
            idle(IDLE_MS);
            return;
        }
        to(State.WRITING);
        nextAllowed = loop.now() + Math.round(1000 * writes.size() / (share * writeRps));
        client.commit(guards, writes, answer -> {
            if (state == State.WRITING) {
                committed(moved, answer);
            }
        });
    }

    /** True if a segment would grow too large: it takes no more jobs, and the batch has to be thought out anew without it. */
    private boolean setFullAside(List<Write> writes) {
        boolean some = false;
        for (Write w : writes) {
            if (w.value() != null && Json.bytes(w.value()).length > valueBytes) {
                LOG.warn(
                        "{} has no room for more jobs within {} bytes: its other jobs keep their own keys",
                        w.key(),
                        valueBytes);
                full.add(w.key());
                some = true;
            }
        }
        strays.keySet().removeIf(id -> full.contains(SegmentAddress.of(id).key()));
        return some;
    }

    private void committed(List<Candidate> batch, Answer answer) {
        switch (answer.status()) {
            case OK -> {
                pauseMs = FIRST_PAUSE_MS;
                metrics.moved.increment(batch.size());
                LOG.debug("{} ended jobs moved into the history", batch.size());
                settle(batch);
            }
            // Refused as a whole, for want of rate or in an outage: whoever else wants to write goes first.
            case REFUSED -> pause();
            case INVALID -> {
                // The state service takes less than its announced limits: asked for the same again, it would refuse for
                // ever.
                LOG.warn("the state service takes no transaction of {} changes", maxOps);
                maxOps = Math.max(2, maxOps / 2);
                pause();
            }
            // Not as we thought, or unknown: the mirror is brought up to the present, and then we look again.
            default -> settle(batch);
        }
    }

    private void settle(List<Candidate> batch) {
        to(State.SETTLING);
        watchCache.barrier(
                () -> {
                    if (state == State.SETTLING) {
                        batch.forEach(c -> strays.remove(c.id));
                        idle(0);
                    }
                },
                () -> {
                    if (state == State.SETTLING) {
                        pause();
                    }
                });
    }

    private void pause() {
        if (to(State.PAUSED)) {
            loop.after(pauseMs, () -> {
                if (state == State.PAUSED) {
                    idle(0);
                }
            });
            pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
        }
    }

    /**
     * One page of the jobs' keys: what an earlier version left, or what ended while nothing could be moved. Live jobs are
     * in the table and are passed over.
     */
    private void scan() {
        to(State.SCANNING);
        if (scanFrom == null) {
            strayInPass = false;
            droppedAtStart = table.terminated().evictions();
        }
        client.list(Keys.JOBS, scanFrom, SCAN_PAGE, answer -> {
            if (state != State.SCANNING) {
                return;
            }
            JsonNode page = answer.ok() ? answer.body().get("entries") : null;
            if (page == null || !page.isArray()) {
                pause();
                return;
            }
            for (JsonNode e : page) {
                scanFrom = Json.text(e, "key");
                String id = scanFrom.substring(Keys.JOBS.length());
                TerminatedJob ended = StoredJobCodec.termination(e.path("data")).orElse(null);
                if (ended != null && table.get(id) == null) {
                    strayInPass = true;
                    // Those that cannot move would fill the table, and keep all others from moving.
                    if (!contradicted.contains(id)
                            && !unreadable.contains(SegmentAddress.of(id).key())
                            && !full.contains(SegmentAddress.of(id).key())) {
                        strays.put(id, new Candidate(id, Json.integer(e, "stamp", 0), ended));
                    }
                }
            }
            if (!Json.flag(answer.body(), "more")) {
                scanFrom = null;
                scanNotBefore = strays.isEmpty() ? loop.now() + RESCAN_MS : 0;
                if (!strayInPass && droppedAtStart == table.terminated().evictions()) {
                    table.terminated().complete();
                }
            }
            idle(SCAN_PAUSE_MS);
        });
    }
}
