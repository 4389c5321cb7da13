package org.landingridge.controller.history;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;

/**
 * Chooses the jobs to move: those that the scan of their keys found, then those of the table that ended first. Remembers for a
 * leader term which jobs and segments are excluded.
 */
final class CandidateSelector {
    /** No job is moved sooner after its end: heartbeats and commands that still name it have arrived by then. */
    private static final long MIN_AGE_MS = 30_000;
    /** So many of the jobs that ended last stay where a poll finds them at once. */
    private static final int RETAINED = 256;

    private static final int MAX_SCANNED = 500;

    private final JobTable table;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final Compactor.Owner owner;
    /** Terminated jobs that the table does not retain, found by the scan of their keys. */
    private final Map<String, Candidate> scanned = new LinkedHashMap<>();
    /** Segments that could not be read: their jobs stay where they are. */
    private final Set<String> unreadable = new HashSet<>();
    /** Segments that would grow beyond what the state service takes: their other jobs stay under keys of their own. */
    private final Set<String> full = new HashSet<>();
    /** Jobs that stand in both places with different ends. */
    private final Set<String> contradicted = new HashSet<>();

    CandidateSelector(JobTable table, WatchCache watchCache, EventLoop loop, Compactor.Owner owner) {
        this.table = table;
        this.watchCache = watchCache;
        this.loop = loop;
        this.owner = owner;
    }

    /** As many jobs as a transaction takes; none where too few may be moved. */
    MoveBatch batch(int maxOperations) {
        MoveBatch batch = new MoveBatch(maxOperations);
        int surplus = table.terminated().all().size() - RETAINED;
        // A few more are waited for: each transaction wakes every controller's watch, however little it moves.
        if (surplus < maxOperations / 2 && scanned.isEmpty()) {
            return batch;
        }
        Set<String> blocked = owner.needed();
        blocked.addAll(contradicted);
        for (Candidate candidate : scanned.values()) {
            if (!blocked.contains(candidate.id())) {
                add(batch, candidate);
            }
        }
        addFromTable(batch, blocked, surplus);
        return batch;
    }

    private void addFromTable(MoveBatch batch, Set<String> blocked, int surplus) {
        long now = loop.now();
        int left = surplus;
        for (Job job : table.terminated().all()) {
            if (batch.full() || now - job.endedAt() < MIN_AGE_MS) {
                return;
            }
            long version = watchCache.version(Keys.JOBS + job.id());
            // What is not in the watch cache yet may name the job: a move is decided on all that came before its end.
            if (version > watchCache.revision()
                    || table.terminated().unpersisted().contains(job)) {
                continue;
            }
            boolean due =
                    left-- > 0 || batch.contains(SegmentAddress.of(job.id()).key());
            if (due && version > 0 && !blocked.contains(job.id()) && !scanned.containsKey(job.id())) {
                add(batch, new Candidate(job.id(), version, new TerminatedJob(job.status(), job.tasks())));
            }
        }
    }

    private void add(MoveBatch batch, Candidate candidate) {
        if (!excluded(candidate.address().key())) {
            batch.add(candidate);
        }
    }

    private boolean excluded(String segment) {
        return unreadable.contains(segment) || full.contains(segment);
    }

    /** True if the scan may add more. */
    boolean hasRoom() {
        return scanned.size() < MAX_SCANNED;
    }

    /** True if no job that the scan found is left to move. */
    boolean scannedAllMoved() {
        return scanned.isEmpty();
    }

    /** The scan found a job. Those that cannot move would fill the map, and keep all others from moving. */
    void found(Candidate candidate) {
        if (!contradicted.contains(candidate.id())
                && !excluded(candidate.address().key())) {
            scanned.put(candidate.id(), candidate);
        }
    }

    /** The jobs have been moved, or their keys have changed: the scan has to find them again. */
    void forget(List<Candidate> candidates) {
        candidates.forEach(candidate -> scanned.remove(candidate.id()));
    }

    void contradicted(List<Candidate> candidates) {
        candidates.forEach(candidate -> contradicted.add(candidate.id()));
    }

    /** @param candidates the jobs of the segment that were about to be moved */
    void unreadable(String segment, List<Candidate> candidates) {
        unreadable.add(segment);
        forget(candidates);
    }

    void full(String segment) {
        full.add(segment);
        scanned.keySet().removeIf(id -> SegmentAddress.of(id).key().equals(segment));
    }
}
