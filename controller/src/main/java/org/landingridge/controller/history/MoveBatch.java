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
 * The jobs that one transaction moves, by segment, and the segments as they were read. Job ids that follow each other share a
 * segment, and then seven jobs fill a transaction of eight operations; where each has its own segment, four do.
 */
final class MoveBatch {
    /**
     * The compare-and-swap that moves a batch.
     *
     * @param moved        the jobs that it moves
     * @param contradicted jobs of the batch that have another end in their segment already, and stay
     */
    record Transaction(List<Guard> guards, List<Write> writes, List<Candidate> moved, List<Candidate> contradicted) {}

    private static final Logger LOG = LoggerFactory.getLogger(MoveBatch.class);
    private final Map<String, List<Candidate>> bySegment = new LinkedHashMap<>();
    private final Map<String, History.Found> segments = new HashMap<>();
    private int room;

    /** @param maxOperations puts and deletes that a transaction takes */
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

    /** Takes the job in where there is room for the delete of its key and, the first time, the put of its segment. */
    void add(Candidate candidate) {
        String segment = candidate.address().key();
        int operations = contains(segment) ? 1 : 2;
        if (operations <= room) {
            bySegment.computeIfAbsent(segment, key -> new ArrayList<>()).add(candidate);
            room -= operations;
        }
    }

    /** A segment that has not been read yet; empty once all have. */
    Optional<String> unread() {
        for (String segment : bySegment.keySet()) {
            if (!segments.containsKey(segment)) {
                return Optional.of(segment);
            }
        }
        return Optional.empty();
    }

    /** The id of a job of the segment. */
    String anyJob(String segment) {
        return bySegment.get(segment).get(0).id();
    }

    void read(String segment, History.Found found) {
        segments.put(segment, found);
    }

    /** Leaves the jobs of a segment out, and returns them. */
    List<Candidate> remove(String segment) {
        return bySegment.remove(segment);
    }

    /**
     * Deletes the jobs' keys and puts their segments, on the condition that nothing of that has changed.
     *
     * @param leaderVersion version of the leader's key
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
                // Two ends of one job: whichever users were told, nothing here may choose between them.
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
