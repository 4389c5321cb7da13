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
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the leader's documents in groups, one transaction at a time, within the service's write rate. Every
 * transaction is conditional on the leader's key and on the current version of each document, so one that arrives
 * late, or from a leader of the past, changes nothing.
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
    /** A transaction takes 64 KiB, keys and conditions included. */
    private static final int MOST_BYTES = 60_000;
    /** What a write takes beside its value. */
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
    private long epoch;
    private long refusedAt = Long.MIN_VALUE / 2;

    /**
     * @param limits        of the state service
     * @param share         of the puts and deletes a second, what the leader may use
     * @param leaderVersion version of the leader's key, or 0 while this process may not write
     */
    public BatchWriter(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            Settings.State limits,
            double share,
            String leaderKey,
            LongSupplier leaderVersion,
            ActivityTimer busy) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.maxOps = limits.txnOps();
        this.valueBytes = limits.valueBytes();
        this.msPerWrite = 1000.0 / (limits.writeRps() * share);
        this.leaderKey = leaderKey;
        this.leaderVersion = leaderVersion;
        this.busy = busy;
    }

    public void mark(Document document) {
        dirty.add(document);
        if (state == State.IDLE) {
            to(State.WAITING);
            loop.after(
                    Math.max(20, nextAllowed - loop.now()), () -> busy.during(ActivityTimer.Part.WRITES, this::write));
        }
    }

    /** True if there is nothing to write. */
    public boolean idle() {
        return state == State.IDLE && dirty.isEmpty();
    }

    /** True if the state service refused a group lately, and something still waits to be written. */
    public boolean starved() {
        return !idle() && loop.now() - refusedAt < STARVED_MS;
    }

    /** Forgets all documents; for a leader that steps down. */
    public void clear() {
        dirty.clear();
        epoch++;
        to(State.IDLE);
    }

    private void to(State next) {
        state = next;
    }

    private void write() {
        if (state != State.WAITING) {
            return;
        }
        dirty.removeIf(d -> !d.wanted());
        long leader = leaderVersion.getAsLong();
        if (dirty.isEmpty() || leader == 0) {
            to(State.IDLE);
            return;
        }
        List<Document> group = dirty.stream()
                .filter(Document::ready)
                .sorted(Comparator.comparingInt(Document::rank))
                .limit(maxOps)
                .toList();
        List<Guard> guards = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        guards.add(new Guard(leaderKey, leader));
        int bytes = 0;
        List<Document> taken = new ArrayList<>();
        for (Document d : group) {
            JsonNode value = d.render();
            int length = value == null ? 0 : Json.bytes(value).length;
            int size = length + OVERHEAD_BYTES;
            if (bytes + size > MOST_BYTES) {
                break;
            }
            if (length > valueBytes) {
                // It would be refused, and all that goes with it, again and again.
                LOG.error("{} takes {} bytes of {}: it cannot be stored", d.key(), length, valueBytes);
                dirty.remove(d);
                d.refused();
                continue;
            }
            bytes += size;
            long version = watchCache.version(d.key());
            dirty.remove(d);
            if (value == null && version == 0) {
                loop.after(0, () -> d.stored(watchCache.revision()));
                continue;
            }
            guards.add(new Guard(d.key(), version));
            writes.add(new Write(d.key(), value, 0));
            taken.add(d);
        }
        if (writes.isEmpty()) {
            again(group.isEmpty() ? REFUSED_PAUSE_MS : 0);
            return;
        }
        to(State.WRITING);
        nextAllowed = loop.now() + Math.round(msPerWrite * writes.size());
        long began = epoch;
        client.commit(guards, writes, answer -> {
            if (began != epoch) {
                return;
            }
            switch (answer.status()) {
                case OK -> {
                    for (Write w : writes) {
                        if (w.value() == null) {
                            watchCache.deleted(w.key(), answer.revision());
                        } else {
                            watchCache.committed(w.key(), answer.revision());
                        }
                    }
                    for (Document d : taken) {
                        d.stored(answer.revision());
                    }
                    again(0);
                }
                case REFUSED -> {
                    refusedAt = loop.now();
                    taken.forEach(Document::refused);
                    dirty.addAll(taken);
                    again(REFUSED_PAUSE_MS);
                }
                case INVALID -> invalid(taken);
                default -> {
                    // Unknown, or another version than ours: what holds now is read before anything is said again.
                    LOG.info("a group of {} writes ended {}: reading again", writes.size(), answer.status());
                    dirty.addAll(taken);
                    to(State.REREADING);
                    reread(began);
                }
            }
        });
    }

    /**
     * The state service takes less than its announced limits. A smaller group may pass; a single document that does not is
     * left as it is until it changes, since asked for the same again the service would refuse for ever.
     */
    private void invalid(List<Document> group) {
        group.forEach(Document::refused);
        if (group.size() > 1) {
            maxOps = group.size() / 2;
            LOG.warn("a group of {} writes is invalid: {} at most from now on", group.size(), maxOps);
            dirty.addAll(group);
        } else {
            LOG.error(
                    "{} cannot be stored: the state service calls it invalid",
                    group.get(0).key());
        }
        again(REFUSED_PAUSE_MS);
    }

    private void reread(long began) {
        watchCache.barrier(
                () -> {
                    if (began == epoch) {
                        again(50);
                    }
                },
                () -> loop.after(300, () -> {
                    if (began == epoch) {
                        reread(began);
                    }
                }));
    }

    private void again(long atLeast) {
        to(State.IDLE);
        if (!dirty.isEmpty()) {
            to(State.WAITING);
            loop.after(
                    Math.max(atLeast, Math.max(20, nextAllowed - loop.now())),
                    () -> busy.during(ActivityTimer.Part.WRITES, this::write));
        }
    }
}
