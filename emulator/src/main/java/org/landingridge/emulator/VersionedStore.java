package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.landingridge.wire.Json;
import org.landingridge.wire.state.StateChange;
import org.landingridge.wire.state.StateEntry;
import org.landingridge.wire.state.StateListing;
import org.landingridge.wire.state.StateRequest;

/** The keys of the emulated state service, their versions, and the changes that a watch can still bring. */
final class VersionedStore {
    /** A listing holds no more entries, and no more bytes, than this. */
    private static final int PAGE_ENTRIES = 1_000;

    private static final int PAGE_BYTES = 512 * 1024;
    /** What an entry takes in a listing beside key and value. */
    private static final int ENTRY_BYTES = 40;

    private final FileStore file;
    private final TreeMap<String, StoredValue> keys = new TreeMap<>();
    private final List<StateChange> log = new ArrayList<>();
    private long revision;
    /** Changes up to this revision are forgotten: a watch from before it is too old. */
    private long forgotten;

    private int keptChanges = 10_000;

    /** @param file from which the store goes on, and where every change is kept; null for none */
    VersionedStore(FileStore file) {
        this.file = file;
        if (file != null) {
            revision = file.load(keys);
            forgotten = revision;
        }
    }

    long revision() {
        return revision;
    }

    /** So many changes, at least, are kept for watches. */
    void keepChanges(int count) {
        keptChanges = count;
    }

    /** The value, or null. */
    JsonNode value(String key) {
        StoredValue stored = keys.get(key);
        return stored == null ? null : stored.value();
    }

    /** The version of the key; 0 where it does not exist. */
    long version(String key) {
        StoredValue stored = keys.get(key);
        return stored == null ? 0 : stored.version();
    }

    /** The key with its value, or null. */
    StateEntry entry(String key) {
        StoredValue stored = keys.get(key);
        return stored == null ? null : new StateEntry(key, stored.value(), stored.version());
    }

    /** Keys with a prefix, in order. */
    List<String> keys(String prefix) {
        return List.copyOf(keys.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
    }

    /** The leases that keys are bound to, in the order of the keys. */
    List<Long> boundLeases() {
        List<Long> bound = new ArrayList<>();
        for (StoredValue stored : keys.values()) {
            if (stored.lease() != 0) {
                bound.add(stored.lease());
            }
        }
        return bound;
    }

    /** Keys that are bound to a lease, in order. */
    List<String> boundTo(long lease) {
        List<String> bound = new ArrayList<>();
        keys.forEach((key, stored) -> {
            if (stored.lease() == lease) {
                bound.add(key);
            }
        });
        return bound;
    }

    /** Puts a value in a revision of its own that no watch brings. */
    void seed(String key, JsonNode value) {
        keys.put(key, new StoredValue(value, ++revision, 0));
        forgotten = revision;
    }

    /** Begins the next revision: the changes that follow share it. */
    void nextRevision() {
        revision++;
    }

    void put(String key, JsonNode value, long lease) {
        StoredValue stored = new StoredValue(value, revision, lease);
        keys.put(key, stored);
        changed(stored, new StateChange(StateChange.Kind.PUT, key, value, revision));
    }

    void delete(String key) {
        keys.remove(key);
        changed(null, new StateChange(StateChange.Kind.DELETE, key, null, revision));
    }

    private void changed(StoredValue stored, StateChange change) {
        if (file != null) {
            file.changed(change.key(), stored, revision);
        }
        log.add(change);
        if (log.size() > 2 * keptChanges) {
            List<StateChange> old = log.subList(0, log.size() - keptChanges);
            forgotten = old.get(old.size() - 1).version();
            old.clear();
        }
    }

    /** Makes everything so far durable. */
    void persist() {
        if (file != null) {
            file.commit();
        }
    }

    /** True if changes after the revision are not known any more. */
    boolean hasForgotten(long after) {
        return after < forgotten;
    }

    /** The changes under a prefix after a revision, in order. */
    List<StateChange> changes(String prefix, long after) {
        int first = log.size();
        while (first > 0 && log.get(first - 1).version() > after) {
            first--;
        }
        List<StateChange> changes = new ArrayList<>();
        for (StateChange change : log.subList(first, log.size())) {
            if (change.key().startsWith(prefix)) {
                changes.add(change);
            }
        }
        return changes;
    }

    StateListing list(StateRequest.ListKeys request) {
        int limit = Math.min(PAGE_ENTRIES, request.limit());
        List<StateEntry> entries = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, StoredValue> stored : from(request).entrySet()) {
            String key = stored.getKey();
            if (!key.startsWith(request.prefix())) {
                break;
            }
            if (entries.size() == limit || bytes > PAGE_BYTES) {
                more = true;
                break;
            }
            JsonNode value = stored.getValue().value();
            bytes += key.length() + Json.bytes(value).length + ENTRY_BYTES;
            entries.add(new StateEntry(key, value, stored.getValue().version()));
        }
        return new StateListing(entries, more, revision);
    }

    private Map<String, StoredValue> from(StateRequest.ListKeys request) {
        String after = request.after();
        return after == null || after.compareTo(request.prefix()) < 0
                ? keys.tailMap(request.prefix(), true)
                : keys.tailMap(after, false);
    }
}
