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
 * The position in repeated scans of all jobs' keys. A scan finds terminated jobs that the table does not retain: what an
 * earlier version left, or what ended while nothing could be moved. Active jobs are in the table and are passed over.
 */
final class KeyScan {
    /** After a scan that found nothing to move. */
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

    /** True if a page may be read now, and may bring something. */
    boolean due() {
        return table.terminated().partial() && selector.hasRoom() && loop.now() >= notBefore;
    }

    /** The key after which the next page begins; null for the first. */
    String nextPage() {
        if (position == null) {
            foundAny = false;
            evictionsAtStart = table.terminated().evictions();
        }
        return position;
    }

    /** Takes a page in; false where there is none in the answer. */
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
