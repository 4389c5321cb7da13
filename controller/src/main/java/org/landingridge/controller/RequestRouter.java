package org.landingridge.controller;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.landingridge.controller.api.JobService;
import org.landingridge.controller.liveconfig.ConfigurationService;
import org.landingridge.controller.observability.ActivityTimer.Part;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.net.Http;
import org.landingridge.wire.Json;

/** Dispatches the HTTP requests of users, operators, workers and the load balancer by path and method. */
final class RequestRouter {
    private static final String JOBS_PATH = "/api/jobs";
    private static final String JOB_PREFIX = JOBS_PATH + "/";
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String GET = "GET";
    private static final String POST = "POST";

    private final HeartbeatReceiver heartbeatReceiver;
    private final JobService jobService;
    private final ConfigurationService configurationService;
    private final Metrics metrics;
    private final BooleanSupplier isReady;
    private final Supplier<byte[]> statusBody;

    /**
     * @param isReady tells whether this controller is ready to serve users
     * @param statusBody supplies the response body of {@code /api/status}
     */
    RequestRouter(
            HeartbeatReceiver heartbeatReceiver,
            JobService jobService,
            ConfigurationService configurationService,
            Metrics metrics,
            BooleanSupplier isReady,
            Supplier<byte[]> statusBody) {
        this.heartbeatReceiver = heartbeatReceiver;
        this.jobService = jobService;
        this.configurationService = configurationService;
        this.metrics = metrics;
        this.isReady = isReady;
        this.statusBody = statusBody;
    }

    /** Serves one request; the response may be sent later. */
    void serve(Http.Exchange exchange) {
        switch (exchange.path()) {
            case "/hello" ->
                serveMethod(
                        POST,
                        exchange,
                        () -> metrics.busy.during(Part.HEARTBEATS, () -> heartbeatReceiver.receive(exchange)));
            case "/ready" -> serveMethod(GET, exchange, () -> answerReadiness(exchange));
            case JOBS_PATH -> serveMethod(POST, exchange, () -> measureApiTime(() -> jobService.submit(exchange)));
            case "/metrics" ->
                serveMethod(
                        GET, exchange, () -> exchange.answer(200, metrics.text().getBytes(StandardCharsets.UTF_8)));
            case "/api/config/history" -> serveMethod(GET, exchange, () -> configurationService.history(exchange));
            case "/api/config" -> serveConfiguration(exchange);
            case "/api/status" -> serveMethod(GET, exchange, () -> exchange.answer(200, statusBody.get()));
            default -> serveJob(exchange);
        }
    }

    private void answerReadiness(Http.Exchange exchange) {
        exchange.answer(
                isReady.getAsBoolean() ? 200 : 503, Json.bytes(Json.object().put("ready", isReady.getAsBoolean())));
    }

    private void serveConfiguration(Http.Exchange exchange) {
        if (exchange.method().equals(POST)) {
            measureApiTime(() -> configurationService.change(exchange));
        } else {
            serveMethod(GET, exchange, () -> configurationService.show(exchange));
        }
    }

    private void serveJob(Http.Exchange exchange) {
        String path = exchange.path();
        if (!path.startsWith(JOB_PREFIX)) {
            answerNotFound(exchange);
            return;
        }
        String jobPath = path.substring(JOB_PREFIX.length());
        if (jobPath.endsWith(CANCEL_SUFFIX) && jobPath.length() > CANCEL_SUFFIX.length()) {
            String id = jobPath.substring(0, jobPath.length() - CANCEL_SUFFIX.length());
            serveMethod(POST, exchange, () -> measureApiTime(() -> jobService.cancel(exchange, id)));
        } else if (jobPath.indexOf('/') < 0) {
            serveMethod(GET, exchange, () -> measureApiTime(() -> jobService.poll(exchange, jobPath)));
        } else {
            answerNotFound(exchange);
        }
    }

    private void measureApiTime(Runnable request) {
        metrics.busy.during(Part.API, request);
    }

    private static void serveMethod(String method, Http.Exchange exchange, Runnable handler) {
        if (method.equals(exchange.method())) {
            handler.run();
        } else {
            exchange.answer(405, Json.bytes(Json.object().put("error", "only " + method + " is served here")));
        }
    }

    private static void answerNotFound(Http.Exchange exchange) {
        exchange.answer(404, Json.bytes(Json.object().put("error", "no such path")));
    }
}
