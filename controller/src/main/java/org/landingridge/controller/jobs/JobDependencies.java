package org.landingridge.controller.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The edges of the DAG of jobs: maps the id of each awaited job that is not known to be done to the jobs that await it. */
final class JobDependencies {
    private final Map<String, Job> jobsById;
    private final Map<String, Set<Job>> dependentsById = new HashMap<>();

    /** @param jobsById live view of the jobs of {@link JobTable}, by id */
    JobDependencies(Map<String, Job> jobsById) {
        this.jobsById = jobsById;
    }

    /** Adds edges from an accepted job to the awaited jobs not known to be done; returns true if an awaited job is cancelled. */
    boolean addEdges(Job dependent) {
        boolean anyCancelled = false;
        for (String id : dependent.spec().awaits()) {
            Job awaited = jobsById.get(id);
            if (awaited == null || awaited.status() == Job.Status.ACCEPTED) {
                dependent.addAwaited(id);
                dependentsById.computeIfAbsent(id, key -> new LinkedHashSet<>()).add(dependent);
            } else if (awaited.status() == Job.Status.CANCELLED) {
                anyCancelled = true;
            }
        }
        return anyCancelled;
    }

    /** Removes the edges to a job that has ended, and returns the jobs that awaited it, in the order of acceptance. */
    Set<Job> removeEdgesTo(String endedId) {
        Set<Job> dependents = dependentsById.remove(endedId);
        return dependents == null ? Set.of() : dependents;
    }

    /** Removes the edges of a dependent job that has ended. */
    void removeEdgesFrom(Job dependent, Set<String> awaitedIds) {
        for (String id : awaitedIds) {
            Set<Job> dependentsOfAwaited = dependentsById.get(id);
            if (dependentsOfAwaited != null) {
                dependentsOfAwaited.remove(dependent);
                if (dependentsOfAwaited.isEmpty()) {
                    dependentsById.remove(id);
                }
            }
        }
    }

    /** Returns true if the job awaits a job that the table does not hold. */
    boolean hasUnresolved(Job dependent) {
        for (String id : dependent.awaited()) {
            if (!jobsById.containsKey(id)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the ids of awaited jobs that the table does not hold. */
    List<String> unresolvedIds() {
        List<String> ids = new ArrayList<>();
        for (String id : dependentsById.keySet()) {
            if (!jobsById.containsKey(id)) {
                ids.add(id);
            }
        }
        return ids;
    }
}
