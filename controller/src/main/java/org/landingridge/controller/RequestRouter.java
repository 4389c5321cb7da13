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
    private static final String JOBS = "/api/jobs";
    private static final String JOB_PREFIX = JOBS + "/";
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String GET = "GET";
    private static final String POST = "POST";

    private final HeartbeatReceiver heartbeats;
    private final JobService jobs;
    private final ConfigurationService configurations;
    private final Metrics metrics;
    private final BooleanSupplier ready;
    private final Supplier<byte[]> status;

    /**
     * @param ready tells whether this controller is ready to serve users
     * @param status supplies the response body of {@code /api/status}
     */
    RequestRouter(
            HeartbeatReceiver heartbeats,
            JobService jobs,
            ConfigurationService configurations,
            Metrics metrics,
            BooleanSupplier ready,
            Supplier<byte[]> status) {
        this.heartbeats = heartbeats;
        this.jobs = jobs;
        this.configurations = configurations;
        this.metrics = metrics;
        this.ready = ready;
        this.status = status;
    }

    /** Serves one request; the response may be sent later. */
    void serve(Http.Exchange exchange) {
        switch (exchange.path()) {
            case "/hello" ->
                only(POST, exchange, () -> metrics.busy.during(Part.HEARTBEATS, () -> heartbeats.receive(exchange)));
            case "/ready" -> only(GET, exchange, () -> ready(exchange));
            case JOBS -> only(POST, exchange, () -> user(() -> jobs.submit(exchange)));
            case "/metrics" ->
                only(GET, exchange, () -> exchange.answer(200, metrics.text().getBytes(StandardCharsets.UTF_8)));
            case "/api/config/history" -> only(GET, exchange, () -> configurations.history(exchange));
            case "/api/config" -> configuration(exchange);
            case "/api/status" -> only(GET, exchange, () -> exchange.answer(200, status.get()));
            default -> job(exchange);
        }
    }

    private void ready(Http.Exchange exchange) {
        exchange.answer(
                ready.getAsBoolean() ? 200 : 503, Json.bytes(Json.object().put("ready", ready.getAsBoolean())));
    }

    private void configuration(Http.Exchange exchange) {
        if (exchange.method().equals(POST)) {
            user(() -> configurations.change(exchange));
        } else {
            only(GET, exchange, () -> configurations.show(exchange));
        }
    }

    private void job(Http.Exchange exchange) {
        String path = exchange.path();
        if (!path.startsWith(JOB_PREFIX)) {
            notFound(exchange);
            return;
        }
        String rest = path.substring(JOB_PREFIX.length());
        if (rest.endsWith(CANCEL_SUFFIX) && rest.length() > CANCEL_SUFFIX.length()) {
            String id = rest.substring(0, rest.length() - CANCEL_SUFFIX.length());
            only(POST, exchange, () -> user(() -> jobs.cancel(exchange, id)));
        } else if (rest.indexOf('/') < 0) {
            only(GET, exchange, () -> user(() -> jobs.poll(exchange, rest)));
        } else {
            notFound(exchange);
        }
    }

    private void user(Runnable request) {
        metrics.busy.during(Part.API, request);
    }

    private static void only(String method, Http.Exchange exchange, Runnable served) {
        if (method.equals(exchange.method())) {
            served.run();
        } else {
            exchange.answer(405, Json.bytes(Json.object().put("error", "only " + method + " is served here")));
        }
    }

    private static void notFound(Http.Exchange exchange) {
        exchange.answer(404, Json.bytes(Json.object().put("error", "no such path")));
    }
}
