package org.landingridge.emulator;

import org.landingridge.wire.ExitCause;
import org.landingridge.wire.Heartbeat.Entry;
import org.landingridge.wire.Heartbeat.TaskStatus;

/** One attempt of a task on an emulated machine. */
final class EmulatedTask {
    private final String job;
    private final int index;
    private final long attempt;
    private TaskStatus status = TaskStatus.FETCHING;
    private ExitCause cause = ExitCause.UNSTATED;
    /** Grows whenever what was scheduled for the attempt does not count any more. */
    private int phase;
    /** When it would have begun to run in one go. */
    private long beganAt;

    EmulatedTask(String job, int index, long attempt) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
    }

    String job() {
        return job;
    }

    /** The task, as {@link GroundTruth} names it. */
    String task() {
        return job + "/" + index;
    }

    /** As it stands in a heartbeat. */
    Entry entry() {
        return new Entry(job, index, attempt, status, cause);
    }

    boolean running() {
        return status == TaskStatus.RUNNING;
    }

    boolean ended() {
        return status == TaskStatus.EXITED;
    }

    int phase() {
        return phase;
    }

    long beganAt() {
        return beganAt;
    }

    /** Its image is fetched; the number of the phase that begins. */
    int fetch() {
        return ++phase;
    }

    void run() {
        status = TaskStatus.RUNNING;
    }

    void beganAt(long time) {
        beganAt = time;
    }

    /** The worker does not take it. */
    void refuse(ExitCause why) {
        status = TaskStatus.EXITED;
        cause = why;
    }

    /** It has ended; what was scheduled for it does not count any more. */
    void end(ExitCause why) {
        status = TaskStatus.EXITED;
        cause = why;
        phase++;
    }
}
