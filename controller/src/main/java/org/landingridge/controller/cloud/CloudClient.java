package org.landingridge.controller.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.CloudMachine;
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

    private final Http http;
    private final EventLoop loop;
    private final String addr;
    private final long gapMs;
    /** Rents and give-backs, in the order in which they were decided: the first are the largest. */
    private final Deque<Runnable> operations = new ArrayDeque<>();

    private final Deque<Runnable> reads = new ArrayDeque<>();
    private boolean waiting;
    private long nextAllowed = Long.MIN_VALUE / 2;

    public CloudClient(Http http, EventLoop loop, String addr, double rps) {
        this.http = http;
        this.loop = loop;
        this.addr = addr;
        // The rate is shared with the other controllers, which ask for little but the machine types.
        this.gapMs = Math.round(1000 / (rps * 0.8));
    }

    public void operate(String path, JsonNode body, Consumer<Http.Reply> done) {
        operations.addLast(() -> http.call(addr, "POST", path, Json.bytes(body), TIMEOUT_MS, done));
        pump();
    }

    /** The machine types, or null where there is no proper answer. */
    public void types(Consumer<List<MachineType>> done) {
        reads.addLast(() -> http.call(addr, "GET", "/machine_types", null, TIMEOUT_MS, reply -> {
            List<MachineType> all = null;
            if (reply.is(200)) {
                try {
                    all = MachineType.parseAll(Json.parse(reply.body()));
                } catch (InvalidMessageException e) {
                    LOG.warn("dropping the machine types: {}", e.getMessage());
                }
            }
            done.accept(all);
        }));
        pump();
    }

    /** All machines listed, or null where a page is missing. */
    public void list(Consumer<List<CloudMachine>> done) {
        page(null, new ArrayList<>(), done);
    }

    private void page(String after, List<CloudMachine> all, Consumer<List<CloudMachine>> done) {
        String path = "/hosts?" + (after == null ? "" : "from=" + after + "&") + "limit=500";
        reads.addLast(() -> http.call(addr, "GET", path, null, TIMEOUT_MS, reply -> {
            JsonNode body = reply.is(200) ? Json.parse(reply.body()) : null;
            JsonNode boxes = body == null ? null : body.get("boxes");
            if (boxes == null || !boxes.isArray()) {
                done.accept(null);
                return;
            }
            for (JsonNode b : boxes) {
                try {
                    all.add(CloudMachine.parse(b));
                } catch (InvalidMessageException e) {
                    LOG.warn("dropping a row of the machine list: {}", e.getMessage());
                }
            }
            if (Json.flag(body, "more") && !all.isEmpty()) {
                page(all.get(all.size() - 1).id(), all, done);
            } else {
                done.accept(all);
            }
        }));
        pump();
    }

    private void pump() {
        if (waiting || operations.isEmpty() && reads.isEmpty()) {
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
