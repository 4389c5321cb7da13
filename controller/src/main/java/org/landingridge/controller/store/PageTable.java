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
    private final int maxPageBytes;
    private final Function<String, P> pageFactory;
    private final BatchWriter writer;
    private final List<P> pages = new ArrayList<>();
    private final Map<String, P> pagesByRow = new HashMap<>();
    /** Keys that must not be used for new pages. */
    private final List<String> reservedKeys = new ArrayList<>();

    /**
     * Creates a table without pages.
     *
     * @param prefix       prefix of the pages' keys; a page number is appended
     * @param maxPageBytes limit on the total size of a page's rows, in bytes
     * @param pageFactory  creates an empty page for a key
     * @param writer       writes pages that are split
     */
    public PageTable(String prefix, int maxPageBytes, Function<String, P> pageFactory, BatchWriter writer) {
        this.prefix = prefix;
        this.maxPageBytes = maxPageBytes;
        this.pageFactory = pageFactory;
        this.writer = writer;
    }

    /** Returns the page of a row, or null. */
    public P pageOf(String row) {
        return pagesByRow.get(row);
    }

    /** Adds an empty page for the key and returns it; rows are added by {@link #put(String, int, Page)}. */
    public P addPage(String key) {
        P page = pageFactory.apply(key);
        pages.add(page);
        return page;
    }

    /** Excludes the key from use for new pages. */
    public void reserve(String key) {
        reservedKeys.add(key);
    }

    /** Records that the page contains the row. {@code size} is its maximum size in bytes. */
    public void put(String row, int sizeBytes, P page) {
        page.put(row, sizeBytes);
        pagesByRow.put(row, page);
    }

    /** Updates the row's size, in bytes, and returns its page. A new row is added to the first page with enough room. */
    public P put(String row, int sizeBytes) {
        P page = pagesByRow.get(row);
        put(row, sizeBytes, page == null ? findOrAddPage(sizeBytes) : page);
        return pagesByRow.get(row);
    }

    /** Removes the row and returns the page that contained it, or null. */
    public P remove(String row) {
        P page = pagesByRow.remove(row);
        if (page != null) {
            page.remove(row);
        }
        return page;
    }

    private P findOrAddPage(int sizeBytes) {
        for (P page : pages) {
            if (page.totalBytes() + sizeBytes <= maxPageBytes) {
                return page;
            }
        }
        int pageNumber = 0;
        while (isTaken(prefix + pageNumber)) {
            pageNumber++;
        }
        return addPage(prefix + pageNumber);
    }

    private boolean isTaken(String key) {
        return reservedKeys.contains(key)
                || pages.stream().anyMatch(page -> page.key().equals(key));
    }

    /** Moves rows from pages above the size limit to other pages and marks all changed pages for writing. */
    public void splitOversized() {
        for (P page : List.copyOf(pages)) {
            List<String> rows = new ArrayList<>(page.rowNames());
            for (int rowIndex = rows.size() - 1; rowIndex > 0 && page.totalBytes() > maxPageBytes; rowIndex--) {
                String row = rows.get(rowIndex);
                int sizeBytes = page.remove(row);
                P successor = findOrAddPage(sizeBytes);
                put(row, sizeBytes, successor);
                page.addSuccessor(successor);
                writer.mark(successor);
                writer.mark(page);
            }
        }
    }
}
