package org.landingridge.controller.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import org.landingridge.net.Http;
import org.landingridge.wire.Json;

/** Calls to the state service. Every outcome is one of the named ones; UNKNOWN may still be carried out. */
public final class StateClient {
    /** INVALID: the request is not one that the service takes, as where a value or a transaction is larger than its limits. */
    public enum Status {
        OK,
        CONFLICT,
        NOT_FOUND,
        NO_LEASE,
        INVALID,
        TOO_OLD,
        REFUSED,
        UNKNOWN
    }

    /**
     * An answer; {@code body} is null unless the service sent one.
     *
     * @param overRate it was refused since the service's rate is used up
     */
    public record Answer(Status status, JsonNode body, boolean overRate) {
        Answer(Status status, JsonNode body) {
            this(status, body, false);
        }

        public boolean ok() {
            return status == Status.OK;
        }

        public long revision() {
            return body == null ? -1 : Json.integer(body, "edition", -1);
        }
    }

    /** The version that a key must have; 0: it must not exist. */
    public record Guard(String key, long version) {}

    /** A put, or a delete where {@code value} is null; {@code lease} 0 means none. */
    public record Write(String key, JsonNode value, long lease) {}

    private static final long TIMEOUT_MS = 2_000;
    private final Http http;
    private final String addr;

    public StateClient(Http http, String addr) {
        this.http = http;
        this.addr = addr;
    }

    public void get(String key, Consumer<Answer> done) {
        call("GET", "/store/" + key, null, TIMEOUT_MS, done);
    }

    /** Reads a key only to learn whether the service answers. */
    public void probe(String key, long timeoutMs, Consumer<Answer> done) {
        call("GET", "/store/" + key, null, timeoutMs, done);
    }

    public void list(String prefix, String after, int limit, Consumer<Answer> done) {
        call(
                "GET",
                "/store?under=" + prefix + (after == null ? "" : "&from=" + after) + "&limit=" + limit,
                null,
                TIMEOUT_MS,
                done);
    }

    public void watch(String prefix, long after, long waitMs, Consumer<Answer> done) {
        call(
                "GET",
                "/watch?under=" + prefix + "&from=" + after + "&blockMs=" + waitMs,
                null,
                waitMs + TIMEOUT_MS,
                done);
    }

    public void commit(List<Guard> guards, List<Write> writes, Consumer<Answer> done) {
        ObjectNode body = Json.object();
        ArrayNode conditions = body.putArray("guards");
        for (Guard g : guards) {
            conditions.addObject().put("key", g.key).put("stamp", g.version);
        }
        ArrayNode changes = body.putArray("writes");
        for (Write w : writes) {
            ObjectNode n = changes.addObject();
            if (w.value == null) {
                n.put("delete", w.key);
            } else {
                n.put("write", w.key).set("data", w.value);
                if (w.lease != 0) {
                    n.put("permit", w.lease);
                }
            }
        }
        call("POST", "/commit", body, TIMEOUT_MS, done);
    }

    public void grant(long lifeMs, Consumer<Answer> done) {
        call("POST", "/holds", Json.object().put("lifeMs", lifeMs), TIMEOUT_MS, done);
    }

    public void renew(long lease, long timeoutMs, Consumer<Answer> done) {
        call("POST", "/holds/" + lease + "/renew", Json.object(), timeoutMs, done);
    }

    public void release(long lease, Consumer<Answer> done) {
        call("DELETE", "/holds/" + lease, null, TIMEOUT_MS, done);
    }

    private void call(String method, String path, JsonNode body, long timeoutMs, Consumer<Answer> done) {
        http.call(
                addr,
                method,
                path,
                body == null ? null : Json.bytes(body),
                timeoutMs,
                reply -> done.accept(read(reply)));
    }

    private static boolean noLease(JsonNode body) {
        return body != null && "no such lease".equals(Json.text(body, "error"));
    }

    private static Answer read(Http.Reply reply) {
        if (reply.outcome() != Http.Outcome.ANSWERED) {
            return new Answer(reply.outcome() == Http.Outcome.NOT_SENT ? Status.REFUSED : Status.UNKNOWN, null);
        }
        JsonNode body = Json.parse(reply.body());
        return switch (reply.status()) {
            case 200, 201, 204 -> new Answer(Status.OK, body == null ? Json.object() : body);
            case 409 -> new Answer(Status.CONFLICT, body);
            case 404 -> new Answer(Status.NOT_FOUND, body);
            case 410 -> new Answer(Status.TOO_OLD, body);
            case 400 -> new Answer(noLease(body) ? Status.NO_LEASE : Status.INVALID, body);
            case 429 -> new Answer(Status.REFUSED, body, true);
            case 503 -> new Answer(Status.REFUSED, body);
            default -> new Answer(Status.UNKNOWN, body);
        };
    }
}
