package org.landingridge.controller.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The edges of the DAG of jobs: by the id of a job that is awaited and not known to be done, the jobs that await it. */
final class JobDependencies {
    private final Map<String, Job> known;
    private final Map<String, Set<Job>> dependents = new HashMap<>();

    /** @param known the jobs of the table by id, as they change */
    JobDependencies(Map<String, Job> known) {
        this.known = known;
    }

    /** Adds the edges of an accepted job to those that it awaits and that are not known to be done; true if one is cancelled. */
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

    /** Removes the edges to a job whose end is known, and returns the jobs that awaited it, in the order of acceptance. */
    Set<Job> remove(String awaited) {
        Set<Job> removed = dependents.remove(awaited);
        return removed == null ? Set.of() : removed;
    }

    /** Removes the edges of a dependent that has ended itself. */
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

    /** True if the job awaits one that the table does not keep. */
    boolean unresolved(Job dependent) {
        for (String id : dependent.awaited()) {
            if (!known.containsKey(id)) {
                return true;
            }
        }
        return false;
    }

    /** Ids of the jobs that are awaited and that the table does not keep. */
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
