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

/** Calls to the cloud, paced to its rate; operations go before lists. */
public final class CloudClient {
    private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
    private static final long TIMEOUT_MS = 5_000;
    /** Calls not made for so long may be made at once; the cloud permits two seconds' worth. */
    private static final long BURST_MS = 1_000;
    /** The rate is shared with the other controllers, which ask for little but the machine types. */
    private static final double RATE_SHARE = 0.8;

    private static final int PAGE_SIZE = 500;

    private final Http http;
    private final EventLoop loop;
    private final String addr;
    private final long gapMs;
    /** Rents and returns, in the order in which they were decided: the first are the largest. */
    private final Deque<Runnable> operations = new ArrayDeque<>();

    private final Deque<Runnable> reads = new ArrayDeque<>();
    private boolean waiting;
    private long nextAllowed = Long.MIN_VALUE / 2;

    /** @param rps calls a second that the cloud permits to all controllers together */
    public CloudClient(Http http, EventLoop loop, String addr, double rps) {
        this.http = http;
        this.loop = loop;
        this.addr = addr;
        this.gapMs = Math.round(1000 / (rps * RATE_SHARE));
    }

    /**
     * Sends a request under its key.
     *
     * @param done called once, with the outcome as far as it is known
     */
    void operate(String key, CloudRequest request, Consumer<CallOutcome> done) {
        operations.addLast(() -> http.call(
                addr,
                "POST",
                request.path(),
                Json.bytes(request.toCall(key)),
                TIMEOUT_MS,
                reply -> done.accept(CallOutcome.of(reply))));
        pump();
    }

    /** The machine types, or null where there is no proper answer. */
    public void types(Consumer<List<MachineType>> done) {
        reads.addLast(() ->
                http.call(addr, "GET", MachineType.PATH, null, TIMEOUT_MS, reply -> done.accept(readTypes(reply))));
        pump();
    }

    private static List<MachineType> readTypes(Http.Reply reply) {
        if (!reply.is(200)) {
            return null;
        }
        try {
            return MachineType.parseAll(reply.body());
        } catch (InvalidMessageException e) {
            LOG.warn("machine types dropped, reason={}", e.getMessage());
            return null;
        }
    }

    /** All machines listed, or null where a page is missing. */
    public void list(Consumer<List<CloudMachine>> done) {
        page(null, new ArrayList<>(), done);
    }

    private void page(String after, List<CloudMachine> all, Consumer<List<CloudMachine>> done) {
        String path = CloudMachinePage.path(after, PAGE_SIZE);
        reads.addLast(() -> http.call(addr, "GET", path, null, TIMEOUT_MS, reply -> {
            CloudMachinePage page = readPage(reply);
            if (page == null) {
                done.accept(null);
                return;
            }
            all.addAll(page.machines());
            if (page.more() && !all.isEmpty()) {
                page(all.get(all.size() - 1).id(), all, done);
            } else {
                done.accept(all);
            }
        }));
        pump();
    }

    private static CloudMachinePage readPage(Http.Reply reply) {
        if (!reply.is(200)) {
            return null;
        }
        try {
            CloudMachinePage page = CloudMachinePage.parse(reply.body());
            page.invalid().forEach(reason -> LOG.warn("row of the machine list dropped, reason={}", reason));
            return page;
        } catch (InvalidMessageException e) {
            return null;
        }
    }

    private void pump() {
        if (waiting || (operations.isEmpty() && reads.isEmpty())) {
            return;
        }
        waiting = true;
        loop.after(Math.max(0, nextAllowed - loop.now()), () -> {
            waiting = false;
            nextAllowed = Math.max(nextAllowed, loop.now() - BURST_MS) + gapMs;
            (operations.isEmpty() ? reads : operations).poll().run();
            pump();
        });
    }
}
