package org.landingridge.controller.history;

import com.fasterxml.jackson.databind.JsonNode;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;

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
        JsonNode page = answer.ok() ? answer.body().get("entries") : null;
        if (page == null || !page.isArray()) {
            return false;
        }
        for (JsonNode entry : page) {
            position = Json.text(entry, "key");
            found(position.substring(Keys.JOBS.length()), entry);
        }
        if (!Json.flag(answer.body(), "more")) {
            finished();
        }
        return true;
    }

    private void found(String id, JsonNode entry) {
        StoredJobCodec.termination(entry.path("data")).ifPresent(end -> {
            if (table.get(id) == null) {
                foundAny = true;
                selector.found(new Candidate(id, Json.integer(entry, "stamp", 0), end));
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
