package org.landingridge.controller.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.wire.MessageLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs that one transaction moves, grouped by segment, and the contents of these segments. A transaction of eight operations
 * moves seven jobs with consecutive ids, which share a segment, but only four jobs with a segment each.
 */
final class MoveBatch {
    /**
     * The compare-and-set transaction that moves a batch.
     *
     * @param moved       the jobs that the transaction moves
     * @param conflicting jobs of the batch that are not moved, because their segment already records a different end
     */
    record Transaction(
            List<Guard> guards, List<Write> writes, List<MoveCandidate> moved, List<MoveCandidate> conflicting) {}

    private static final Logger LOG = LoggerFactory.getLogger(MoveBatch.class);
    /** Most bytes that the keys, guards and field names of a moved job and its segment take in a transaction. */
    private static final int MAX_KEY_BYTES_PER_JOB = 500;
    /** Operations that fit into the largest message, even if each job has a segment of its own: a delete and a put each. */
    private static final int MAX_OPERATIONS =
            2 * (MessageLimits.MAX_MESSAGE_BYTES / (Segment.MAX_BYTES + MAX_KEY_BYTES_PER_JOB));

    private final Map<String, List<MoveCandidate>> candidatesBySegment = new LinkedHashMap<>();
    private final Map<String, History.LookupResult> contentsBySegment = new HashMap<>();
    private int remainingOperations;

    /** @param maxOperations maximum number of puts and deletes in a transaction of the state service */
    MoveBatch(int maxOperations) {
        remainingOperations = Math.min(maxOperations, MAX_OPERATIONS);
    }

    boolean isEmpty() {
        return candidatesBySegment.isEmpty();
    }

    boolean isFull() {
        return remainingOperations <= 0;
    }

    boolean contains(String segment) {
        return candidatesBySegment.containsKey(segment);
    }

    /** Adds the job if there is room for the delete of its key and, for a new segment, the put of the segment. */
    void add(MoveCandidate candidate) {
        String segment = candidate.address().key();
        int operations = contains(segment) ? 1 : 2;
        if (operations <= remainingOperations) {
            candidatesBySegment
                    .computeIfAbsent(segment, key -> new ArrayList<>())
                    .add(candidate);
            remainingOperations -= operations;
        }
    }

    /** Returns the key of a segment that has not been read yet, or empty if all have been read. */
    Optional<String> nextUnreadSegment() {
        for (String segment : candidatesBySegment.keySet()) {
            if (!contentsBySegment.containsKey(segment)) {
                return Optional.of(segment);
            }
        }
        return Optional.empty();
    }

    /** Returns the id of any job of the segment. */
    String anyJobId(String segment) {
        return candidatesBySegment.get(segment).get(0).id();
    }

    void setContents(String segment, History.LookupResult found) {
        contentsBySegment.put(segment, found);
    }

    /** Removes the jobs of a segment from the batch and returns them. */
    List<MoveCandidate> remove(String segment) {
        return candidatesBySegment.remove(segment);
    }

    /**
     * Returns the transaction that deletes the jobs' keys and puts their segments, conditional on the versions that were read.
     *
     * @param leaderVersion version of the leader key
     */
    Transaction transaction(long leaderVersion) {
        Transaction transaction =
                new Transaction(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        transaction.guards.add(new Guard(Keys.LEADER, leaderVersion));
        candidatesBySegment.forEach((key, candidates) -> appendSegment(transaction, key, candidates));
        return transaction;
    }

    private void appendSegment(Transaction transaction, String key, List<MoveCandidate> candidates) {
        History.LookupResult contents = contentsBySegment.get(key);
        Map<Integer, TerminatedJob> ends = new LinkedHashMap<>();
        for (MoveCandidate candidate : candidates) {
            int offset = candidate.address().offset();
            TerminatedJob recordedEnd = contents.segment().get(offset);
            if (recordedEnd != null && !recordedEnd.equals(candidate.end())) {
                // It is unknown which of the two ends users have seen, so neither record may be dropped.
                LOG.error(
                        "job with conflicting ends not moved, job={} byKey={} bySegment={} segment={}",
                        candidate.id(),
                        candidate.end(),
                        recordedEnd,
                        key);
                transaction.conflicting.add(candidate);
                continue;
            }
            ends.put(offset, candidate.end());
            transaction.moved.add(candidate);
            transaction.guards.add(new Guard(Keys.JOBS + candidate.id(), candidate.version()));
            transaction.writes.add(new Write(Keys.JOBS + candidate.id(), null, 0));
        }
        if (!ends.isEmpty()) {
            transaction.guards.add(new Guard(key, contents.version()));
            transaction.writes.add(new Write(key, contents.segment().with(ends).json(), 0));
        }
    }
}
