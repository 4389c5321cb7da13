package org.landingridge.controller.scheduling;

import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * Free room on one machine: CPUs, GPUs, memory in GB, and room for attempts in the machine's heartbeats, in bytes. The heartbeat
 * lists all attempts on the machine in one message of limited size, so it bounds their number however small the tasks are.
 */
final class Room {
    /** Tolerance for floating-point rounding when a task is checked against free room. */
    private static final double ROUNDING_TOLERANCE = 1e-6;
    /** A task that takes less than this share of the machine is small: heartbeats can be full before the machine is. */
    private static final double SMALL_TASK_SHARE = 0.01;
    /** Heartbeat room that small tasks may take, in bytes: tasks that use the machine's CPUs must not wait behind them. */
    private static final int MAX_SMALL_TASK_BYTES = Heartbeat.MAX_ENTRIES_BYTES / 4 * 3;

    private final MachineType type;
    private double cpus;
    private double gpus;
    private double memoryGb;
    private int heartbeatBytes;
    /** Room in the heartbeats for further small tasks, if there is as much room at all. */
    private int smallTaskBytes;

    /** Creates the room of an empty machine. */
    Room(MachineType type) {
        this.type = type;
        this.cpus = type.cpus();
        this.gpus = type.gpus();
        this.memoryGb = type.memoryGb();
        this.heartbeatBytes = Heartbeat.MAX_ENTRIES_BYTES;
        this.smallTaskBytes = MAX_SMALL_TASK_BYTES;
    }

    Room copy() {
        Room copy = new Room(type);
        copy.cpus = cpus;
        copy.gpus = gpus;
        copy.memoryGb = memoryGb;
        copy.heartbeatBytes = heartbeatBytes;
        copy.smallTaskBytes = smallTaskBytes;
        return copy;
    }

    double cpus() {
        return cpus;
    }

    /** Deducts the room of a task. */
    void take(JobSpec task) {
        cpus -= task.cpus();
        gpus -= task.gpus();
        memoryGb -= task.memoryGb();
        takeHeartbeatBytes(Heartbeat.maxEntryBytes(task.id()), isSmall(task));
    }

    private void takeHeartbeatBytes(int bytes, boolean forSmallTask) {
        heartbeatBytes -= bytes;
        smallTaskBytes -= forSmallTask ? bytes : 0;
    }

    /** Adds the room of a task. */
    void release(JobSpec task) {
        cpus += task.cpus();
        gpus += task.gpus();
        memoryGb += task.memoryGb();
        takeHeartbeatBytes(-Heartbeat.maxEntryBytes(task.id()), isSmall(task));
    }

    /**
     * Deducts the room of an attempt that has ended and is still listed in the machine's heartbeats.
     *
     * @param task specification of its job; null if unknown
     */
    void takeEnded(String jobId, JobSpec task) {
        takeHeartbeatBytes(Heartbeat.maxEntryBytes(jobId), task == null || isSmall(task));
    }

    /** Deducts all room. */
    void takeAll() {
        cpus = 0;
        gpus = 0;
        memoryGb = 0;
        heartbeatBytes = 0;
    }

    /** Returns true if some task could fit. */
    boolean isAny() {
        return memoryGb > ROUNDING_TOLERANCE
                && (cpus > ROUNDING_TOLERANCE || gpus > ROUNDING_TOLERANCE)
                && heartbeatBytes > 0;
    }

    boolean isHeartbeatHalfFull() {
        return heartbeatBytes < Heartbeat.MAX_ENTRIES_BYTES / 2;
    }

    /** Returns true if a task of the job fits. */
    boolean fits(JobSpec task) {
        return fitsApartFromHeartbeat(task) && Heartbeat.maxEntryBytes(task.id()) <= usableHeartbeatBytes(task);
    }

    /** Returns true if a task of the job fits a machine whose heartbeats have room for it. */
    boolean fitsApartFromHeartbeat(JobSpec task) {
        return task.cpus() <= cpus + ROUNDING_TOLERANCE
                && task.gpus() <= gpus + ROUNDING_TOLERANCE
                && task.memoryGb() <= memoryGb + ROUNDING_TOLERANCE;
    }

    /** Returns the number of tasks of this size that fit, by CPUs, memory and heartbeat. */
    int capacity(JobSpec task) {
        double byCpus = task.cpus() > 0 ? (cpus + ROUNDING_TOLERANCE) / task.cpus() : Integer.MAX_VALUE;
        double byMemory = task.memoryGb() > 0 ? (memoryGb + ROUNDING_TOLERANCE) / task.memoryGb() : Integer.MAX_VALUE;
        int byHeartbeat = usableHeartbeatBytes(task) / Heartbeat.maxEntryBytes(task.id());
        return (int) Math.max(0, Math.min(Math.min(byCpus, byMemory), byHeartbeat));
    }

    private int usableHeartbeatBytes(JobSpec task) {
        return isSmall(task) ? Math.min(smallTaskBytes, heartbeatBytes) : heartbeatBytes;
    }

    private boolean isSmall(JobSpec task) {
        return task.cpus() < SMALL_TASK_SHARE * type.cpus()
                && task.memoryGb() < SMALL_TASK_SHARE * type.memoryGb()
                && task.gpus() <= SMALL_TASK_SHARE * type.gpus();
    }
}
