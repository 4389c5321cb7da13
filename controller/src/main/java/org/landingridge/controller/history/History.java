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
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.wire.Json;

/**
 * What a controller knows of terminated jobs that have no key of their own any more: a bounded cache of segments, read by need
 * and kept current by the watch. That a job ended is final, so a segment that names it may be of any age. That it is
 * <em>not</em> there holds as of the watch cache's revision, since every change of a known segment comes by the watch: so
 * absence is asked for past the watch cache's read barrier.
 */
public final class History {
    /** What became of a lookup. */
    public enum Outcome {
        /** The segment was read, or is known not to exist. */
        READ,
        /** What is stored of the segment makes no sense. */
        UNREADABLE,
        /** The state service does not answer. */
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

    /** Of the read of the first segments. */
    private enum FirstRead {
        NOT_STARTED,
        RUNNING,
        DONE
    }

    /** Segments in the cache; with their jobs' numbers of tasks 600 bytes each, mostly. */
    private static final int CAPACITY = 1_024;
    /** The first read brings so many segments: a short history is known in full by it. */
    private static final int FIRST_PAGE = 32;

    static final Found UNAVAILABLE = new Found(Outcome.UNAVAILABLE, null, null, 0);
    /** The segment does not exist. */
    private static final Found ABSENT = new Found(Outcome.READ, null, Segment.EMPTY, 0);

    private final StateClient client;
    private final WatchCache watchCache;
    private final Metrics metrics;
    private final int capacity;
    /** By key, the least recently used first. */
    private final Map<String, CachedSegment> segments = new LinkedHashMap<>(16, 0.75f, true);

    private FirstRead firstRead = FirstRead.NOT_STARTED;
    private List<Runnable> afterFirstRead = new ArrayList<>();
    /** Every segment that exists is in the cache: one that is not does not exist. */
    private boolean complete;
    /** How often the cache was emptied. */
    private long resets;
    /** How many segments were evicted for want of room. */
    private int evictions;

    /** An empty cache; it is filled as jobs are looked up. */
    public History(StateClient client, WatchCache watchCache, Metrics metrics) {
        this(client, watchCache, metrics, CAPACITY);
    }

    /** @param capacity segments in the cache */
    History(StateClient client, WatchCache watchCache, Metrics metrics, int capacity) {
        this.client = client;
        this.watchCache = watchCache;
        this.metrics = metrics;
        this.capacity = capacity;
    }

    /**
     * A segment has changed.
     *
     * @param value null where it was deleted
     */
    public void changed(String key, JsonNode value, long version) {
        CachedSegment segment = segments.get(key);
        if (segment == null) {
            segment = add(key);
        }
        segment.read(value, version);
        segment.answerWaiting();
    }

    /** The watch was interrupted: what changed meanwhile is unknown. */
    public void reset() {
        resets++;
        segments.clear();
        complete = false;
        firstRead = FirstRead.NOT_STARTED;
    }

    /** How the job ended, if that is known here without a request; null says nothing. */
    public TerminatedJob known(String id) {
        SegmentAddress address = SegmentAddress.of(id);
        CachedSegment segment = segments.get(address.key());
        return segment == null ? null : segment.known(address.offset());
    }

    /** Looks a job up. An absence is of the watch cache's revision or later; {@code done} may run within the call. */
    public void find(String id, Consumer<Found> done) {
        SegmentAddress address = SegmentAddress.of(id);
        CachedSegment segment = segments.get(address.key());
        if (segment != null && !segment.loading()) {
            done.accept(segment.found(address.offset()));
        } else if (segment != null) {
            segment.await(() -> done.accept(segment.found(address.offset())));
        } else if (complete) {
            done.accept(ABSENT);
        } else if (firstRead == FirstRead.DONE) {
            load(address, done);
        } else {
            findAfterFirstRead(id, done);
        }
    }

    private void findAfterFirstRead(String id, Consumer<Found> done) {
        afterFirstRead.add(() -> {
            if (firstRead == FirstRead.DONE) {
                find(id, done);
            } else {
                done.accept(UNAVAILABLE);
            }
        });
        if (firstRead == FirstRead.NOT_STARTED) {
            readFirst();
        }
    }

    private void load(SegmentAddress address, Consumer<Found> done) {
        // In the cache before it is asked for: changes that come by the watch meanwhile are not missed.
        CachedSegment segment = add(address.key());
        segment.await(() -> done.accept(segment.found(address.offset())));
        boolean following = watchCache.following();
        long resetsBefore = resets;
        metrics.historyReads.increment();
        client.get(address.key(), answer -> {
            switch (answer.status()) {
                case OK -> segment.read(answer.body().get("data"), Json.integer(answer.body(), "stamp", 0));
                case NOT_FOUND -> segment.read(null, 0);
                default -> {}
            }
            boolean cached = segments.get(address.key()) == segment;
            if (cached && (!following || resetsBefore != resets || segment.loading())) {
                segments.remove(address.key());
            }
            segment.answerWaiting();
        });
    }

    /** One page, all of a short history: then no later lookup of an unknown id costs a request. */
    private void readFirst() {
        firstRead = FirstRead.RUNNING;
        boolean following = watchCache.following();
        long resetsBefore = resets;
        int evictionsBefore = evictions;
        metrics.historyReads.increment();
        client.list(SegmentAddress.ROOT, null, FIRST_PAGE, answer -> {
            if (resetsBefore == resets) {
                firstRead(answer, following, evictionsBefore);
            }
            List<Runnable> waiting = afterFirstRead;
            afterFirstRead = new ArrayList<>();
            waiting.forEach(Runnable::run);
        });
    }

    private void firstRead(Answer answer, boolean following, int evictionsBefore) {
        JsonNode page = answer.ok() ? answer.body().get("entries") : null;
        if (page == null || !page.isArray()) {
            firstRead = FirstRead.NOT_STARTED;
            return;
        }
        firstRead = FirstRead.DONE;
        if (following) {
            for (JsonNode entry : page) {
                changed(Json.text(entry, "key"), entry.get("data"), Json.integer(entry, "stamp", 0));
            }
            complete = !Json.flag(answer.body(), "more") && evictions == evictionsBefore;
        }
    }

    private CachedSegment add(String key) {
        CachedSegment segment = new CachedSegment(key);
        segments.put(key, segment);
        if (segments.size() > capacity) {
            Iterator<CachedSegment> eldest = segments.values().iterator();
            eldest.next();
            eldest.remove();
            evictions++;
            complete = false;
        }
        return segment;
    }
}
