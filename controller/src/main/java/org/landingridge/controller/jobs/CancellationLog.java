package org.landingridge.controller.jobs;

import java.util.ArrayList;
import java.util.List;

/**
 * The cancellations that this process has come to know, in that order: what it can vouch for towards a leader that has lost
 * the state service. A cancellation is in the log before any user is told of it. Bounded: of the overwritten entries the
 * newest revision is kept, and for a leader that lacks it this process cannot vouch.
 */
public final class CancellationLog {
    /** A job that is cancelled, and the revision at which that was stored. */
    public record Ending(long revision, String id) {}

    /**
     * The entries that follow a position.
     *
     * @param to       the position after the last entry considered
     * @param complete nothing is known beyond it
     */
    public record Page(long to, boolean complete, List<Ending> endings) {}

    static final int CAPACITY = 4_096;
    private static final int PAGE_SIZE = 1_000;

    private final Ending[] ring = new Ending[CAPACITY];
    private long count;
    /** The newest revision of an entry that has been overwritten. */
    private long overwritten;

    void note(long revision, String id) {
        int slot = (int) (count++ % CAPACITY);
        if (ring[slot] != null) {
            overwritten = Math.max(overwritten, ring[slot].revision);
        }
        ring[slot] = new Ending(revision, id);
    }

    /** How many cancellations came to be known so far: the position after the newest. */
    public long count() {
        return count;
    }

    /**
     * A page of what came to be known here after the position, as far as it was stored after the revision; null where some of
     * that may have been overwritten.
     */
    public Page after(long position, long revision) {
        long oldest = Math.max(0, count - CAPACITY);
        // Otherwise a leader would take a part of the entries that it lacks for all of them.
        if (position < oldest && overwritten > revision) {
            return null;
        }
        List<Ending> endings = new ArrayList<>();
        long to = Math.min(count, Math.max(oldest, position));
        while (to < count && endings.size() < PAGE_SIZE) {
            Ending ending = ring[(int) (to++ % CAPACITY)];
            if (ending.revision > revision) {
                endings.add(ending);
            }
        }
        return new Page(to, to == count, endings);
    }
}
