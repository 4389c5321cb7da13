package org.landingridge.emulator;

import org.landingridge.wire.JobSpec;

/** What the stand-ins know of jobs beyond what controllers tell them, and whom they tell what truly happens. */
public interface Truth {
    /** The description that the job's user has uploaded, or null where no such job was submitted. */
    JobSpec spec(String jobId);

    /** True once the task has completed anywhere: started again, it ends as soon as it has its image. */
    boolean completed(String task);

    /** A task has its image and begins to run. */
    void starts(String task, String machine, String type, String zone, boolean spot);

    /** A task that ran is off its machine. */
    void ends(String task, boolean done);

    /** A stand-in was used against its protocol. */
    void misused(String what);
}
