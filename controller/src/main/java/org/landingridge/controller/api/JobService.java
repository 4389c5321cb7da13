package org.landingridge.controller.api;

import java.util.Map;
import java.util.function.BooleanSupplier;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.liveconfig.ConfigurationView;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.MachineType;

/**
 * Serves the users' requests to submit, poll and cancel jobs. Each request is answered exactly once, either immediately or
 * later on the event loop.
 */
public final class JobService {
    /** Dependencies that the request handlers share. */
    public record Dependencies(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            JobTable table,
            JobLookup lookup,
            Metrics metrics) {}

    /** Share of the state service's write rate for submissions; the leader's writes take the other half. */
    private static final double SUBMISSION_WRITE_SHARE = 0.5;

    private final JobLookup lookup;
    private final JobResponses responses;
    private final AdmissionControl admission;
    private final SubmitHandler submitHandler;
    private final CancelHandler cancelHandler;

    /**
     * Creates a service without pending requests.
     *
     * @param machineTypes        machine types by name; empty until the cloud has listed them
     * @param allSupportPipelines true if every controller runs a version that supports jobs that await other jobs
     */
    public JobService(
            Dependencies dependencies,
            ConfigurationView configuration,
            Settings settings,
            Map<String, MachineType> machineTypes,
            BooleanSupplier allSupportPipelines) {
        EventLoop loop = dependencies.loop;
        Settings.State stateLimits = settings.stateLimits();
        this.lookup = dependencies.lookup;
        this.responses = new JobResponses(dependencies.metrics);
        FairQueue teamLimiter = new FairQueue(loop::now);
        int controllerCount = settings.peers().size() + 1;
        this.admission =
                new AdmissionControl(loop::now, stateLimits.writeRps(), SUBMISSION_WRITE_SHARE, controllerCount);
        JobAcceptance acceptance = new JobAcceptance(dependencies, responses, teamLimiter, admission);
        SubmissionValidator validator =
                new SubmissionValidator(configuration, machineTypes, stateLimits.valueBytes(), loop);
        this.submitHandler = new SubmitHandler(dependencies, responses, validator, acceptance, allSupportPipelines);
        this.cancelHandler = new CancelHandler(dependencies, responses);
    }

    /**
     * Handles a heartbeat of the leader.
     *
     * @param writesStarved true if the leader has more to write than the state service accepts
     */
    public void handleLeaderHeartbeat(boolean writesStarved) {
        admission.handleLeaderHeartbeat(writesStarved);
    }

    /** Submits the job described by the request body. */
    public void submit(Exchange exchange) {
        submitHandler.submit(exchange);
    }

    /** Responds with the job's state. */
    public void poll(Exchange exchange, String id) {
        lookup.find(id, new JobStateResponder(responses, exchange, id, () -> responses.notFound(exchange)));
    }

    /** Cancels the job unless it has already ended. */
    public void cancel(Exchange exchange, String id) {
        cancelHandler.cancel(exchange, id);
    }
}
