package org.landingridge.controller.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A document that stores many named rows in one value; {@link PageTable} assigns rows to pages. */
public abstract class Page implements Document {
    private final String key;
    /** Maximum size in bytes by row name. */
    private final Map<String, Integer> maxBytesByRow = new LinkedHashMap<>();

    private int totalBytes;
    /** Pages that received rows from this one and may not have been stored yet. */
    private final List<Page> successors = new ArrayList<>();

    private boolean hasBeenStored;

    /**
     * Creates an empty page.
     *
     * @param key key under which the page is stored
     */
    protected Page(String key) {
        this.key = key;
    }

    @Override
    public final String key() {
        return key;
    }

    /** Returns the names of the rows in insertion order. */
    public final Set<String> rowNames() {
        return maxBytesByRow.keySet();
    }

    /** Returns the maximum total size of the rows, in bytes. */
    final int totalBytes() {
        return totalBytes;
    }

    /** Adds a row or updates its size, in bytes. */
    final void put(String name, int sizeBytes) {
        Integer previousBytes = maxBytesByRow.put(name, sizeBytes);
        totalBytes += sizeBytes - (previousBytes == null ? 0 : previousBytes);
    }

    /** Removes a row and returns its size in bytes; 0 if there is no such row. */
    final int remove(String name) {
        Integer sizeBytes = maxBytesByRow.remove(name);
        totalBytes -= sizeBytes == null ? 0 : sizeBytes;
        return sizeBytes == null ? 0 : sizeBytes;
    }

    /** Records that rows of this page have moved to the successor, which has to be stored first. */
    final void addSuccessor(Page successor) {
        if (!successors.contains(successor)) {
            successors.add(successor);
        }
    }

    /**
     * Returns false until all successors are stored. If this page were written first, without the moved rows, a new leader that
     * reads the pages at that moment would miss these rows.
     */
    @Override
    public final boolean canBeWritten() {
        successors.removeIf(page -> page.hasBeenStored);
        return successors.isEmpty();
    }

    @Override
    public void stored(long revision) {
        hasBeenStored = true;
    }
}
