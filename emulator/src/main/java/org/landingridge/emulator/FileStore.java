package org.landingridge.emulator;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.SortedMap;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.landingridge.wire.Json;

/** Keeps the stand-in state service in a file (H2's MVStore), so that it goes on where it was after a kill. */
public final class FileStore implements AutoCloseable {
    private static final String REVISION = "revision";
    private final MVStore store;
    private final MVMap<String, String> values;
    private final MVMap<String, Long> versions;
    private final MVMap<String, Long> bound;
    private final MVMap<Long, Long> lives;
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
        bound = store.openMap("bound");
        lives = store.openMap("lives");
        meta = store.openMap("meta");
    }

    /** Fills {@code keys} with what was kept; returns the revision. */
    long load(SortedMap<String, EmulatedStateService.Entry> keys) {
        values.forEach((key, value) -> keys.put(
                key,
                new EmulatedStateService.Entry(
                        Json.parse(value.getBytes(StandardCharsets.UTF_8)),
                        versions.get(key),
                        bound.getOrDefault(key, 0L))));
        return meta.getOrDefault(REVISION, 0L);
    }

    long life(long lease) {
        return lives.getOrDefault(lease, 0L);
    }

    void granted(long lease, long lifeMs) {
        lives.put(lease, lifeMs);
    }

    void changed(String key, EmulatedStateService.Entry entry, long revision) {
        if (entry == null) {
            values.remove(key);
            versions.remove(key);
            bound.remove(key);
        } else {
            values.put(key, Json.text(entry.value()));
            versions.put(key, entry.version());
            bound.put(key, entry.lease());
        }
        meta.put(REVISION, revision);
    }

    /** Makes everything so far last. */
    void commit() {
        store.commit();
    }

    @Override
    public void close() {
        store.close();
    }
}
