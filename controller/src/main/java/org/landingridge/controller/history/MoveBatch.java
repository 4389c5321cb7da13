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
     * @param moved        the jobs that the transaction moves
     * @param contradicted jobs of the batch that are not moved, because their segment already records a different end
     */
    record Transaction(List<Guard> guards, List<Write> writes, List<Candidate> moved, List<Candidate> contradicted) {}

    private static final Logger LOG = LoggerFactory.getLogger(MoveBatch.class);
    private final Map<String, List<Candidate>> bySegment = new LinkedHashMap<>();
    private final Map<String, History.Found> segments = new HashMap<>();
    private int room;

    /** @param maxOperations maximum number of puts and deletes in a transaction */
    MoveBatch(int maxOperations) {
        room = maxOperations;
    }

    boolean isEmpty() {
        return bySegment.isEmpty();
    }

    boolean full() {
        return room <= 0;
    }

    boolean contains(String segment) {
        return bySegment.containsKey(segment);
    }

    /** Adds the job if there is room for the delete of its key and, for a new segment, the put of the segment. */
    void add(Candidate candidate) {
        String segment = candidate.address().key();
        int operations = contains(segment) ? 1 : 2;
        if (operations <= room) {
            bySegment.computeIfAbsent(segment, key -> new ArrayList<>()).add(candidate);
            room -= operations;
        }
    }

    /** Returns the key of a segment that has not been read yet, or empty if all have been read. */
    Optional<String> unread() {
        for (String segment : bySegment.keySet()) {
            if (!segments.containsKey(segment)) {
                return Optional.of(segment);
            }
        }
        return Optional.empty();
    }

    /** Returns the id of any job of the segment. */
    String anyJob(String segment) {
        return bySegment.get(segment).get(0).id();
    }

    void read(String segment, History.Found found) {
        segments.put(segment, found);
    }

    /** Removes the jobs of a segment from the batch and returns them. */
    List<Candidate> remove(String segment) {
        return bySegment.remove(segment);
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
        bySegment.forEach((key, candidates) -> append(transaction, key, candidates));
        return transaction;
    }

    private void append(Transaction transaction, String key, List<Candidate> candidates) {
        History.Found before = segments.get(key);
        Map<Integer, TerminatedJob> ends = new LinkedHashMap<>();
        for (Candidate candidate : candidates) {
            int offset = candidate.address().offset();
            TerminatedJob present = before.segment().get(offset);
            if (present != null && !present.equals(candidate.end())) {
                // It is unknown which of the two ends users have seen, so neither record may be dropped.
                LOG.error(
                        "job has two ends, both stay: job={} byKey={} bySegment={} segment={}",
                        candidate.id(),
                        candidate.end(),
                        present,
                        key);
                transaction.contradicted.add(candidate);
                continue;
            }
            ends.put(offset, candidate.end());
            transaction.moved.add(candidate);
            transaction.guards.add(new Guard(Keys.JOBS + candidate.id(), candidate.version()));
            transaction.writes.add(new Write(Keys.JOBS + candidate.id(), null, 0));
        }
        if (!ends.isEmpty()) {
            transaction.guards.add(new Guard(key, before.version()));
            transaction.writes.add(new Write(key, before.segment().with(ends).json(), 0));
        }
    }
}
