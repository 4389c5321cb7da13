package org.landingridge.controller.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.wire.InvalidMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cached contents of one segment, and the lookups that wait for its first read. */
final class CachedSegment {
    private enum State {
        /** The first read is in progress. */
        LOADING,
        /** The contents are known as of {@link #version}. */
        READ,
        /** The stored value cannot be decoded. */
        UNREADABLE
    }

    private static final Logger LOG = LoggerFactory.getLogger(CachedSegment.class);
    private final String key;
    private State state = State.LOADING;
    private Segment segment;
    private long version = -1;
    private List<Runnable> waitingLookups = new ArrayList<>();

    CachedSegment(String key) {
        this.key = key;
    }

    boolean isLoading() {
        return state == State.LOADING;
    }

    /** Returns how the job at this offset ended, or null if that is not known; null does not prove its absence. */
    TerminatedJob terminatedJob(int offset) {
        return state == State.READ ? segment.get(offset) : null;
    }

    /** Returns the present result of a lookup of the job at this offset. */
    History.Found lookupResult(int offset) {
        return switch (state) {
            case LOADING -> History.UNAVAILABLE;
            case UNREADABLE -> new History.Found(History.Outcome.UNREADABLE, null, null, version);
            case READ -> new History.Found(History.Outcome.READ, segment.get(offset), segment, version);
        };
    }

    /**
     * Takes over a stored value, unless this version or a newer one is known already.
     *
     * @param value the stored value, or null if the segment does not exist
     */
    void update(JsonNode value, long newVersion) {
        if (newVersion <= version) {
            return;
        }
        try {
            transitionTo(State.READ, value == null ? Segment.EMPTY : Segment.read(value), newVersion);
        } catch (InvalidMessageException e) {
            // Neither treated as empty nor overwritten: its jobs get HTTP 503 until an operator repairs the segment.
            LOG.error("segment unreadable, segment={} error={}", key, e.getMessage());
            transitionTo(State.UNREADABLE, null, newVersion);
        }
    }

    private void transitionTo(State next, Segment contents, long newVersion) {
        state = next;
        segment = contents;
        version = newVersion;
    }

    /** Runs the lookup at the next call of {@link #answerWaiting}. */
    void addWaiting(Runnable lookup) {
        waitingLookups.add(lookup);
    }

    /** Runs all waiting lookups. */
    void answerWaiting() {
        List<Runnable> lookups = waitingLookups;
        waitingLookups = new ArrayList<>();
        lookups.forEach(Runnable::run);
    }
}
