package org.landingridge.controller.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.landingridge.controller.cloud.NextAction.Observation;
import org.landingridge.controller.cloud.Operation.Kind;
import org.landingridge.controller.cloud.Operation.State;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and give-backs of one leader term. Each is written before it is dispatched and keeps its key; a call without an
 * answer leaves it unknown, and the next action is the post's.
 */
public final class Operations {
    /** What the operations tell the rest of the leader term. */
    public interface Events {
        /** Machines that a rent brought; fewer than wanted tells that the pool is empty. */
        void rented(Operation op, List<String> machines);

        void noCapacity(Operation op);

        void givenBack(List<String> machines);

        /** An operation stays unknown beyond the query limit. */
        void escalated(Operation op);

        boolean mayAct();
    }

    private static final Logger LOG = LoggerFactory.getLogger(Operations.class);
    private static final long RETENTION_MS = 30_000;
    /** Names that one call to the cloud may give back. */
    private static final int MOST_RETURNED = 100;
    /** What the record of an operation takes beside the names of machines, and each of these beside its letters. */
    private static final int RECORD_BYTES = 300;

    private static final int NAME_BYTES = 3;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final CloudClient cloud;
    private final BatchWriter writer;
    private final String root;
    private final long token;
    private final long queryLimitMs;
    private final int valueBytes;
    private final Events events;
    private final Map<String, Operation> all = new LinkedHashMap<>();
    private int counter;
    private boolean closed;

    public Operations(
            EventLoop loop,
            RandomGenerator random,
            CloudClient cloud,
            BatchWriter writer,
            String root,
            long token,
            double queryLimitS,
            int valueBytes,
            Events events) {
        this.loop = loop;
        this.random = random;
        this.cloud = cloud;
        this.writer = writer;
        this.root = root;
        this.token = token;
        this.queryLimitMs = Math.round(queryLimitS * 1000);
        this.valueBytes = valueBytes;
        this.events = events;
    }

    public void close() {
        closed = true;
    }

    public Iterable<Operation> all() {
        return all.values();
    }

    /**
     * Takes over a record of an earlier leader: it is claimed by a conditional write before anything is done. Null where it
     * cannot be read: it stays as it is, and what a rent of it brought is taken in once it is listed or reports.
     */
    public Operation takeOver(String key, JsonNode record) {
        Operation op = Operation.read(root, key, record, token, this);
        if (op == null) {
            LOG.error("the record of operation {} cannot be read", key);
            return null;
        }
        op.written = !op.open();
        all.put(key, op);
        if (op.open()) {
            writer.mark(op);
        } else {
            op.settledAt = loop.now();
            loop.after(RETENTION_MS, () -> forget(op));
        }
        return op;
    }

    /**
     * True while a rent of this pool waits for its first answer. What is wanted meanwhile goes into one request after
     * it: at a few calls a second, many small ones would keep a large one waiting for half a minute.
     */
    public boolean renting(String type, String zone, boolean spot) {
        for (Operation op : all.values()) {
            if (op.kind() == Kind.RENT
                    && op.state() == State.DISPATCHED
                    && op.request().path("rig").asText().equals(type)
                    && op.request().path("yard").asText().equals(zone)
                    && op.request().path("standby").asBoolean() == spot) {
                return true;
            }
        }
        return false;
    }

    public Operation rent(String type, String zone, boolean spot, int count) {
        ObjectNode request = Json.object();
        request.put("rig", type).put("yard", zone).put("standby", spot).put("count", count);
        return create(Kind.RENT, request);
    }

    /** Gives the machines back, in as many calls as their number needs. */
    public void giveBack(List<String> machines) {
        int next = 0;
        while (next < machines.size()) {
            ObjectNode request = Json.object();
            ArrayNode boxes = request.putArray("boxes");
            int bytes = RECORD_BYTES;
            do {
                bytes += machines.get(next).length() + NAME_BYTES;
                boxes.add(machines.get(next++));
            } while (next < machines.size()
                    && boxes.size() < MOST_RETURNED
                    && bytes + machines.get(next).length() + NAME_BYTES <= valueBytes);
            create(Kind.GIVE_BACK, request);
        }
    }

    private Operation create(Kind kind, ObjectNode request) {
        String key = (kind == Kind.RENT ? "r-" : "b-") + token + "-" + ++counter;
        Operation op = new Operation(root, key, kind, request, loop.timeOfDay(), token, this);
        all.put(key, op);
        writer.mark(op);
        LOG.info("{} {}: {}", kind, key, Json.text(request));
        return op;
    }

    /** The record is stored in its present form. */
    void stored(Operation op) {
        if (closed) {
            return;
        }
        if (!op.written) {
            op.written = true;
            if (op.open()) {
                dispatch(op);
            }
        }
        if (op.state() == State.FORGOTTEN) {
            all.remove(op.name());
        }
    }

    private void dispatch(Operation op) {
        if (closed || !op.open()) {
            return;
        }
        if (!events.mayAct()) {
            loop.after(500, () -> dispatch(op));
            return;
        }
        op.tries++;
        if (op.firstTry < 0) {
            op.firstTry = loop.now();
        }
        if (op.kind() == Kind.RENT) {
            ObjectNode body = op.request().deepCopy();
            body.put("booking", op.name());
            cloud.operate("/hosts", body, reply -> observe(op, reply));
        } else {
            cloud.operate("/hosts/return", op.request(), reply -> observe(op, reply));
        }
    }

    private void observe(Operation op, Http.Reply reply) {
        if (closed || !op.open()) {
            return;
        }
        Observation seen;
        String text;
        JsonNode body = reply.outcome() == Http.Outcome.ANSWERED ? Json.parse(reply.body()) : null;
        if (reply.is(200)) {
            seen = Observation.SUCCEEDED;
            text = "200";
        } else if (reply.is(400) || reply.is(503) && body != null && "no capacity".equals(Json.text(body, "error"))) {
            seen = Observation.FAILED_TERMINAL;
            text = reply.is(400) ? "malformed" : "no capacity";
        } else {
            seen = Observation.UNAVAILABLE;
            text = reply.outcome() == Http.Outcome.ANSWERED
                    ? "status " + reply.status()
                    : reply.outcome().name();
        }
        // The cloud deduplicates a booking under its key for good, and a give-back names the machines: both are safe
        // to send again, with the same key and the same request.
        switch (NextAction.decide(seen, true, false)) {
            case RECORD_SUCCESS -> {
                List<String> machines = new ArrayList<>();
                if (op.kind() == Kind.RENT) {
                    if (body != null) {
                        body.path("boxes").forEach(b -> machines.add(b.asText()));
                    }
                    events.rented(op, machines);
                } else {
                    events.givenBack(op.machines());
                }
                settle(op, State.SUCCEEDED, text);
            }
            case RECORD_FAILURE -> {
                if (op.kind() == Kind.RENT) {
                    events.noCapacity(op);
                }
                settle(op, State.FAILED, text);
            }
            case RETRY_ORIGINAL_INTENT, WAIT_AND_QUERY, RECONCILE_OR_ESCALATE -> {
                boolean late = loop.now() - op.firstTry > queryLimitMs;
                State next = late ? State.ESCALATED : State.UNKNOWN;
                if (op.state() != next) {
                    if (late) {
                        LOG.warn(
                                "{} is unsettled for {} s: escalated, last seen: {}",
                                op.name(),
                                queryLimitMs / 1000,
                                text);
                        events.escalated(op);
                    }
                    op.to(next, text);
                    writer.mark(op);
                }
                long pause = late ? 15_000 : Math.min(8_000, 500L << Math.min(4, op.tries));
                loop.after(pause / 2 + random.nextLong(pause), () -> dispatch(op));
            }
        }
    }

    private void settle(Operation op, State how, String seen) {
        op.to(how, seen);
        op.settledAt = loop.now();
        LOG.info("{} {}: {}", op.name(), how, seen);
        writer.mark(op);
        loop.after(RETENTION_MS, () -> forget(op));
    }

    private void forget(Operation op) {
        if (!closed && !op.open() && op.state() != State.FORGOTTEN) {
            op.to(State.FORGOTTEN, op.seen());
            writer.mark(op);
        }
    }
}
