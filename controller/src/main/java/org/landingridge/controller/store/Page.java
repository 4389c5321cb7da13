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
    private final Map<String, Integer> rows = new LinkedHashMap<>();

    private int bytes;
    /** Pages that received rows from this one and may not have been stored yet. */
    private final List<Page> successors = new ArrayList<>();

    private boolean everStored;

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
    public final Set<String> names() {
        return rows.keySet();
    }

    /** Returns the maximum total size of the rows, in bytes. */
    final int bytes() {
        return bytes;
    }

    /** Adds a row or updates its size, in bytes. */
    final void put(String name, int size) {
        Integer before = rows.put(name, size);
        bytes += size - (before == null ? 0 : before);
    }

    /** Removes a row and returns its size in bytes; 0 if there is no such row. */
    final int remove(String name) {
        Integer size = rows.remove(name);
        bytes -= size == null ? 0 : size;
        return size == null ? 0 : size;
    }

    /** Records that rows of this page have moved to the successor, which has to be stored first. */
    final void moveTo(Page successor) {
        if (!successors.contains(successor)) {
            successors.add(successor);
        }
    }

    /**
     * Returns false until all successors are stored. If this page were written first, without the moved rows, a new leader that
     * reads the pages at that moment would miss these rows.
     */
    @Override
    public final boolean ready() {
        successors.removeIf(page -> page.everStored);
        return successors.isEmpty();
    }

    @Override
    public void stored(long revision) {
        everStored = true;
    }
}
