package org.landingridge.controller.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A document that holds many named rows in one stored value; {@link PageTable} says which rows stand in which page. */
public abstract class Page implements Document {
    private final String key;
    /** What each row may take, in bytes. */
    private final Map<String, Integer> rows = new LinkedHashMap<>();

    private int bytes;
    /** Pages that take rows of this one over, and have not been stored since. */
    private final List<Page> successors = new ArrayList<>();

    private boolean everStored;

    /** @param key where the page is stored */
    protected Page(String key) {
        this.key = key;
    }

    @Override
    public final String key() {
        return key;
    }

    /** Names of the rows, in the order in which they came. */
    public final Set<String> names() {
        return rows.keySet();
    }

    /** Bytes that all rows may take. */
    final int bytes() {
        return bytes;
    }

    final void put(String name, int size) {
        Integer before = rows.put(name, size);
        bytes += size - (before == null ? 0 : before);
    }

    final int remove(String name) {
        Integer size = rows.remove(name);
        bytes -= size == null ? 0 : size;
        return size == null ? 0 : size;
    }

    final void moveTo(Page successor) {
        if (!successors.contains(successor)) {
            successors.add(successor);
        }
    }

    /** Written without rows that no other page holds yet, a leader that reads it then would not know of them. */
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
