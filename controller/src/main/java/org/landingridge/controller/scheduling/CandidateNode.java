package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * A machine as seen by one scheduling cycle. The leader creates it and adds the tasks that occupy it; the cycle then
 * deducts the room that it assigns. CPU amounts are in processors, memory is in GB.
 */
public final class CandidateNode {
    /** A task that occupies room on the node. */
    public static final class RunningTask {
        /** Specification of the task's job; null if unknown. */
        public final JobSpec spec;
        /** Index of the job's team in the cycle's list of teams. */
        public final int teamIndex;
        /** The attempt, opaque to the scheduler. */
        public final Object attempt;
        /** When the task was sent to the machine, in milliseconds of the event loop's clock. */
        public final long startedAtMs;
        /** True if the task has already been commanded to stop, so its room becomes free without preemption. */
        public boolean stopping;
        /** True if the task is stopped without saving because other work cannot wait; it redoes work since its last checkpoint. */
        public boolean skipSave;
        /** How long the task has run, in seconds; 0 until it runs. */
        public double elapsedS;
        /** Expected remaining run time, in seconds. */
        public double remainingS;

        /** Creates a task that occupies room; see the fields. */
        public RunningTask(JobSpec spec, int team, Object attempt, long startedAtMs, boolean stopping) {
            this.spec = spec;
            this.teamIndex = team;
            this.attempt = attempt;
            this.startedAtMs = startedAtMs;
            this.stopping = stopping;
        }
    }

    /** The machine's type. */
    public final MachineType type;
    /** The machine's zone. */
    public final String zone;
    /** True for a spot instance, which takes only tasks that allow spot instances. */
    public final boolean spot;
    /** The machine, opaque to the scheduler; null for a machine that this cycle requests. */
    public final Object machine;
    /** True if the node takes tasks now; a node that is still starting only reduces the number of machines to rent. */
    public final boolean up;
    /** Images on the machine; the set is not copied. */
    public final Set<String> images;
    /** Tasks that occupy room on the node; call {@link #add} to change it. */
    public final List<RunningTask> runningTasks = new ArrayList<>();
    /** How long the machine has been idle, in milliseconds. */
    public long idleMs;
    /** Number of tasks whose image is being fetched to the machine; fetches share the machine's bandwidth. */
    public int fetchingTasks;
    /** True if a new leader is still waiting for the machine's first heartbeat: blocked tasks are most likely running there. */
    public boolean awaitingHeartbeat;
    /** True if the machine was recently drained so that it can be returned. */
    public boolean draining;

    /** True if the machine's heartbeats still list attempts that have ended. */
    private boolean listsEndedAttempts;

    private final Room free;
    /** Free room after all stopping tasks have stopped and all ended attempts have left the heartbeats. */
    private final Room freeAfterStops;

    private int serviceReplicas;

    /** Creates a machine without tasks. */
    public CandidateNode(MachineType type, String zone, boolean spot, Object machine, boolean up, Set<String> images) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.machine = machine;
        this.up = up;
        this.images = images;
        this.free = new Room(type);
        this.freeAfterStops = new Room(type);
    }

    /** Adds a task that occupies room on the machine; a task without a known specification takes all of it. */
    public void add(RunningTask task) {
        runningTasks.add(task);
        if (task.spec == null) {
            free.takeAll();
            freeAfterStops.takeAll();
            return;
        }
        takeRoomNow(task.spec);
        if (!task.stopping) {
            takeRoomAfterStops(task.spec);
        }
    }

    /**
     * Adds an attempt that has ended and is still listed in the machine's heartbeats.
     *
     * @param spec specification of its job; null if unknown
     */
    public void addEndedAttempt(String jobId, JobSpec spec) {
        free.takeEnded(jobId, spec);
        listsEndedAttempts = true;
    }

    /** Deducts the room of a task that is placed now, from the current and the later free room. */
    void takeRoom(JobSpec spec) {
        takeRoomNow(spec);
        takeRoomAfterStops(spec);
    }

    private void takeRoomNow(JobSpec spec) {
        free.take(spec);
        serviceReplicas += spec.service() ? 1 : 0;
    }

    /** Deducts room that becomes free after stops, for a task that a later cycle will place. */
    void takeRoomAfterStops(JobSpec spec) {
        freeAfterStops.take(spec);
    }

    /** Adds the room of a task that is stopped in this cycle to the room that becomes free after stops. */
    void addRoomAfterStops(JobSpec spec) {
        freeAfterStops.release(spec);
    }

    boolean allows(TaskGroup group) {
        JobSpec spec = group.spec;
        return (!spot || spec.spot())
                && (spec.types() == null || spec.types().contains(type.name()))
                && group.allowsZone(zone);
    }

    /** Returns true if the node has any free room. */
    boolean hasRoom() {
        return free.isAny();
    }

    boolean fits(JobSpec spec) {
        return free.fits(spec);
    }

    /**
     * Returns true if this machine, which is starting, counts as room for the task. Tasks that end can be listed in its
     * heartbeats in turns; replicas of a service do not end.
     */
    boolean willFit(JobSpec spec) {
        return spec.service() ? free.fits(spec) : free.fitsApartFromHeartbeat(spec);
    }

    boolean fitsAfterStops(JobSpec spec) {
        return freeAfterStops.fits(spec);
    }

    /** Returns the room that becomes free after stops, as a copy. */
    Room roomAfterStops() {
        return freeAfterStops.copy();
    }

    /** Returns true if ended attempts take much of the room in the machine's heartbeats; it becomes free without preemption. */
    boolean heartbeatBecomesFree() {
        return listsEndedAttempts && free.isHeartbeatHalfFull();
    }

    /** Returns how many tasks of this size the node could take, including room from preemption. */
    int taskCapacity(JobSpec spec) {
        Room available = freeAfterStops.copy();
        for (RunningTask task : runningTasks) {
            if (task.spec != null && !task.stopping && task.spec.priority().compareTo(spec.priority()) < 0) {
                available.release(task.spec);
            }
        }
        return available.capacity(spec);
    }

    /** Returns the share of the machine's CPUs that is free now. */
    double freeCpuShare() {
        return free.cpus() / type.cpus();
    }

    double usedCpus() {
        return type.cpus() - free.cpus();
    }

    /** Returns true if the machine has no tasks and no room on it is taken. */
    boolean isUnused() {
        return runningTasks.isEmpty() && free.cpus() >= type.cpus() - 1e-9;
    }

    /** Returns the number of service replicas on the node. */
    int serviceReplicas() {
        return serviceReplicas;
    }

    double freeCpusAfterStops() {
        return freeAfterStops.cpus();
    }
}
