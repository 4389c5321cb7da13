package org.landingridge.controller.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The edges of the DAG of jobs: maps the id of each awaited job that is not known to be done to the jobs that await it. */
final class JobDependencies {
    private final Map<String, Job> known;
    private final Map<String, Set<Job>> dependents = new HashMap<>();

    /** @param known live view of the jobs of {@link JobTable}, by id */
    JobDependencies(Map<String, Job> known) {
        this.known = known;
    }

    /** Adds edges from an accepted job to the awaited jobs not known to be done; returns true if an awaited job is cancelled. */
    boolean add(Job dependent) {
        boolean cancelled = false;
        for (String id : dependent.spec().awaits()) {
            Job awaited = known.get(id);
            if (awaited == null || awaited.status() == Job.Status.ACCEPTED) {
                dependent.await(id);
                dependents.computeIfAbsent(id, key -> new LinkedHashSet<>()).add(dependent);
            } else if (awaited.status() == Job.Status.CANCELLED) {
                cancelled = true;
            }
        }
        return cancelled;
    }

    /** Removes the edges to a job that has ended, and returns the jobs that awaited it, in the order of acceptance. */
    Set<Job> remove(String awaited) {
        Set<Job> removed = dependents.remove(awaited);
        return removed == null ? Set.of() : removed;
    }

    /** Removes the edges of a dependent job that has ended. */
    void removeDependent(Job dependent, Set<String> awaited) {
        for (String id : awaited) {
            Set<Job> others = dependents.get(id);
            if (others != null) {
                others.remove(dependent);
                if (others.isEmpty()) {
                    dependents.remove(id);
                }
            }
        }
    }

    /** Returns true if the job awaits a job that the table does not hold. */
    boolean unresolved(Job dependent) {
        for (String id : dependent.awaited()) {
            if (!known.containsKey(id)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the ids of awaited jobs that the table does not hold. */
    List<String> unresolved() {
        List<String> ids = new ArrayList<>();
        for (String id : dependents.keySet()) {
            if (!known.containsKey(id)) {
                ids.add(id);
            }
        }
        return ids;
    }
}
