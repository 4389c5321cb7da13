package org.landingridge.controller.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What any controller knows of ended jobs that have left the mirror: segments read by need, as many as fit a bound, and
 * kept current by the mirror's watch. That a job ended is final, so a segment that names it may be as old as it likes.
 * That it is <em>not</em> there holds as of the mirror's revision, since every change of a known segment comes by the
 * watch: so absence is asked for past the mirror's barrier.
 */
public final class History {
    public enum Outcome {
        READ,
        UNREADABLE,
        UNAVAILABLE
    }

    /**
     * What was found of one job.
     *
     * @param ended   null where the job is not in the history, or nothing could be read
     * @param segment the segment read, null where nothing could be
     * @param version the segment's version, 0 where it does not exist
     */
    public record Found(Outcome outcome, TerminatedJob ended, Segment segment, long version) {}

    /** LOADING: asked for, the answer is not here yet. READ: as of its version. UNREADABLE: there, and makes no sense. */
    private enum State {
        LOADING,
        READ,
        UNREADABLE
    }

    private enum First {
        NOT_ASKED,
        ASKING,
        ASKED
    }

    private static final Logger LOG = LoggerFactory.getLogger(History.class);
    /** Segments kept; with their jobs' numbers of tasks 600 bytes each, mostly. */
    private static final int MOST = 1_024;
    /** The first read brings so many segments: a young history is known whole by it. */
    private static final int FIRST_PAGE = 32;

    private final StateClient client;
    private final WatchCache watchCache;
    private final Metrics metrics;
    private final int most;
    /** The least recently used first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    private First first = First.NOT_ASKED;
    private List<Runnable> afterFirst = new ArrayList<>();
    /** Every segment that exists is among the entries: one that is not does not exist. */
    private boolean whole;
    /** Counts the times at which everything was dropped. */
    private long epoch;
    /** Counts the segments dropped for want of room. */
    private int evicted;

    private static final class Entry {
        private final String key;
        private State state = State.LOADING;
        private Segment segment;
        private long version = -1;
        private List<Runnable> waiting = new ArrayList<>();

        Entry(String key) {
            this.key = key;
        }

        /** The only place where an entry changes: news of an older version change nothing. */
        void to(State next, Segment read, long newVersion) {
            if (next == State.LOADING) {
                throw new IllegalStateException(key + ": " + state + " -> " + next);
            }
            if (newVersion > version) {
                state = next;
                segment = read;
                version = newVersion;
            }
        }

        Found found(int offset) {
            return state == State.UNREADABLE
                    ? new Found(Outcome.UNREADABLE, null, null, version)
                    : new Found(Outcome.READ, segment.get(offset), segment, version);
        }
    }

    public History(StateClient client, WatchCache watchCache, Metrics metrics) {
        this(client, watchCache, metrics, MOST);
    }

    /** @param most segments kept in memory */
    History(StateClient client, WatchCache watchCache, Metrics metrics, int most) {
        this.client = client;
        this.watchCache = watchCache;
        this.metrics = metrics;
        this.most = most;
    }

    /** The mirror's news of a segment. */
    public void changed(String key, JsonNode value, long version) {
        Entry entry = entries.get(key);
        if (entry == null) {
            entry = add(key);
        }
        read(entry, value, version);
        settle(entry);
    }

    /** The watch has lost the thread: what changed meanwhile is unknown. */
    public void reset() {
        epoch++;
        entries.clear();
        whole = false;
        first = First.NOT_ASKED;
    }

    /** How the job ended, if that is known here without asking; null says nothing. */
    public TerminatedJob known(String id) {
        SegmentAddress place = SegmentAddress.of(id);
        Entry entry = entries.get(place.key());
        return entry == null || entry.state != State.READ ? null : entry.segment.get(place.offset());
    }

    /** Looks a job up. An absence is of the mirror's revision or later; {@code done} may run at once. */
    public void find(String id, Consumer<Found> done) {
        SegmentAddress place = SegmentAddress.of(id);
        Entry entry = entries.get(place.key());
        if (entry != null && entry.state != State.LOADING) {
            done.accept(entry.found(place.offset()));
        } else if (entry != null) {
            Entry loading = entry;
            entry.waiting.add(() -> done.accept(answer(loading, place)));
        } else if (whole) {
            done.accept(new Found(Outcome.READ, null, Segment.EMPTY, 0));
        } else if (first == First.ASKED) {
            load(place, done);
        } else {
            afterFirst.add(() -> {
                if (first == First.ASKED) {
                    find(id, done);
                } else {
                    done.accept(new Found(Outcome.UNAVAILABLE, null, null, 0));
                }
            });
            if (first == First.NOT_ASKED) {
                readFirst();
            }
        }
    }

    private static Found answer(Entry entry, SegmentAddress place) {
        return entry.state == State.LOADING
                ? new Found(Outcome.UNAVAILABLE, null, null, 0)
                : entry.found(place.offset());
    }

    private void load(SegmentAddress place, Consumer<Found> done) {
        // In the table before it is asked for: changes that come by the watch meanwhile are not missed.
        Entry entry = add(place.key());
        entry.waiting.add(() -> done.accept(answer(entry, place)));
        boolean kept = watchCache.following();
        long began = epoch;
        metrics.historyReads.increment();
        client.get(place.key(), answer -> {
            switch (answer.status()) {
                case OK -> read(entry, answer.body().get("data"), Json.integer(answer.body(), "stamp", 0));
                case NOT_FOUND -> entry.to(State.READ, Segment.EMPTY, 0);
                default -> {}
            }
            if (entries.get(place.key()) == entry && (!kept || began != epoch || entry.state == State.LOADING)) {
                entries.remove(place.key());
            }
            settle(entry);
        });
    }

    /** One page, of a young history all: then no later question about an unknown id costs a request. */
    private void readFirst() {
        first = First.ASKING;
        boolean kept = watchCache.following();
        long began = epoch;
        int evictedBefore = evicted;
        metrics.historyReads.increment();
        client.list(SegmentAddress.ROOT, null, FIRST_PAGE, answer -> {
            if (began == epoch) {
                JsonNode page = answer.ok() ? answer.body().get("entries") : null;
                boolean read = page != null && page.isArray();
                first = read ? First.ASKED : First.NOT_ASKED;
                if (read && kept) {
                    for (JsonNode e : page) {
                        changed(Json.text(e, "key"), e.get("data"), Json.integer(e, "stamp", 0));
                    }
                    whole = !Json.flag(answer.body(), "more") && evicted == evictedBefore;
                }
            }
            List<Runnable> waiting = afterFirst;
            afterFirst = new ArrayList<>();
            waiting.forEach(Runnable::run);
        });
    }

    private Entry add(String key) {
        Entry entry = new Entry(key);
        entries.put(key, entry);
        if (entries.size() > most) {
            Iterator<Entry> eldest = entries.values().iterator();
            eldest.next();
            eldest.remove();
            evicted++;
            whole = false;
        }
        return entry;
    }

    private void read(Entry entry, JsonNode value, long version) {
        if (version <= entry.version) {
            return;
        }
        try {
            entry.to(State.READ, value == null ? Segment.EMPTY : Segment.read(value), version);
        } catch (InvalidMessageException e) {
            // Never taken for empty, never overwritten: its jobs are answered 503 until somebody has mended it.
            LOG.error("segment {} of the history cannot be read: {}", entry.key, e.getMessage());
            entry.to(State.UNREADABLE, null, version);
        }
    }

    private void settle(Entry entry) {
        List<Runnable> waiting = entry.waiting;
        entry.waiting = new ArrayList<>();
        waiting.forEach(Runnable::run);
    }
}
