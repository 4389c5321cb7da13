package org.landingridge.controller.jobs;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A bounded number of terminated jobs that still have their own key. A job whose key does not record its end yet is never
 * evicted: a later read of its key would show it as accepted.
 */
public final class TerminatedJobs {
    private final int maxRetained;
    /** In the order in which this process learned of their ends. */
    private final Set<Job> retained = new LinkedHashSet<>();
    /** Cancelled jobs whose own key is not known to record it yet; in most cases an awaited job was cancelled. */
    private final Set<Job> unpersisted = new LinkedHashSet<>();

    private int evictionCount;
    private boolean mayBeIncomplete;

    /** @param maxRetained maximum number of retained jobs, apart from unpersisted ones */
    TerminatedJobs(int maxRetained) {
        this.maxRetained = maxRetained;
    }

    /** Returns the retained jobs, in the order in which this process learned of their ends. */
    public Collection<Job> all() {
        return retained;
    }

    /** Returns the cancelled jobs whose own key does not record the cancellation yet. */
    public Collection<Job> unpersisted() {
        return unpersisted;
    }

    /** @param isPersisted whether the job's own key records its end */
    void add(Job job, boolean isPersisted) {
        if (!isPersisted) {
            unpersisted.add(job);
        }
        retained.add(job);
    }

    /** Records that the job's own key now states its end. */
    public void persisted(Job job) {
        unpersisted.remove(job);
    }

    /** Removes a job whose key was deleted. */
    void remove(Job job) {
        retained.remove(job);
        unpersisted.remove(job);
    }

    /** If more jobs than the limit are retained, evicts and returns the persisted one whose end has been known longest. */
    Optional<Job> evict() {
        if (retained.size() - unpersisted.size() <= maxRetained) {
            return Optional.empty();
        }
        for (Iterator<Job> oldestFirst = retained.iterator(); oldestFirst.hasNext(); ) {
            Job job = oldestFirst.next();
            if (!unpersisted.contains(job)) {
                oldestFirst.remove();
                mayBeIncomplete = true;
                evictionCount++;
                return Optional.of(job);
            }
        }
        return Optional.empty();
    }

    /** Returns the number of jobs evicted so far. */
    public int evictions() {
        return evictionCount;
    }

    /** Returns true while there may be terminated jobs that have their own key but are not retained. */
    public boolean partial() {
        return mayBeIncomplete;
    }

    /** Records that a scan of all job keys since the last eviction found every terminated job with a key retained. */
    public void complete() {
        mayBeIncomplete = false;
    }
}
