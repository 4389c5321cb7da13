package org.landingridge.controller.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.wire.state.StateEntry;
import org.landingridge.wire.state.StateListing;

/**
 * Bounded cache of the segments of terminated jobs that no longer have their own key. Segments are read on demand and updated by
 * the watch. A job's end is final, so a cached segment of any age proves it. A job's <em>absence</em> holds as of the watch
 * cache's revision, because every change of a cached segment arrives through the watch; callers that rely on absence therefore
 * pass the watch cache's read barrier first.
 */
public final class History {
    /** Status of a lookup. */
    public enum Outcome {
        /** The segment was read, or is known not to exist. */
        READ,
        /** The segment's stored value cannot be decoded. */
        UNREADABLE,
        /** The state service does not answer. */
        UNAVAILABLE
    }

    /**
     * Result of the lookup of one job.
     *
     * @param ended   how the job ended; null if it is not in the history or the segment could not be read
     * @param segment the segment that was read; null if it could not be read
     * @param version version of the segment's key, or 0 if it does not exist
     */
    public record Found(Outcome outcome, TerminatedJob ended, Segment segment, long version) {}

    /** State of the first read, which loads one page of segments. */
    private enum FirstReadState {
        NOT_STARTED,
        RUNNING,
        DONE
    }

    /** Maximum number of cached segments, which take about 600 bytes each, task counts included, in most cases. */
    private static final int MAX_CACHED_SEGMENTS = 1_024;
    /** Number of segments in the first read, which loads a short history completely. */
    private static final int FIRST_PAGE_SEGMENTS = 32;

    static final Found UNAVAILABLE = new Found(Outcome.UNAVAILABLE, null, null, 0);
    /** Result of a lookup whose segment does not exist. */
    private static final Found ABSENT = new Found(Outcome.READ, null, Segment.EMPTY, 0);

    private final StateClient client;
    private final WatchCache watchCache;
    private final Metrics metrics;
    private final int capacity;
    /** Cached segments by key, the least recently used first. */
    private final Map<String, CachedSegment> segments = new LinkedHashMap<>(16, 0.75f, true);

    private FirstReadState firstReadState = FirstReadState.NOT_STARTED;
    private List<Runnable> lookupsAwaitingFirstRead = new ArrayList<>();
    /** Whether the cache contains every existing segment, so that a segment missing from the cache does not exist. */
    private boolean isComplete;
    /** Number of times the cache was cleared. */
    private long resets;
    /** Number of segments evicted because the cache was full. */
    private int evictions;

    /** Creates an empty cache, which is filled by lookups. */
    public History(StateClient client, WatchCache watchCache, Metrics metrics) {
        this(client, watchCache, metrics, MAX_CACHED_SEGMENTS);
    }

    /** @param capacity maximum number of cached segments */
    History(StateClient client, WatchCache watchCache, Metrics metrics, int capacity) {
        this.client = client;
        this.watchCache = watchCache;
        this.metrics = metrics;
        this.capacity = capacity;
    }

    /**
     * Updates the cache after a segment's key has changed.
     *
     * @param value the stored value, or null if the key was deleted
     */
    public void changed(String key, JsonNode value, long version) {
        CachedSegment segment = segments.get(key);
        if (segment == null) {
            segment = add(key);
        }
        segment.update(value, version);
        segment.answerWaiting();
    }

    /** Clears the cache after an interruption of the watch, because changes may have been missed. */
    public void reset() {
        resets++;
        segments.clear();
        isComplete = false;
        firstReadState = FirstReadState.NOT_STARTED;
    }

    /** Returns how the job ended if the cache contains it, otherwise null; null does not prove its absence. */
    public TerminatedJob known(String id) {
        SegmentAddress address = SegmentAddress.of(id);
        CachedSegment segment = segments.get(address.key());
        return segment == null ? null : segment.terminatedJob(address.offset());
    }

    /**
     * Looks a job up, in the cache or by a request.
     *
     * @param callback receives the result, possibly before this method returns; an absence holds as of the watch cache's revision
     *                 or a later one
     */
    public void find(String id, Consumer<Found> callback) {
        SegmentAddress address = SegmentAddress.of(id);
        CachedSegment segment = segments.get(address.key());
        if (segment != null && !segment.isLoading()) {
            callback.accept(segment.lookupResult(address.offset()));
        } else if (segment != null) {
            segment.addWaiting(() -> callback.accept(segment.lookupResult(address.offset())));
        } else if (isComplete) {
            callback.accept(ABSENT);
        } else if (firstReadState == FirstReadState.DONE) {
            readSegment(address, callback);
        } else {
            findAfterFirstRead(id, callback);
        }
    }

    private void findAfterFirstRead(String id, Consumer<Found> callback) {
        lookupsAwaitingFirstRead.add(() -> {
            if (firstReadState == FirstReadState.DONE) {
                find(id, callback);
            } else {
                callback.accept(UNAVAILABLE);
            }
        });
        if (firstReadState == FirstReadState.NOT_STARTED) {
            readFirstPage();
        }
    }

    private void readSegment(SegmentAddress address, Consumer<Found> callback) {
        // Added to the cache before the request, so that changes arriving through the watch meanwhile are not missed.
        CachedSegment segment = add(address.key());
        segment.addWaiting(() -> callback.accept(segment.lookupResult(address.offset())));
        boolean wasFollowing = watchCache.following();
        long resetsBefore = resets;
        metrics.historyReads.increment();
        client.get(address.key(), answer -> {
            switch (answer.status()) {
                case OK -> segment.update(answer.value(), answer.version());
                case NOT_FOUND -> segment.update(null, 0);
                default -> {}
            }
            boolean isCached = segments.get(address.key()) == segment;
            if (isCached && (!wasFollowing || resetsBefore != resets || segment.isLoading())) {
                segments.remove(address.key());
            }
            segment.answerWaiting();
        });
    }

    /** Reads one page of segments. If that is the whole history, later lookups of unknown ids need no request. */
    private void readFirstPage() {
        firstReadState = FirstReadState.RUNNING;
        boolean wasFollowing = watchCache.following();
        long resetsBefore = resets;
        int evictionsBefore = evictions;
        metrics.historyReads.increment();
        client.list(SegmentAddress.ROOT, null, FIRST_PAGE_SEGMENTS, answer -> {
            if (resetsBefore == resets) {
                addFirstPage(answer, wasFollowing, evictionsBefore);
            }
            List<Runnable> waiting = lookupsAwaitingFirstRead;
            lookupsAwaitingFirstRead = new ArrayList<>();
            waiting.forEach(Runnable::run);
        });
    }

    private void addFirstPage(Answer answer, boolean wasFollowing, int evictionsBefore) {
        Optional<StateListing> page = answer.ok() ? answer.listing() : Optional.empty();
        if (page.isEmpty()) {
            firstReadState = FirstReadState.NOT_STARTED;
            return;
        }
        firstReadState = FirstReadState.DONE;
        if (wasFollowing) {
            for (StateEntry entry : page.get().entries()) {
                changed(entry.key(), entry.value(), entry.version());
            }
            isComplete = !page.get().more() && evictions == evictionsBefore;
        }
    }

    private CachedSegment add(String key) {
        CachedSegment segment = new CachedSegment(key);
        segments.put(key, segment);
        if (segments.size() > capacity) {
            Iterator<CachedSegment> leastRecentlyUsed = segments.values().iterator();
            leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
            evictions++;
            isComplete = false;
        }
        return segment;
    }
}
