package org.landingridge.controller.jobs;

import java.util.ArrayList;
import java.util.List;

/**
 * The cancellations that this process has come to know, in that order: what it can vouch for towards a leader that has lost
 * the state service. Everything that it tells a user of a cancellation stands here before. Bounded: of what was let go,
 * the newest revision is kept, and a leader that lacks it cannot be vouched for.
 */
public final class CancellationLog {
    /** A job that is cancelled, and the revision at which that was stored. */
    public record Ending(long revision, String id) {}

    /**
     * What follows a position.
     *
     * @param to       the position that this reaches
     * @param complete nothing is known beyond it
     */
    public record Page(long to, boolean complete, List<Ending> endings) {}

    static final int MOST = 4_096;
    private static final int PAGE = 1_000;
    private final Ending[] ring = new Ending[MOST];
    private long count;
    /** The newest revision of an ending that has been overwritten. */
    private long floor;

    void note(long revision, String id) {
        int at = (int) (count++ % MOST);
        if (ring[at] != null) {
            floor = Math.max(floor, ring[at].revision);
        }
        ring[at] = new Ending(revision, id);
    }

    /** How many came to be known so far. */
    public long count() {
        return count;
    }

    /**
     * What came to be known here after the position, as far as it was stored after the revision; null where some of that
     * may have been let go.
     */
    public Page after(long position, long revision) {
        long oldest = Math.max(0, count - MOST);
        // Without this a leader would take a part of what it lacks for the whole.
        if (position < oldest && floor > revision) {
            return null;
        }
        List<Ending> endings = new ArrayList<>();
        long to = Math.min(count, Math.max(oldest, position));
        while (to < count && endings.size() < PAGE) {
            Ending e = ring[(int) (to++ % MOST)];
            if (e.revision > revision) {
                endings.add(e);
            }
        }
        return new Page(to, to == count, endings);
    }
}
