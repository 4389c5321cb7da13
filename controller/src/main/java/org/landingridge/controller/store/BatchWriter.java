package org.landingridge.controller.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.landingridge.controller.observability.ActivityTimer;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.landingridge.wire.MessageLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the leader's documents in batches, one transaction at a time, within the state service's write rate limit. Every
 * transaction is a compare-and-set on the versions of the leader key and of each document, so a delayed transaction or one from
 * a former leader changes nothing.
 */
public final class BatchWriter {
    private enum State {
        IDLE,
        WAITING,
        WRITING,
        REREADING
    }

    private static final Logger LOG = LoggerFactory.getLogger(BatchWriter.class);
    private static final long RECENT_REFUSAL_MS = 3_000;
    private static final long RETRY_PAUSE_MS = 250;
    private static final long MIN_PAUSE_MS = 20;
    private static final long PAUSE_AFTER_REREAD_MS = 50;
    private static final long RETRY_REREAD_MS = 300;
    /** Size of a transaction without its writes and guards, but with the guard on the leader key, in bytes. */
    private static final int EMPTY_BATCH_BYTES = 300;
    /** Size of a write and its guard without the value and without the key in each, in bytes. */
    private static final int WRITE_OVERHEAD_BYTES = 80;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final int maxValueBytes;
    private final double msPerWrite;
    private final String leaderKey;
    private final LongSupplier leaderVersion;
    private final ActivityTimer timer;
    private final Set<Document> pending = new LinkedHashSet<>();
    private State state = State.IDLE;
    private int maxBatchWrites;
    private long nextBatchAt;
    /** Incremented by {@link #reset}; answers to requests sent under an earlier value are ignored. */
    private long epoch;

    private long refusedAt = Long.MIN_VALUE / 2;

    /** The guards, writes and documents of one transaction. */
    private static final class Batch {
        private final List<Guard> guards = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();
        private final List<Document> documents = new ArrayList<>();
        private int totalBytes = EMPTY_BATCH_BYTES;

        Batch(Guard leaderGuard) {
            guards.add(leaderGuard);
        }

        boolean hasRoom(int additionalBytes) {
            return totalBytes + additionalBytes <= MessageLimits.MAX_MESSAGE_BYTES;
        }

        void add(Document document, JsonNode value, long version, int writeBytes) {
            totalBytes += writeBytes;
            guards.add(new Guard(document.key(), version));
            writes.add(new Write(document.key(), value, 0));
            documents.add(document);
        }
    }

    /**
     * Creates a writer without pending documents.
     *
     * @param stateLimits    limits of the state service
     * @param writeRateShare share of the service's write rate limit that the leader may use, from 0 to 1
     * @param leaderKey      key of the leader record, a guard of every transaction
     * @param leaderVersion  returns the version of the leader key, or 0 while this process may not write
     * @param timer          measures the time spent on writes
     */
    public BatchWriter(
            StoreAccess store,
            Settings.State stateLimits,
            double writeRateShare,
            String leaderKey,
            LongSupplier leaderVersion,
            ActivityTimer timer) {
        this.client = store.client();
        this.watchCache = store.cache();
        this.loop = store.loop();
        this.maxBatchWrites = stateLimits.txnOps();
        this.maxValueBytes = stateLimits.valueBytes();
        this.msPerWrite = 1000.0 / (stateLimits.writeRps() * writeRateShare);
        this.leaderKey = leaderKey;
        this.leaderVersion = leaderVersion;
        this.timer = timer;
    }

    /** Queues the document for writing. Its value is rendered when the batch is assembled. */
    public void mark(Document document) {
        pending.add(document);
        if (state == State.IDLE) {
            schedule(0);
        }
    }

    /** Returns true if no document is pending and no request is in progress. */
    public boolean isIdle() {
        return state == State.IDLE && pending.isEmpty();
    }

    /** Returns true if the state service refused a batch within the last 3 seconds and writes are still pending. */
    public boolean isStarved() {
        return !isIdle() && loop.now() - refusedAt < RECENT_REFUSAL_MS;
    }

    /** Drops all pending documents and ignores outstanding answers. Called when the leader term ends. */
    public void reset() {
        pending.clear();
        epoch++;
        transitionTo(State.IDLE);
    }

    private void transitionTo(State nextState) {
        state = nextState;
    }

    private void schedule(long minDelayMs) {
        transitionTo(State.WAITING);
        loop.after(
                Math.max(minDelayMs, Math.max(MIN_PAUSE_MS, nextBatchAt - loop.now())),
                () -> timer.during(ActivityTimer.Part.WRITES, this::writeBatch));
    }

    private void writeBatch() {
        if (state != State.WAITING) {
            return;
        }
        pending.removeIf(document -> !document.isNeeded());
        long currentLeaderVersion = leaderVersion.getAsLong();
        if (pending.isEmpty() || currentLeaderVersion == 0) {
            transitionTo(State.IDLE);
            return;
        }
        List<Document> candidates = candidates();
        Batch batch = assemble(candidates, new Guard(leaderKey, currentLeaderVersion));
        if (batch.writes.isEmpty()) {
            scheduleNext(candidates.isEmpty() ? RETRY_PAUSE_MS : 0);
        } else {
            commit(batch);
        }
    }

    private List<Document> candidates() {
        return pending.stream()
                .filter(Document::canBeWritten)
                .sorted(Comparator.comparingInt(Document::rank))
                .limit(maxBatchWrites)
                .toList();
    }

    private Batch assemble(List<Document> candidates, Guard leaderGuard) {
        Batch batch = new Batch(leaderGuard);
        for (Document document : candidates) {
            JsonNode value = document.render();
            int valueBytes = value == null ? 0 : Json.bytes(value).length;
            if (valueBytes > maxValueBytes) {
                // The service would reject every batch that contains this document.
                LOG.error("value too large, key={} bytes={} limit={}", document.key(), valueBytes, maxValueBytes);
                pending.remove(document);
                document.refused();
                continue;
            }
            int writeBytes = valueBytes + 2 * document.key().length() + WRITE_OVERHEAD_BYTES;
            if (!batch.hasRoom(writeBytes)) {
                break;
            }
            pending.remove(document);
            addWrite(batch, document, value, writeBytes);
        }
        return batch;
    }

    private void addWrite(Batch batch, Document document, JsonNode value, int writeBytes) {
        long version = watchCache.version(document.key());
        if (value == null && version == 0) {
            // The key does not exist, so there is nothing to delete.
            loop.after(0, () -> document.stored(watchCache.revision()));
        } else {
            batch.add(document, value, version, writeBytes);
        }
    }

    private void commit(Batch batch) {
        transitionTo(State.WRITING);
        nextBatchAt = loop.now() + Math.round(msPerWrite * batch.writes.size());
        long sentInEpoch = epoch;
        client.commit(batch.guards, batch.writes, answer -> {
            if (sentInEpoch == epoch) {
                handleAnswer(batch, answer);
            }
        });
    }

    private void handleAnswer(Batch batch, Answer answer) {
        switch (answer.status()) {
            case OK -> {
                recordStored(batch, answer.revision());
                scheduleNext(0);
            }
            case REFUSED -> {
                refusedAt = loop.now();
                batch.documents.forEach(Document::refused);
                pending.addAll(batch.documents);
                scheduleNext(RETRY_PAUSE_MS);
            }
            case INVALID -> handleInvalid(batch.documents);
            case CONFLICT, NOT_FOUND, NO_LEASE, TOO_OLD, UNKNOWN -> {
                // The outcome is unknown or a version differs: read the current versions before writing again.
                LOG.info("batch outcome requires reread, writes={} status={}", batch.writes.size(), answer.status());
                pending.addAll(batch.documents);
                transitionTo(State.REREADING);
                rereadVersions(epoch);
            }
        }
    }

    private void recordStored(Batch batch, long revision) {
        for (Write write : batch.writes) {
            if (write.value() == null) {
                watchCache.recordDeleted(write.key(), revision);
            } else {
                watchCache.recordCommitted(write.key(), revision);
            }
        }
        for (Document document : batch.documents) {
            document.stored(revision);
        }
    }

    /**
     * Handles a batch that the state service rejects as invalid, because it accepts less than its announced limits. A larger
     * batch is retried at half its size. A single document is not retried before it is marked again, because the service would
     * reject the same value every time.
     */
    private void handleInvalid(List<Document> documents) {
        documents.forEach(Document::refused);
        if (documents.size() > 1) {
            maxBatchWrites = documents.size() / 2;
            LOG.warn("batch rejected as invalid, writes={} newMaxWrites={}", documents.size(), maxBatchWrites);
            pending.addAll(documents);
        } else {
            LOG.error("document rejected as invalid, key={}", documents.get(0).key());
        }
        scheduleNext(RETRY_PAUSE_MS);
    }

    private void rereadVersions(long sentInEpoch) {
        watchCache.readBarrier(
                () -> {
                    if (sentInEpoch == epoch) {
                        scheduleNext(PAUSE_AFTER_REREAD_MS);
                    }
                },
                () -> loop.after(RETRY_REREAD_MS, () -> {
                    if (sentInEpoch == epoch) {
                        rereadVersions(sentInEpoch);
                    }
                }));
    }

    private void scheduleNext(long minDelayMs) {
        transitionTo(State.IDLE);
        if (!pending.isEmpty()) {
            schedule(minDelayMs);
        }
    }
}
