package org.landingridge.controller.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.wire.InvalidMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A segment as it was read last, and the lookups that wait for its first read. */
final class CachedSegment {
    private enum State {
        /** Asked for, the answer is not here yet. */
        LOADING,
        /** Known as of its version. */
        READ,
        /** What is stored makes no sense. */
        UNREADABLE
    }

    private static final Logger LOG = LoggerFactory.getLogger(CachedSegment.class);
    private final String key;
    private State state = State.LOADING;
    private Segment segment;
    private long version = -1;
    private List<Runnable> waiting = new ArrayList<>();

    CachedSegment(String key) {
        this.key = key;
    }

    boolean loading() {
        return state == State.LOADING;
    }

    /** How the job ended; null says nothing. */
    TerminatedJob known(int offset) {
        return state == State.READ ? segment.get(offset) : null;
    }

    /** What is known of the job now. */
    History.Found found(int offset) {
        return switch (state) {
            case LOADING -> History.UNAVAILABLE;
            case UNREADABLE -> new History.Found(History.Outcome.UNREADABLE, null, null, version);
            case READ -> new History.Found(History.Outcome.READ, segment.get(offset), segment, version);
        };
    }

    /** @param value null where the segment does not exist */
    void read(JsonNode value, long newVersion) {
        if (newVersion <= version) {
            return;
        }
        try {
            to(State.READ, value == null ? Segment.EMPTY : Segment.read(value), newVersion);
        } catch (InvalidMessageException e) {
            // Never taken for empty, never overwritten: its jobs are answered 503 until an operator has mended it.
            LOG.error("segment unreadable: segment={} error={}", key, e.getMessage());
            to(State.UNREADABLE, null, newVersion);
        }
    }

    private void to(State next, Segment read, long newVersion) {
        state = next;
        segment = read;
        version = newVersion;
    }

    /** Runs the lookup with the next call of {@link #answerWaiting}. */
    void await(Runnable lookup) {
        waiting.add(lookup);
    }

    void answerWaiting() {
        List<Runnable> lookups = waiting;
        waiting = new ArrayList<>();
        lookups.forEach(Runnable::run);
    }
}
