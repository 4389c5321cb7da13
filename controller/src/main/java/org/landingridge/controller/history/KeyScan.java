package org.landingridge.controller.history;

import java.util.Optional;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.state.StateEntry;
import org.landingridge.wire.state.StateListing;

/**
 * Repeated, paged scan of all job keys. It finds terminated jobs that the job table does not retain: jobs left by an earlier
 * version, and jobs that ended while moves were not possible. Active jobs are in the table and are skipped.
 */
final class KeyScan {
    /** Delay until the next scan once no scanned job is left to move. */
    private static final long REPEAT_MS = 60_000;

    private final JobTable table;
    private final EventLoop loop;
    private final CandidateSelector selector;
    /** The last key read in this scan; null before the first page. */
    private String position;

    private long notBefore;
    private boolean foundAny;
    private int evictionsAtStart;

    KeyScan(JobTable table, EventLoop loop, CandidateSelector selector) {
        this.table = table;
        this.loop = loop;
        this.selector = selector;
    }

    /** Returns whether a page may be read now and may contain jobs to move. */
    boolean due() {
        return table.terminated().partial() && selector.hasRoom() && loop.now() >= notBefore;
    }

    /** Returns the key after which the next page begins, or null for the first page of a scan. */
    String nextPage() {
        if (position == null) {
            foundAny = false;
            evictionsAtStart = table.terminated().evictions();
        }
        return position;
    }

    /** Processes a page; returns false if the answer contains none. */
    boolean read(Answer answer) {
        Optional<StateListing> page = answer.ok() ? answer.listing() : Optional.empty();
        if (page.isEmpty()) {
            return false;
        }
        for (StateEntry entry : page.get().entries()) {
            position = entry.key();
            found(position.substring(Keys.JOBS.length()), entry);
        }
        if (!page.get().more()) {
            finished();
        }
        return true;
    }

    private void found(String id, StateEntry entry) {
        StoredJobCodec.termination(entry.value()).ifPresent(end -> {
            if (table.get(id) == null) {
                foundAny = true;
                selector.found(new Candidate(id, entry.version(), end));
            }
        });
    }

    private void finished() {
        position = null;
        notBefore = selector.scannedAllMoved() ? loop.now() + REPEAT_MS : 0;
        if (!foundAny && evictionsAtStart == table.terminated().evictions()) {
            table.terminated().complete();
        }
    }
}
