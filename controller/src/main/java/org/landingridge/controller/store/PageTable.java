package org.landingridge.controller.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Assigns rows to numbered pages, each of which fits one stored value. Pages that an earlier leader filled under a larger size
 * limit are split: the rows beyond the limit move to other pages, which are stored before the page that loses them.
 *
 * @param <P> type of the pages
 */
public final class PageTable<P extends Page> {
    private final String prefix;
    private final int pageBytes;
    private final Function<String, P> create;
    private final BatchWriter writer;
    private final List<P> pages = new ArrayList<>();
    private final Map<String, P> pageOf = new HashMap<>();
    /** Keys that must not be used for new pages. */
    private final List<String> reserved = new ArrayList<>();

    /**
     * Creates a table without pages.
     *
     * @param prefix    prefix of the pages' keys; a page number is appended
     * @param pageBytes limit on the total size of a page's rows, in bytes
     * @param create    creates an empty page for a key
     * @param writer    writes pages that are split
     */
    public PageTable(String prefix, int pageBytes, Function<String, P> create, BatchWriter writer) {
        this.prefix = prefix;
        this.pageBytes = pageBytes;
        this.create = create;
        this.writer = writer;
    }

    /** Returns the page of a row, or null. */
    public P of(String row) {
        return pageOf.get(row);
    }

    /** Adds an empty page for the key and returns it; rows are added by {@link #put(String, int, Page)}. */
    public P open(String key) {
        P page = create.apply(key);
        pages.add(page);
        return page;
    }

    /** Excludes the key from use for new pages. */
    public void reserve(String key) {
        reserved.add(key);
    }

    /** Records that the page contains the row. {@code size} is its maximum size in bytes. */
    public void put(String row, int size, P page) {
        page.put(row, size);
        pageOf.put(row, page);
    }

    /** Updates the row's size, in bytes, and returns its page. A new row is added to the first page with enough room. */
    public P put(String row, int size) {
        P page = pageOf.get(row);
        put(row, size, page == null ? withRoom(size) : page);
        return pageOf.get(row);
    }

    /** Removes the row and returns the page that contained it, or null. */
    public P remove(String row) {
        P page = pageOf.remove(row);
        if (page != null) {
            page.remove(row);
        }
        return page;
    }

    private P withRoom(int size) {
        for (P page : pages) {
            if (page.bytes() + size <= pageBytes) {
                return page;
            }
        }
        int number = 0;
        while (taken(prefix + number)) {
            number++;
        }
        return open(prefix + number);
    }

    private boolean taken(String key) {
        return reserved.contains(key)
                || pages.stream().anyMatch(page -> page.key().equals(key));
    }

    /** Moves rows from pages above the size limit to other pages and marks all changed pages for writing. */
    public void splitOversized() {
        for (P page : List.copyOf(pages)) {
            List<String> names = new ArrayList<>(page.names());
            for (int last = names.size() - 1; last > 0 && page.bytes() > pageBytes; last--) {
                String row = names.get(last);
                int size = page.remove(row);
                P successor = withRoom(size);
                put(row, size, successor);
                page.moveTo(successor);
                writer.mark(successor);
                writer.mark(page);
            }
        }
    }
}
