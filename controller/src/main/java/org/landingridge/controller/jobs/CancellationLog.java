package org.landingridge.controller.jobs;

import java.util.ArrayList;
import java.util.List;

/**
 * The cancellations known to this process, in the order in which it learned of them. The process reports them to a leader that
 * has lost the state service. A cancellation is logged before any user is informed of it. The log is bounded: it keeps the
 * newest revision among the overwritten entries, and cannot give a complete report to a leader whose view is older than that.
 */
public final class CancellationLog {
    /** A cancelled job, and the revision at which the cancellation was stored. */
    public record Ending(long revision, String id) {}

    /**
     * A page of entries that follow a given position.
     *
     * @param to       the position after the last entry examined
     * @param complete whether the page reaches the newest entry of the log
     */
    public record Page(long to, boolean complete, List<Ending> endings) {}

    static final int CAPACITY = 4_096;
    private static final int PAGE_SIZE = 1_000;

    private final Ending[] ring = new Ending[CAPACITY];
    private long count;
    /** The newest revision among the overwritten entries. */
    private long newestOverwrittenRevision;

    void add(long revision, String jobId) {
        int slot = (int) (count++ % CAPACITY);
        if (ring[slot] != null) {
            newestOverwrittenRevision = Math.max(newestOverwrittenRevision, ring[slot].revision);
        }
        ring[slot] = new Ending(revision, jobId);
    }

    /** Returns the number of cancellations added so far, which is the position after the newest entry. */
    public long count() {
        return count;
    }

    /**
     * Returns a page of the entries after the position that were stored after the revision; null if some of them may have been
     * overwritten.
     */
    public Page after(long position, long revision) {
        long oldestPosition = Math.max(0, count - CAPACITY);
        // A page without the overwritten entries would look complete to a leader that lacks them.
        if (position < oldestPosition && newestOverwrittenRevision > revision) {
            return null;
        }
        List<Ending> cancellations = new ArrayList<>();
        long endPosition = Math.min(count, Math.max(oldestPosition, position));
        while (endPosition < count && cancellations.size() < PAGE_SIZE) {
            Ending cancellation = ring[(int) (endPosition++ % CAPACITY)];
            if (cancellation.revision > revision) {
                cancellations.add(cancellation);
            }
        }
        return new Page(endPosition, endPosition == count, cancellations);
    }
}
