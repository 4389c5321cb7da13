package org.landingridge.controller.history;

import org.landingridge.controller.jobs.TerminatedJob;

/**
 * A terminated job that may be moved into the history.
 *
 * @param version version of the job's own key
 * @param end     how the job ended
 */
record MoveCandidate(String id, long version, TerminatedJob end) {
    SegmentAddress address() {
        return SegmentAddress.of(id);
    }
}
