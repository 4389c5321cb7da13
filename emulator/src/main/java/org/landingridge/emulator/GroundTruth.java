package org.landingridge.emulator;

import org.landingridge.wire.JobSpec;

/** What the stand-ins know of jobs beyond what controllers tell them, and whom they tell what truly happens. */
public interface GroundTruth {
    /** The description that the job's user has uploaded, or null where no such job was submitted. */
    JobSpec spec(String jobId);

    /** True once the task has completed anywhere: started again, it ends as soon as it has its image. */
    boolean completed(String task);

    /** True for a job that was submitted with a mistake: its tasks fail on every machine. */
    default boolean mistaken(String jobId) {
        return false;
    }

    /** Seconds of its run that a task has saved. */
    default double saved(String task) {
        return 0;
    }

    /** A task that was stopped has saved so many seconds of its run. */
    default void saves(String task, double seconds) {}

    /** A task has its image and begins to run. */
    void starts(String task, String machine, String type, String zone, boolean spot);

    /** A task that ran is off its machine. */
    void ends(String task, boolean done);

    /** What a controller can order. */
    enum Order {
        START,
        STOP,
        CLEAR,
        RENT,
        GIVE_BACK,
        CALL
    }

    /** Whoever counts orders. */
    interface CommandObserver {
        void ordered(Order order, String machine, String attempt, String pool, boolean repeated);
    }

    /**
     * A controller's order has arrived where it is carried out.
     *
     * @param machine  the machine concerned
     * @param attempt  of starts, stops and clears; null else
     * @param pool     zone and kind of the machine
     * @param repeated it had been carried out before and changes nothing
     */
    default void ordered(Order order, String machine, String attempt, String pool, boolean repeated) {}

    /** A stand-in was used against its protocol. */
    void misused(String what);

    /**
     * A message was larger than the protocol permits, so it was not used.
     *
     * @param message what it was and where it was going
     * @param bytes   its size, or that of its longest line
     */
    void oversized(String message, int bytes);
}
