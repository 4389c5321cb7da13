package org.landingridge.controller.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.wire.JobSpec;

/** The waiting tasks of one job, all alike. The leader fills it; the cycle counts {@link #waiting} down. */
public final class TaskGroup {
    /** The job's specification, with the priority that it has now. */
    public final JobSpec spec;
    /** The job, opaque to the scheduler. */
    public final Object job;
    /** Place in the order of arrival. */
    public final long order;
    /** Index of the job's team in the cycle's input. */
    public final int team;
    /** Tasks that may be placed now. */
    public int waiting;
    /** Tasks that wait too, and are blocked until it is known that no machine runs them. */
    public int blocked;
    /** Expected run time of one task, in seconds; 0 where nothing is known or the task stays. */
    public double runS;
    /** Expected run time of its longest task, which decides when the job is over, in seconds. */
    public double longestRunS;
    /** When the job should be over, by the clock of the cycle; Long.MAX_VALUE where nothing is expected. */
    public long due = Long.MAX_VALUE;
    /** Until when being over still counts for something, where the due time is missed. */
    public long lastDue = Long.MAX_VALUE;
    /** By when the last task should have begun to be over in time; work for which nothing is expected is first come. */
    public long startBy;
    /** True if jobs of this class could mostly wait for some boots and still be in time. */
    public boolean mayWaitForBoots;
    /** True for a job that fails wherever it is tried: it takes what room there is for a task, and asks for none. */
    public boolean probing;
    /** True for a job that ends and for which no objective says by when. */
    public boolean withoutDeadline;
    /** How soon a task should run, in seconds; 0 where nothing is expected. */
    public double startWithinS;
    /** Tasks of the job on machines, by zone, for oneZone and spread. */
    public final Map<String, Integer> perZone = new HashMap<>();
    /**
     * 0 while the job can still be over in time; more if it cannot and yields to those that can. Among equals the first come
     * is served first.
     */
    int yielded;

    /** The tasks of a job of which {@code waiting} may be placed now. */
    public TaskGroup(JobSpec spec, Object job, long order, int team, int waiting) {
        this.spec = spec;
        this.job = job;
        this.order = order;
        this.team = team;
        this.waiting = waiting;
    }

    boolean zoneAllowed(String zone) {
        if (spec.zone() != null && !spec.zone().equals(zone)) {
            return false;
        }
        // Blocked tasks may be in any zone, on a machine that sent no heartbeat yet: without counting them, one of a
        // job that has to be together is started apart from them, and one of a spread job beside too many.
        if (spec.oneZone() && (perZone.isEmpty() ? blocked > 0 : !perZone.containsKey(zone))) {
            return false;
        }
        return !spec.spread() || perZone.getOrDefault(zone, 0) + blocked < (spec.tasks() + 1) / 2;
    }
}
