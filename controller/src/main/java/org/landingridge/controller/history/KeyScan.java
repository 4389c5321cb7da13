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
    private static final long RESCAN_DELAY_MS = 60_000;

    private final JobTable table;
    private final EventLoop loop;
    private final CandidateSelector selector;
    /** The last key read in this scan; null before the first page. */
    private String lastKey;

    private long nextScanAt;
    private boolean hasFoundJobs;
    private int evictionsAtStart;

    KeyScan(JobTable table, EventLoop loop, CandidateSelector selector) {
        this.table = table;
        this.loop = loop;
        this.selector = selector;
    }

    /** Returns whether a page may be read now and may contain jobs to move. */
    boolean isDue() {
        return table.terminated().partial() && selector.hasRoom() && loop.now() >= nextScanAt;
    }

    /** Returns the key after which the next page begins, or null for the first page of a scan. */
    String nextPageStart() {
        if (lastKey == null) {
            hasFoundJobs = false;
            evictionsAtStart = table.terminated().evictions();
        }
        return lastKey;
    }

    /** Processes a page; returns false if the answer contains none. */
    boolean readPage(Answer answer) {
        Optional<StateListing> page = answer.ok() ? answer.listing() : Optional.empty();
        if (page.isEmpty()) {
            return false;
        }
        for (StateEntry entry : page.get().entries()) {
            lastKey = entry.key();
            addIfTerminated(lastKey.substring(Keys.JOBS.length()), entry);
        }
        if (!page.get().more()) {
            finishScan();
        }
        return true;
    }

    private void addIfTerminated(String id, StateEntry entry) {
        StoredJobCodec.termination(entry.value()).ifPresent(end -> {
            if (table.get(id) == null) {
                hasFoundJobs = true;
                selector.addScanned(new MoveCandidate(id, entry.version(), end));
            }
        });
    }

    private void finishScan() {
        lastKey = null;
        nextScanAt = selector.hasMovedAllScanned() ? loop.now() + RESCAN_DELAY_MS : 0;
        if (!hasFoundJobs && evictionsAtStart == table.terminated().evictions()) {
            table.terminated().complete();
        }
    }
}
