package org.landingridge.controller.jobs;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Terminated jobs that still have a key of their own, as many as are retained. A job whose key does not state its end yet is
 * never evicted: read from its key it would be taken for an accepted one.
 */
public final class TerminatedJobs {
    private final int limit;
    /** In the order in which their ends came to be known here. */
    private final Set<Job> retained = new LinkedHashSet<>();
    /** Cancelled jobs whose own key, as far as known here, does not say so yet; mostly since a job that they await was. */
    private final Set<Job> unpersisted = new LinkedHashSet<>();

    private int evictions;
    private boolean partial;

    /** @param limit jobs that are retained at most, apart from the unpersisted ones */
    TerminatedJobs(int limit) {
        this.limit = limit;
    }

    /** The retained jobs, in the order in which their ends came to be known here. */
    public Collection<Job> all() {
        return retained;
    }

    /** Cancelled jobs whose own key does not say so yet. */
    public Collection<Job> unpersisted() {
        return unpersisted;
    }

    /** @param persisted whether the job's own key states its end */
    void add(Job job, boolean persisted) {
        if (!persisted) {
            unpersisted.add(job);
        }
        retained.add(job);
    }

    /** The job's own key now states its end. */
    public void persisted(Job job) {
        unpersisted.remove(job);
    }

    /** The job's key is gone. */
    void remove(Job job) {
        retained.remove(job);
        unpersisted.remove(job);
    }

    /** Evicts the job that ended first, where more than the limit are retained. */
    Optional<Job> evict() {
        if (retained.size() - unpersisted.size() <= limit) {
            return Optional.empty();
        }
        for (Iterator<Job> eldest = retained.iterator(); eldest.hasNext(); ) {
            Job job = eldest.next();
            if (!unpersisted.contains(job)) {
                eldest.remove();
                partial = true;
                evictions++;
                return Optional.of(job);
            }
        }
        return Optional.empty();
    }

    /** How many jobs were evicted so far. */
    public int evictions() {
        return evictions;
    }

    /** True while there may be terminated jobs with a key of their own that are not retained. */
    public boolean partial() {
        return partial;
    }

    /** Every job's key has been read since the last eviction, and each terminated job that has one is retained. */
    public void complete() {
        partial = false;
    }
}
