package org.landingridge.experiment;

import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/** Jobs of simulated users. */
final class SampleJobs {
    private SampleJobs() {}

    /** A service, or an array whose tasks run for so long; only arrays may use spot machines. */
    static JobSpec job(int number, String team, boolean service, int tasks, double cpus, double seconds) {
        return new JobSpec(
                id(number),
                service ? "live" : "batch",
                team,
                service,
                service ? Priority.HIGH : Priority.NORMAL,
                tasks,
                cpus,
                0,
                cpus,
                "img-" + number % 3,
                0.3,
                null,
                null,
                false,
                false,
                !service,
                seconds,
                0,
                0,
                null);
    }

    /** The job id of a number. */
    static String id(int number) {
        return String.format("job-%06d", number);
    }
}
