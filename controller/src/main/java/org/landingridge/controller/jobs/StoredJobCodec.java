package org.landingridge.controller.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/**
 * Writes and reads the value of a job's own key. An accepted job is stored as {@code {"at", "spec"}}, a terminated one as
 * {@code {"ended", "takes"}}, with a {@code spec} where it was cancelled.
 */
public final class StoredJobCodec {
    private static final String SUBMITTED_AT = "at";
    private static final String SPEC = "spec";
    private static final String ENDED = "ended";
    private static final String TASKS = "takes";

    /**
     * A stored job.
     *
     * @param spec        null where none is stored, or where that of a terminated job cannot be read
     * @param submittedAt milliseconds of the time of day; 0 where not stored
     * @param end         null while the job is accepted
     */
    record StoredJob(JobSpec spec, long submittedAt, TerminatedJob end) {}

    private StoredJobCodec() {}

    /**
     * The stored form of an accepted job.
     *
     * @param submittedAt milliseconds of the time of day
     */
    public static ObjectNode accepted(JobSpec spec, long submittedAt) {
        ObjectNode value = Json.object();
        value.put(SUBMITTED_AT, submittedAt).set(SPEC, spec.json());
        return value;
    }

    /**
     * The stored form of a terminated job. A cancelled one keeps what its tasks take, since a later leader may still find
     * them on machines and must count them within the team's limit.
     */
    public static ObjectNode terminated(Job job, Job.Status how) {
        return terminated(job.spec(), job.tasks(), how);
    }

    /** The stored form of a job that is cancelled when it is accepted, since one that it awaits is cancelled. */
    public static ObjectNode cancelled(JobSpec spec) {
        return terminated(spec, spec.tasks(), Job.Status.CANCELLED);
    }

    private static ObjectNode terminated(JobSpec spec, int tasks, Job.Status how) {
        ObjectNode value = Json.object();
        value.put(ENDED, how.name()).put(TASKS, tasks);
        if (how == Job.Status.CANCELLED && spec != null) {
            // An earlier version stored longer lists of types than the state service may take by now.
            value.set(SPEC, spec.withoutTypes().json());
        }
        return value;
    }

    /** How the job of this stored value ended; empty where it has not, or where that cannot be read. */
    public static Optional<TerminatedJob> termination(JsonNode value) {
        String how = Json.text(value, ENDED);
        int tasks = (int) Math.max(0, Json.integer(value, TASKS, 0));
        if (Job.Status.DONE.name().equals(how)) {
            return Optional.of(new TerminatedJob(Job.Status.DONE, tasks));
        }
        if (Job.Status.CANCELLED.name().equals(how)) {
            return Optional.of(new TerminatedJob(Job.Status.CANCELLED, tasks));
        }
        return Optional.empty();
    }

    /**
     * Reads the value of a job's key. How a job ended counts even where its description cannot be read.
     *
     * @throws InvalidMessageException if the value holds neither an end nor a valid description
     */
    static StoredJob read(JsonNode value) throws InvalidMessageException {
        Optional<TerminatedJob> end = termination(value);
        JobSpec spec = null;
        try {
            spec = value.get(SPEC) == null ? null : JobSpec.read(value.get(SPEC));
        } catch (InvalidMessageException e) {
            if (end.isEmpty()) {
                throw e;
            }
        }
        if (end.isEmpty() && spec == null) {
            throw new InvalidMessageException("neither a description nor an end");
        }
        return new StoredJob(spec, Json.integer(value, SUBMITTED_AT, 0), end.orElse(null));
    }
}
