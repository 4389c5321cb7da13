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
    private static final int RETAINED_JOBS = 256;

    private static final int MAX_SCANNED_JOBS = 500;

    private final JobTable table;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final Compactor.Owner owner;
    /** Terminated jobs that the table does not retain, by id, as found by {@link KeyScan}. */
    private final Map<String, MoveCandidate> scannedJobs = new LinkedHashMap<>();
    /** Keys of segments that cannot be decoded: their jobs keep their own keys. */
    private final Set<String> unreadableSegments = new HashSet<>();
    /** Keys of segments that would exceed the state service's value size limit: their other jobs keep their own keys. */
    private final Set<String> fullSegments = new HashSet<>();
    /** Ids of jobs that have both a key and an entry in a segment, with different ends. */
    private final Set<String> conflictingJobs = new HashSet<>();

    CandidateSelector(JobTable table, WatchCache watchCache, EventLoop loop, Compactor.Owner owner) {
        this.table = table;
        this.watchCache = watchCache;
        this.loop = loop;
        this.owner = owner;
    }

    /** Returns as many jobs as one transaction can move, or an empty batch if too few may be moved. */
    MoveBatch nextBatch(int maxOperations) {
        MoveBatch batch = new MoveBatch(maxOperations);
        int surplus = table.terminated().all().size() - RETAINED_JOBS;
        // Waits for more jobs to fill a transaction, because each one, however small, wakes every controller's watch.
        if (surplus < maxOperations / 2 && scannedJobs.isEmpty()) {
            return batch;
        }
        Set<String> excludedJobs = owner.needed();
        excludedJobs.addAll(conflictingJobs);
        for (MoveCandidate candidate : scannedJobs.values()) {
            if (!excludedJobs.contains(candidate.id())) {
                add(batch, candidate);
            }
        }
        addFromTable(batch, excludedJobs, surplus);
        return batch;
    }

    private void addFromTable(MoveBatch batch, Set<String> excludedJobs, int surplus) {
        long now = loop.now();
        int remainingSurplus = surplus;
        for (Job job : table.terminated().all()) {
            if (batch.isFull() || now - job.endedAt() < MIN_AGE_MS) {
                return;
            }
            long version = watchCache.version(Keys.JOBS + job.id());
            // Skipped until the watch cache has reached the job's end: an earlier change may still name the job.
            if (version > watchCache.revision()
                    || table.terminated().unpersisted().contains(job)) {
                continue;
            }
            boolean isDue = remainingSurplus-- > 0
                    || batch.contains(SegmentAddress.of(job.id()).key());
            if (isDue && version > 0 && !excludedJobs.contains(job.id()) && !scannedJobs.containsKey(job.id())) {
                add(batch, new MoveCandidate(job.id(), version, new TerminatedJob(job.status(), job.tasks())));
            }
        }
    }

    private void add(MoveBatch batch, MoveCandidate candidate) {
        if (!isExcluded(candidate.address().key())) {
            batch.add(candidate);
        }
    }

    private boolean isExcluded(String segment) {
        return unreadableSegments.contains(segment) || fullSegments.contains(segment);
    }

    /** Returns whether the scan may add more jobs. */
    boolean hasRoom() {
        return scannedJobs.size() < MAX_SCANNED_JOBS;
    }

    /** Returns whether all jobs found by the scan have been moved. */
    boolean hasMovedAllScanned() {
        return scannedJobs.isEmpty();
    }

    /** Adds a job found by the scan. Excluded jobs are left out: they would fill the map, so that no other job could move. */
    void addScanned(MoveCandidate candidate) {
        if (!conflictingJobs.contains(candidate.id())
                && !isExcluded(candidate.address().key())) {
            scannedJobs.put(candidate.id(), candidate);
        }
    }

    /** Removes jobs that were moved or whose keys may have changed. The scan finds those that still have a key again. */
    void forget(List<MoveCandidate> candidates) {
        candidates.forEach(candidate -> scannedJobs.remove(candidate.id()));
    }

    /** Excludes jobs that have different ends under their own key and in their segment. */
    void excludeConflicting(List<MoveCandidate> candidates) {
        candidates.forEach(candidate -> conflictingJobs.add(candidate.id()));
    }

    /**
     * Excludes a segment that cannot be decoded.
     *
     * @param candidates the segment's jobs in the present batch
     */
    void excludeUnreadable(String segment, List<MoveCandidate> candidates) {
        unreadableSegments.add(segment);
        forget(candidates);
    }

    /** Excludes a segment that more jobs would take over the value size limit. */
    void excludeFull(String segment) {
        fullSegments.add(segment);
        scannedJobs.keySet().removeIf(id -> SegmentAddress.of(id).key().equals(segment));
    }
}
