package org.landingridge.controller.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/**
 * Encodes and decodes the value of a job's own key. An accepted job has the fields {@code at} and {@code spec}; a terminated
 * job has the fields {@code ended} and {@code takes}, and if it was cancelled also {@code spec}.
 */
public final class StoredJobCodec {
    private static final String SUBMITTED_AT = "at";
    private static final String SPEC = "spec";
    private static final String ENDED = "ended";
    private static final String TASKS = "takes";

    /**
     * A stored job.
     *
     * @param spec        specification; null if none is stored, or if that of a terminated job cannot be parsed
     * @param submittedAt time of day of the submission, in milliseconds; 0 if not stored
     * @param outcome     outcome; null for an accepted job
     */
    record StoredJob(JobSpec spec, long submittedAt, TerminatedJob outcome) {}

    private StoredJobCodec() {}

    /**
     * Returns the stored form of an accepted job.
     *
     * @param submittedAt time of day of the submission, in milliseconds
     */
    public static ObjectNode accepted(JobSpec spec, long submittedAt) {
        ObjectNode value = Json.object();
        value.put(SUBMITTED_AT, submittedAt).set(SPEC, spec.json());
        return value;
    }

    /**
     * Returns the stored form of a terminated job. A cancelled job keeps its specification: a later leader may still find its
     * tasks on machines, and must count their resources towards the team's limit.
     */
    public static ObjectNode terminated(Job job, Job.Status status) {
        return terminated(job.spec(), job.tasks(), status);
    }

    /** Returns the stored form of a job that is cancelled on acceptance because a job that it awaits is cancelled. */
    public static ObjectNode cancelled(JobSpec spec) {
        return terminated(spec, spec.tasks(), Job.Status.CANCELLED);
    }

    private static ObjectNode terminated(JobSpec spec, int tasks, Job.Status status) {
        ObjectNode value = Json.object();
        value.put(ENDED, status.name()).put(TASKS, tasks);
        if (status == Job.Status.CANCELLED && spec != null) {
            // An earlier version stored lists of machine types so long that the value may now exceed the state
            // service's limit.
            value.set(SPEC, spec.withoutTypes().json());
        }
        return value;
    }

    /** Returns the outcome in a stored value; empty if the job has not ended, or if the outcome cannot be parsed. */
    public static Optional<TerminatedJob> termination(JsonNode value) {
        String status = Json.text(value, ENDED);
        int tasks = (int) Math.max(0, Json.integer(value, TASKS, 0));
        if (Job.Status.DONE.name().equals(status)) {
            return Optional.of(new TerminatedJob(Job.Status.DONE, tasks));
        }
        if (Job.Status.CANCELLED.name().equals(status)) {
            return Optional.of(new TerminatedJob(Job.Status.CANCELLED, tasks));
        }
        return Optional.empty();
    }

    /**
     * Decodes the value of a job's key. The outcome of a terminated job is returned even if its specification cannot be parsed.
     *
     * @throws InvalidMessageException if the value holds neither an outcome nor a valid specification
     */
    static StoredJob read(JsonNode value) throws InvalidMessageException {
        Optional<TerminatedJob> outcome = termination(value);
        JobSpec spec = null;
        try {
            spec = value.get(SPEC) == null ? null : JobSpec.read(value.get(SPEC));
        } catch (InvalidMessageException e) {
            if (outcome.isEmpty()) {
                throw e;
            }
        }
        if (outcome.isEmpty() && spec == null) {
            throw new InvalidMessageException(
                    "stored job: expected a field spec or a valid field ended, found neither");
        }
        return new StoredJob(spec, Json.integer(value, SUBMITTED_AT, 0), outcome.orElse(null));
    }
}
