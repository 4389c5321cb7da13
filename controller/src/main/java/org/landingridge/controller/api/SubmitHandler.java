package org.landingridge.controller.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/** Checks submissions. If the job already exists, the response is 200 with its state, even if the new request is invalid. */
final class SubmitHandler {
    private final JobTable table;
    private final JobLookup lookup;
    private final Metrics metrics;
    private final JobResponses responses;
    private final SubmissionValidator validator;
    private final JobAcceptance acceptance;
    private final BooleanSupplier allSupportPipelines;

    /** @param allSupportPipelines true if every controller runs a version that supports jobs that await other jobs */
    SubmitHandler(
            JobService.Dependencies dependencies,
            JobResponses responses,
            SubmissionValidator validator,
            JobAcceptance acceptance,
            BooleanSupplier allSupportPipelines) {
        this.table = dependencies.table();
        this.lookup = dependencies.lookup();
        this.metrics = dependencies.metrics();
        this.responses = responses;
        this.validator = validator;
        this.acceptance = acceptance;
        this.allSupportPipelines = allSupportPipelines;
    }

    void submit(Exchange exchange) {
        metrics.submissions.increment();
        JsonNode body = Json.parse(exchange.body());
        try {
            JobSpec spec = JobSpec.parse(body);
            respondIfInTable(exchange, spec.id(), () -> validateAndAccept(exchange, spec));
        } catch (InvalidMessageException e) {
            rejectMalformed(exchange, body, e.getMessage());
        }
    }

    private void rejectMalformed(Exchange exchange, JsonNode body, String error) {
        String id = body == null || !body.isObject() ? null : Json.text(body, "id");
        if (JobSpec.validId(id)) {
            respondIfInTable(
                    exchange, id, () -> respondIfExists(exchange, id, () -> responses.error(exchange, 400, error)));
        } else {
            responses.error(exchange, 400, error);
        }
    }

    /** Responds with the job's state if the table has the job, which saves the checks; otherwise runs the given action. */
    private void respondIfInTable(Exchange exchange, String id, Runnable otherwise) {
        if (table.get(id) != null) {
            respondIfExists(exchange, id, otherwise);
        } else {
            otherwise.run();
        }
    }

    /** Responds with the job's state if the job exists; otherwise runs the given action. */
    private void respondIfExists(Exchange exchange, String id, Runnable otherwise) {
        lookup.find(id, new JobStateResponder(responses, exchange, id, otherwise));
    }

    private void validateAndAccept(Exchange exchange, JobSpec spec) {
        if (!validator.knowsMachineTypes()) {
            responses.unavailable(exchange, "the machine types are not known yet");
        } else if (validator.rejectionReason(spec).isPresent()) {
            respondIfExists(exchange, spec.id(), () -> rejectOrRetryLater(exchange, spec));
        } else if (spec.awaits().isEmpty()) {
            acceptance.accept(exchange, spec);
        } else if (!allSupportPipelines.getAsBoolean()) {
            // A leader that runs an earlier version would start the job's tasks immediately.
            responses.unavailable(exchange, "not every controller supports jobs that await other jobs yet");
        } else {
            new DependencyCheck(exchange, spec, lookup, responses, acceptance).start();
        }
    }

    /** Rejects a job that does not exist yet; validates it again, since an operator may have just changed the configuration. */
    private void rejectOrRetryLater(Exchange exchange, JobSpec spec) {
        Optional<String> rejectionReason = validator.rejectionReason(spec);
        if (rejectionReason.isPresent()) {
            responses.error(exchange, 422, rejectionReason.get());
        } else {
            responses.unavailable(exchange, "the configuration has just changed");
        }
    }
}
