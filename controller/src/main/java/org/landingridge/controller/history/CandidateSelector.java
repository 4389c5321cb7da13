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
 * Chooses the jobs to move: first those found by {@link KeyScan}, then those of the job table that ended first. Remembers during
 * a leader term which jobs and segments are excluded.
 */
final class CandidateSelector {
    /** Time from a job's end to its move: by then, heartbeats and commands that still name it have arrived. */
    private static final long MIN_AGE_MS = 30_000;
    /** The jobs that ended last, up to this number, stay in the job table, where a poll finds them without a request. */
    private static final int RETAINED = 256;

    private static final int MAX_SCANNED = 500;

    private final JobTable table;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final Compactor.Owner owner;
    /** Terminated jobs that the table does not retain, by id, as found by {@link KeyScan}. */
    private final Map<String, Candidate> scanned = new LinkedHashMap<>();
    /** Keys of segments that cannot be decoded: their jobs keep their own keys. */
    private final Set<String> unreadable = new HashSet<>();
    /** Keys of segments that would exceed the state service's value size: their other jobs keep their own keys. */
    private final Set<String> full = new HashSet<>();
    /** Ids of jobs that have both a key and an entry in a segment, with different ends. */
    private final Set<String> contradicted = new HashSet<>();

    CandidateSelector(JobTable table, WatchCache watchCache, EventLoop loop, Compactor.Owner owner) {
        this.table = table;
        this.watchCache = watchCache;
        this.loop = loop;
        this.owner = owner;
    }

    /** Returns as many jobs as one transaction can move, or an empty batch if too few may be moved. */
    MoveBatch batch(int maxOperations) {
        MoveBatch batch = new MoveBatch(maxOperations);
        int surplus = table.terminated().all().size() - RETAINED;
        // Waits for more jobs to fill a transaction, because each one, however small, wakes every controller's watch.
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
            // A change before the job's end that is not in the watch cache yet may name the job.
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

    /** Returns whether the scan may add more jobs. */
    boolean hasRoom() {
        return scanned.size() < MAX_SCANNED;
    }

    /** Returns whether all jobs found by the scan have been moved. */
    boolean scannedAllMoved() {
        return scanned.isEmpty();
    }

    /** Adds a job found by the scan. Excluded jobs are left out: they would fill the map, so that no other job could move. */
    void found(Candidate candidate) {
        if (!contradicted.contains(candidate.id())
                && !excluded(candidate.address().key())) {
            scanned.put(candidate.id(), candidate);
        }
    }

    /** Removes jobs that were moved or whose keys may have changed. The scan finds those that still have a key again. */
    void forget(List<Candidate> candidates) {
        candidates.forEach(candidate -> scanned.remove(candidate.id()));
    }

    /** Excludes jobs that have different ends under their own key and in their segment. */
    void contradicted(List<Candidate> candidates) {
        candidates.forEach(candidate -> contradicted.add(candidate.id()));
    }

    /**
     * Excludes a segment that cannot be decoded.
     *
     * @param candidates the segment's jobs in the present batch
     */
    void unreadable(String segment, List<Candidate> candidates) {
        unreadable.add(segment);
        forget(candidates);
    }

    /** Excludes a segment that has reached the maximum value size. */
    void full(String segment) {
        full.add(segment);
        scanned.keySet().removeIf(id -> SegmentAddress.of(id).key().equals(segment));
    }
}
