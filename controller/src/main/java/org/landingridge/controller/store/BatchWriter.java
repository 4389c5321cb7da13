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
    private static final long STARVED_MS = 3_000;
    private static final long REFUSED_PAUSE_MS = 250;
    private static final long SHORTEST_PAUSE_MS = 20;
    private static final long REREAD_PAUSE_MS = 50;
    private static final long RETRY_REREAD_MS = 300;
    /** Size limit of a batch, in bytes. The state service accepts 64 KiB per transaction, including keys and guards. */
    private static final int MOST_BYTES = 60_000;
    /** Assumed size of a write without its value, in bytes. */
    private static final int OVERHEAD_BYTES = 100;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final int valueBytes;
    private final double msPerWrite;
    private final String leaderKey;
    private final LongSupplier leaderVersion;
    private final ActivityTimer busy;
    private final Set<Document> dirty = new LinkedHashSet<>();
    private State state = State.IDLE;
    private int maxOps;
    private long nextAllowed;
    /** Incremented by {@link #clear}; answers to requests sent under an earlier value are ignored. */
    private long epoch;

    private long refusedAt = Long.MIN_VALUE / 2;

    /** The guards, writes and documents of one transaction. */
    private static final class Batch {
        private final List<Guard> guards = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();
        private final List<Document> documents = new ArrayList<>();
        private int bytes;

        Batch(Guard leader) {
            guards.add(leader);
        }

        boolean hasRoom(int size) {
            return bytes + size <= MOST_BYTES;
        }

        void add(Document document, JsonNode value, long version) {
            guards.add(new Guard(document.key(), version));
            writes.add(new Write(document.key(), value, 0));
            documents.add(document);
        }
    }

    /**
     * Creates a writer without pending documents.
     *
     * @param limits        limits of the state service
     * @param share         share of the service's write rate limit that the leader may use, from 0 to 1
     * @param leaderKey     key of the leader record, a guard of every transaction
     * @param leaderVersion returns the version of the leader key, or 0 while this process may not write
     * @param busy          measures the time spent on writes
     */
    public BatchWriter(
            StoreAccess store,
            Settings.State limits,
            double share,
            String leaderKey,
            LongSupplier leaderVersion,
            ActivityTimer busy) {
        this.client = store.client();
        this.watchCache = store.cache();
        this.loop = store.loop();
        this.maxOps = limits.txnOps();
        this.valueBytes = limits.valueBytes();
        this.msPerWrite = 1000.0 / (limits.writeRps() * share);
        this.leaderKey = leaderKey;
        this.leaderVersion = leaderVersion;
        this.busy = busy;
    }

    /** Queues the document for writing. Its value is rendered when the batch is assembled. */
    public void mark(Document document) {
        dirty.add(document);
        if (state == State.IDLE) {
            schedule(0);
        }
    }

    /** Returns true if no document is pending and no request is in progress. */
    public boolean idle() {
        return state == State.IDLE && dirty.isEmpty();
    }

    /** Returns true if the state service refused a batch within the last 3 seconds and writes are still pending. */
    public boolean starved() {
        return !idle() && loop.now() - refusedAt < STARVED_MS;
    }

    /** Drops all pending documents and ignores outstanding answers. Called when the leader term ends. */
    public void clear() {
        dirty.clear();
        epoch++;
        to(State.IDLE);
    }

    private void to(State next) {
        state = next;
    }

    private void schedule(long atLeastMs) {
        to(State.WAITING);
        loop.after(
                Math.max(atLeastMs, Math.max(SHORTEST_PAUSE_MS, nextAllowed - loop.now())),
                () -> busy.during(ActivityTimer.Part.WRITES, this::write));
    }

    private void write() {
        if (state != State.WAITING) {
            return;
        }
        dirty.removeIf(document -> !document.wanted());
        long leader = leaderVersion.getAsLong();
        if (dirty.isEmpty() || leader == 0) {
            to(State.IDLE);
            return;
        }
        List<Document> candidates = candidates();
        Batch batch = assemble(candidates, new Guard(leaderKey, leader));
        if (batch.writes.isEmpty()) {
            again(candidates.isEmpty() ? REFUSED_PAUSE_MS : 0);
        } else {
            commit(batch);
        }
    }

    private List<Document> candidates() {
        return dirty.stream()
                .filter(Document::ready)
                .sorted(Comparator.comparingInt(Document::rank))
                .limit(maxOps)
                .toList();
    }

    private Batch assemble(List<Document> candidates, Guard leader) {
        Batch batch = new Batch(leader);
        for (Document document : candidates) {
            JsonNode value = document.render();
            int length = value == null ? 0 : Json.bytes(value).length;
            if (!batch.hasRoom(length + OVERHEAD_BYTES)) {
                break;
            }
            dirty.remove(document);
            if (length > valueBytes) {
                // The service would reject every batch that contains this document.
                LOG.error("{} takes {} bytes of {}: it cannot be stored", document.key(), length, valueBytes);
                document.refused();
                continue;
            }
            batch.bytes += length + OVERHEAD_BYTES;
            add(batch, document, value);
        }
        return batch;
    }

    private void add(Batch batch, Document document, JsonNode value) {
        long version = watchCache.version(document.key());
        if (value == null && version == 0) {
            // The key does not exist, so there is nothing to delete.
            loop.after(0, () -> document.stored(watchCache.revision()));
        } else {
            batch.add(document, value, version);
        }
    }

    private void commit(Batch batch) {
        to(State.WRITING);
        nextAllowed = loop.now() + Math.round(msPerWrite * batch.writes.size());
        long began = epoch;
        client.commit(batch.guards, batch.writes, answer -> {
            if (began == epoch) {
                committed(batch, answer);
            }
        });
    }

    private void committed(Batch batch, Answer answer) {
        switch (answer.status()) {
            case OK -> {
                stored(batch, answer.revision());
                again(0);
            }
            case REFUSED -> {
                refusedAt = loop.now();
                batch.documents.forEach(Document::refused);
                dirty.addAll(batch.documents);
                again(REFUSED_PAUSE_MS);
            }
            case INVALID -> invalid(batch.documents);
            case CONFLICT, NOT_FOUND, NO_LEASE, TOO_OLD, UNKNOWN -> {
                // The outcome is unknown or a version differs: read the current versions before writing again.
                LOG.info("a batch of {} writes ended {}: reading again", batch.writes.size(), answer.status());
                dirty.addAll(batch.documents);
                to(State.REREADING);
                reread(epoch);
            }
        }
    }

    private void stored(Batch batch, long revision) {
        for (Write write : batch.writes) {
            if (write.value() == null) {
                watchCache.deleted(write.key(), revision);
            } else {
                watchCache.committed(write.key(), revision);
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
    private void invalid(List<Document> documents) {
        documents.forEach(Document::refused);
        if (documents.size() > 1) {
            maxOps = documents.size() / 2;
            LOG.warn("a batch of {} writes is invalid: {} at most from now on", documents.size(), maxOps);
            dirty.addAll(documents);
        } else {
            LOG.error(
                    "{} cannot be stored: the state service calls it invalid",
                    documents.get(0).key());
        }
        again(REFUSED_PAUSE_MS);
    }

    private void reread(long began) {
        watchCache.barrier(
                () -> {
                    if (began == epoch) {
                        again(REREAD_PAUSE_MS);
                    }
                },
                () -> loop.after(RETRY_REREAD_MS, () -> {
                    if (began == epoch) {
                        reread(began);
                    }
                }));
    }

    private void again(long atLeastMs) {
        to(State.IDLE);
        if (!dirty.isEmpty()) {
            schedule(atLeastMs);
        }
    }
}
