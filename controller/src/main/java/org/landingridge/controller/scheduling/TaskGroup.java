package org.landingridge.controller.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.wire.JobSpec;

/** The waiting tasks of one job, all alike. */
public final class TaskGroup {
    public final JobSpec spec;
    /** Opaque to the scheduler. */
    public final Object job;
    /** Place in the order of arrival. */
    public final long order;

    public final int team;
    public int waiting;
    /** Tasks that wait too, and may not be started before it is known that no machine holds them. */
    public int held;
    /** Expected run time of one task, in seconds; 0 where nothing is known or the task stays. */
    public double runS;
    /** Expected run time of its longest task, which decides when the job is over. */
    public double lastS;
    /** When the job should be over, by the clock of the pass; Long.MAX_VALUE where nothing is expected. */
    public long due = Long.MAX_VALUE;
    /** Until when being over still counts for something, where the due time is missed. */
    public long lastDue = Long.MAX_VALUE;
    /** By when the last task should have begun to be over in time; work for which nothing is expected is first come. */
    public long startBy;
    /** True if jobs of this class could mostly wait for some boots and still be in time. */
    public boolean patient;
    /** True for a job that fails wherever it is tried: it takes what room there is for a task, and asks for none. */
    public boolean probing;
    /** True for a job that ends and of which nobody has said by when. */
    public boolean unhurried;
    /**
     * 0 while the job can still be over in time; more if it cannot and steps behind those that can. Among
     * equals the first come is served first.
     */
    public int missed;
    /** How soon a task should run, in seconds; 0 where nothing is expected. */
    public double startWithinS;
    /** Tasks of the job on machines, by zone, for oneZone and spread. */
    public final Map<String, Integer> perZone = new HashMap<>();

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
        // Tasks that are held may be in any zone, on a machine that nobody has heard yet: without counting them, one of
        // a job
        // that has to be together is started apart from them, and one of a scattered job beside too many.
        if (spec.oneZone() && (perZone.isEmpty() ? held > 0 : !perZone.containsKey(zone))) {
            return false;
        }
        return !spec.spread() || perZone.getOrDefault(zone, 0) + held < (spec.tasks() + 1) / 2;
    }
}
