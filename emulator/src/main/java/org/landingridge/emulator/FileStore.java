package org.landingridge.emulator;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.SortedMap;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.landingridge.wire.Json;

/** Keeps the emulated state service in a file (H2's MVStore), so that it goes on where it was after a kill. */
public final class FileStore implements AutoCloseable {
    private static final String REVISION = "revision";
    private final MVStore store;
    private final MVMap<String, String> values;
    private final MVMap<String, Long> versions;
    private final MVMap<String, Long> leases;
    private final MVMap<Long, Long> durations;
    private final MVMap<String, Long> meta;

    /** @param file created where it is missing; a second process on the same file is refused by the store's lock */
    public FileStore(Path file) {
        // Writes of a stopped process are lost back to the last commit of the store, never half applied.
        store = new MVStore.Builder()
                .fileName(file.toString())
                .autoCommitDisabled()
                .open();
        values = store.openMap("values");
        versions = store.openMap("versions");
        leases = store.openMap("bound");
        durations = store.openMap("lives");
        meta = store.openMap("meta");
    }

    /** Fills {@code keys} with what was kept; returns the revision. */
    long load(SortedMap<String, StoredValue> keys) {
        values.forEach((key, value) -> keys.put(
                key,
                new StoredValue(
                        Json.parse(value.getBytes(StandardCharsets.UTF_8)),
                        versions.get(key),
                        leases.getOrDefault(key, 0L))));
        return meta.getOrDefault(REVISION, 0L);
    }

    /** The duration of a lease in milliseconds; 0 where it is not known. */
    long durationMs(long lease) {
        return durations.getOrDefault(lease, 0L);
    }

    /** Keeps the duration of a lease. */
    void granted(long lease, long durationMs) {
        durations.put(lease, durationMs);
    }

    /** Keeps the value of a key, or its deletion where {@code stored} is null. */
    void changed(String key, StoredValue stored, long revision) {
        if (stored == null) {
            values.remove(key);
            versions.remove(key);
            leases.remove(key);
        } else {
            values.put(key, Json.text(stored.value()));
            versions.put(key, stored.version());
            leases.put(key, stored.lease());
        }
        meta.put(REVISION, revision);
    }

    /** Makes everything so far durable. */
    void commit() {
        store.commit();
    }

    @Override
    public void close() {
        store.close();
    }
}
