package org.landingridge.controller.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.landingridge.net.Http;
import org.landingridge.wire.Json;
import org.landingridge.wire.state.StateAnswer;
import org.landingridge.wire.state.StateChanges;
import org.landingridge.wire.state.StateEntry;
import org.landingridge.wire.state.StateListing;
import org.landingridge.wire.state.StateRequest;
import org.landingridge.wire.state.StateTransaction;

/**
 * Calls to the state service. Every outcome is one of the named ones; UNKNOWN may still be carried out. Each {@code done} runs
 * once, later, on the event loop.
 */
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
     * An answer.
     *
     * @param body     null unless the service sent one
     * @param overRate it was refused since the service's rate is used up
     */
    public record Answer(Status status, JsonNode body, boolean overRate) {
        private Answer(Status status, JsonNode body) {
            this(status, body, false);
        }

        /** True if the request was carried out. */
        public boolean ok() {
            return status == Status.OK;
        }

        /** The revision of the whole store; -1 where the answer has none. */
        public long revision() {
            return body == null ? -1 : StateAnswer.revision(body);
        }

        /** The lease that was granted; 0 where the answer has none. */
        public long lease() {
            return body == null ? 0 : StateAnswer.lease(body);
        }

        /** The value that was read; null where the answer has none. */
        public JsonNode value() {
            return body == null ? null : StateEntry.read(body).value();
        }

        /** The version of the key that was read; 0 where the answer has none. */
        public long version() {
            return body == null ? 0 : StateEntry.read(body).version();
        }

        /** The page of keys that was read; empty unless the answer is one. */
        public Optional<StateListing> listing() {
            return ok() ? StateListing.read(body) : Optional.empty();
        }

        /** What a watch brought; empty unless the answer is that of one. */
        public Optional<StateChanges> changes() {
            return ok() ? StateChanges.read(body) : Optional.empty();
        }
    }

    /** The version that a key must have; 0: it must not exist. */
    public record Guard(String key, long version) {}

    /** A put, or a delete where {@code value} is null; {@code lease} 0 means none. */
    public record Write(String key, JsonNode value, long lease) {}

    private static final long TIMEOUT_MS = 2_000;
    private final Http http;
    private final String addr;

    /** @param addr host and port of the state service */
    public StateClient(Http http, String addr) {
        this.http = http;
        this.addr = addr;
    }

    /** Reads a key: {@link Answer#value} and {@link Answer#version}. */
    public void get(String key, Consumer<Answer> done) {
        call(new StateRequest.Get(key), TIMEOUT_MS, done);
    }

    /** Reads a key only to learn whether the service answers within so many milliseconds. */
    public void probe(String key, long timeoutMs, Consumer<Answer> done) {
        call(new StateRequest.Get(key), timeoutMs, done);
    }

    /** Reads a page of keys: {@link Answer#listing}. {@code after} is null for the first page. */
    public void list(String prefix, String after, int limit, Consumer<Answer> done) {
        call(new StateRequest.ListKeys(prefix, after, limit), TIMEOUT_MS, done);
    }

    /** Waits for so many milliseconds for changes after a revision: {@link Answer#changes}. */
    public void watch(String prefix, long after, long waitMs, Consumer<Answer> done) {
        call(new StateRequest.Watch(prefix, after, waitMs), waitMs + TIMEOUT_MS, done);
    }

    /** Carries out all writes if all guards hold: {@link Answer#revision}. */
    public void commit(List<Guard> guards, List<Write> writes, Consumer<Answer> done) {
        call(new StateRequest.Commit(transaction(guards, writes)), TIMEOUT_MS, done);
    }

    private static StateTransaction transaction(List<Guard> guards, List<Write> writes) {
        List<StateTransaction.Guard> conditions = new ArrayList<>(guards.size());
        for (Guard guard : guards) {
            conditions.add(new StateTransaction.Guard(guard.key, guard.version));
        }
        List<StateTransaction.Write> changes = new ArrayList<>(writes.size());
        for (Write write : writes) {
            changes.add(new StateTransaction.Write(write.key, write.value, write.lease));
        }
        return new StateTransaction(conditions, changes);
    }

    /** Asks for a lease of so many milliseconds: {@link Answer#lease}. */
    public void grant(long durationMs, Consumer<Answer> done) {
        call(new StateRequest.GrantLease(durationMs), TIMEOUT_MS, done);
    }

    /** Gives a lease its full time again. */
    public void renew(long lease, long timeoutMs, Consumer<Answer> done) {
        call(new StateRequest.RenewLease(lease), timeoutMs, done);
    }

    /** Ends a lease at once. */
    public void release(long lease, Consumer<Answer> done) {
        call(new StateRequest.ReleaseLease(lease), TIMEOUT_MS, done);
    }

    private void call(StateRequest request, long timeoutMs, Consumer<Answer> done) {
        http.call(
                addr,
                request.method(),
                request.path(),
                request.body().map(Json::bytes).orElse(null),
                timeoutMs,
                reply -> done.accept(read(reply)));
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
            case 400 -> new Answer(invalidOrNoLease(body), body);
            case 429 -> new Answer(Status.REFUSED, body, true);
            case 503 -> new Answer(Status.REFUSED, body);
            default -> new Answer(Status.UNKNOWN, body);
        };
    }

    private static Status invalidOrNoLease(JsonNode body) {
        return body != null && StateAnswer.missingLease(body) ? Status.NO_LEASE : Status.INVALID;
    }
}
