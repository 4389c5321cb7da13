package org.landingridge.controller.cloud;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.CloudMachine;
import org.landingridge.wire.CloudMachinePage;
import org.landingridge.wire.CloudRequest;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls the cloud within its rate limit; rents and returns have priority over reads. */
public final class CloudClient {
    private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
    private static final long CALL_TIMEOUT_MS = 5_000;
    /** Calls left unused for up to this time, in milliseconds, may be made in a burst; the cloud permits 2 s. */
    private static final long MAX_BURST_MS = 1_000;
    /** Share of the rate used by this controller; the others need little, as they mostly read only the machine types. */
    private static final double RATE_SHARE = 0.8;

    private static final int PAGE_SIZE = 500;

    private final Http http;
    private final EventLoop loop;
    private final String address;
    private final long callIntervalMs;
    /** Pending rents and returns in the order of their creation: the first ones are the largest. */
    private final Deque<Runnable> operations = new ArrayDeque<>();

    private final Deque<Runnable> reads = new ArrayDeque<>();
    private boolean callScheduled;
    private long nextCallAt = Long.MIN_VALUE / 2;

    /** @param rps calls a second that the cloud permits for all controllers together */
    public CloudClient(Http http, EventLoop loop, String address, double rps) {
        this.http = http;
        this.loop = loop;
        this.address = address;
        this.callIntervalMs = Math.round(1000 / (rps * RATE_SHARE));
    }

    /**
     * Sends a rent or return request.
     *
     * @param key      idempotency key
     * @param callback called once with the outcome, which may be unknown
     */
    void sendOperation(String key, CloudRequest request, Consumer<CallOutcome> callback) {
        operations.addLast(() -> http.call(
                address,
                "POST",
                request.path(),
                Json.bytes(request.toCall(key)),
                CALL_TIMEOUT_MS,
                reply -> callback.accept(CallOutcome.of(reply))));
        scheduleNextCall();
    }

    /** Reads the machine types; passes null if there is no valid response. */
    public void readMachineTypes(Consumer<List<MachineType>> callback) {
        reads.addLast(() -> http.call(
                address,
                "GET",
                MachineType.PATH,
                null,
                CALL_TIMEOUT_MS,
                reply -> callback.accept(parseMachineTypes(reply))));
        scheduleNextCall();
    }

    private static List<MachineType> parseMachineTypes(Http.Reply reply) {
        if (!reply.is(200)) {
            return null;
        }
        try {
            return MachineType.parseAll(reply.body());
        } catch (InvalidMessageException e) {
            LOG.warn("invalid response with machine types ignored, reason={}", e.getMessage());
            return null;
        }
    }

    /** Lists all machines; passes null if a page cannot be read. */
    public void listMachines(Consumer<List<CloudMachine>> callback) {
        readPages(null, new ArrayList<>(), callback);
    }

    private void readPages(String afterId, List<CloudMachine> machines, Consumer<List<CloudMachine>> callback) {
        String path = CloudMachinePage.path(afterId, PAGE_SIZE);
        reads.addLast(() -> http.call(address, "GET", path, null, CALL_TIMEOUT_MS, reply -> {
            CloudMachinePage page = parsePage(reply);
            if (page == null) {
                callback.accept(null);
                return;
            }
            machines.addAll(page.machines());
            if (page.more() && !machines.isEmpty()) {
                readPages(machines.get(machines.size() - 1).id(), machines, callback);
            } else {
                callback.accept(machines);
            }
        }));
        scheduleNextCall();
    }

    private static CloudMachinePage parsePage(Http.Reply reply) {
        if (!reply.is(200)) {
            return null;
        }
        try {
            CloudMachinePage page = CloudMachinePage.parse(reply.body());
            page.invalid().forEach(reason -> LOG.warn("invalid row of the machine list ignored, reason={}", reason));
            return page;
        } catch (InvalidMessageException e) {
            return null;
        }
    }

    private void scheduleNextCall() {
        if (callScheduled || (operations.isEmpty() && reads.isEmpty())) {
            return;
        }
        callScheduled = true;
        loop.after(Math.max(0, nextCallAt - loop.now()), () -> {
            callScheduled = false;
            nextCallAt = Math.max(nextCallAt, loop.now() - MAX_BURST_MS) + callIntervalMs;
            (operations.isEmpty() ? reads : operations).poll().run();
            scheduleNextCall();
        });
    }
}
