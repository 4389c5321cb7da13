package org.landingridge.controller.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Rows in numbered pages, each of which fits one stored value. Pages that an earlier leader filled up to a larger limit are
 * split: the rows beyond the limit go to other pages, which are stored before the page that loses them.
 */
public final class PageTable<P extends Page> {
    private final String prefix;
    private final int pageBytes;
    private final Function<String, P> create;
    private final BatchWriter writer;
    private final List<P> pages = new ArrayList<>();
    private final Map<String, P> pageOf = new HashMap<>();
    /** Numbers that are not free, whatever is known of them here. */
    private final List<String> reserved = new ArrayList<>();

    /**
     * @param prefix    of the pages' keys
     * @param pageBytes what the rows of a page may take
     * @param create    makes an empty page of a key
     */
    public PageTable(String prefix, int pageBytes, Function<String, P> create, BatchWriter writer) {
        this.prefix = prefix;
        this.pageBytes = pageBytes;
        this.create = create;
        this.writer = writer;
    }

    /** The page of a row, or null. */
    public P of(String row) {
        return pageOf.get(row);
    }

    /** A page that stands in the state service; rows are added by {@link #put(String, int, Page)}. */
    public P open(String key) {
        P page = create.apply(key);
        pages.add(page);
        return page;
    }

    /** No page is made under this key. */
    public void reserve(String key) {
        reserved.add(key);
    }

    /** Notes that the row stands in the page. */
    public void put(String row, int size, P page) {
        page.put(row, size);
        pageOf.put(row, page);
    }

    /** The page of the row; a new row goes to one that has room for it. */
    public P put(String row, int size) {
        P page = pageOf.get(row);
        put(row, size, page == null ? withRoom(size) : page);
        return pageOf.get(row);
    }

    /** Removes the row; its page, or null where there was none. */
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

    /** Moves what a page holds beyond its limit to other pages, and has all of them written. */
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
