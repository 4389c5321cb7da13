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
 * Client of the state service. Every call ends with one {@link Status}; after UNKNOWN the request may still be executed. Each
 * {@code done} callback runs exactly once, asynchronously, on the event loop.
 */
public final class StateClient {
    /** The outcome of a call. INVALID means a malformed request, or a value or transaction above the service's size limits. */
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
     * An answer of the state service.
     *
     * @param body     body of the answer; null if the service sent none
     * @param rateLimited true if the request was refused because the rate limit was exceeded
     */
    public record Answer(Status status, JsonNode body, boolean rateLimited) {
        private Answer(Status status, JsonNode body) {
            this(status, body, false);
        }

        /** Returns true if the request was executed. */
        public boolean ok() {
            return status == Status.OK;
        }

        /** Returns the revision of the whole store; -1 if the answer has none. */
        public long revision() {
            return body == null ? -1 : StateAnswer.revision(body);
        }

        /** Returns the id of the granted lease; 0 if the answer has none. */
        public long leaseId() {
            return body == null ? 0 : StateAnswer.lease(body);
        }

        /** Returns the value that was read; null if the answer has none. */
        public JsonNode value() {
            return body == null ? null : StateEntry.read(body).value();
        }

        /** Returns the version of the key that was read; 0 if the answer has none. */
        public long version() {
            return body == null ? 0 : StateEntry.read(body).version();
        }

        /** Returns the page of keys; empty if the answer is not a listing. */
        public Optional<StateListing> listing() {
            return ok() ? StateListing.read(body) : Optional.empty();
        }

        /** Returns the changes delivered by a watch; empty if the answer is not from a watch. */
        public Optional<StateChanges> changes() {
            return ok() ? StateChanges.read(body) : Optional.empty();
        }
    }

    /** A condition of a transaction: the key must have this version; 0 means that the key must not exist. */
    public record Guard(String key, long version) {}

    /** A put, or a delete if {@code value} is null. The key is bound to the lease; {@code lease} 0 means no lease. */
    public record Write(String key, JsonNode value, long lease) {}

    private static final long CALL_TIMEOUT_MS = 2_000;
    private final Http http;
    private final String address;

    /**
     * Creates a client.
     *
     * @param address host and port of the state service
     */
    public StateClient(Http http, String address) {
        this.http = http;
        this.address = address;
    }

    /** Reads a key: {@link Answer#value} and {@link Answer#version}. */
    public void get(String key, Consumer<Answer> callback) {
        call(new StateRequest.Get(key), CALL_TIMEOUT_MS, callback);
    }

    /** Reads a key to check whether the service answers within {@code timeoutMs}. */
    public void probe(String key, long timeoutMs, Consumer<Answer> callback) {
        call(new StateRequest.Get(key), timeoutMs, callback);
    }

    /** Reads a page of keys: {@link Answer#listing}. {@code after} is the last key of the previous page; null for the first. */
    public void list(String prefix, String afterKey, int limit, Consumer<Answer> callback) {
        call(new StateRequest.ListKeys(prefix, afterKey, limit), CALL_TIMEOUT_MS, callback);
    }

    /**
     * Waits up to {@code waitMs} for changes later than the revision {@code after}: {@link Answer#changes}. The status is
     * TOO_OLD if the changes since then are not available any more or are too many for one answer.
     */
    public void watch(String prefix, long afterRevision, long waitMs, Consumer<Answer> callback) {
        call(new StateRequest.Watch(prefix, afterRevision, waitMs), waitMs + CALL_TIMEOUT_MS, callback);
    }

    /** Executes all writes atomically if all guards hold: {@link Answer#revision}. */
    public void commit(List<Guard> guards, List<Write> writes, Consumer<Answer> callback) {
        call(new StateRequest.Commit(transaction(guards, writes)), CALL_TIMEOUT_MS, callback);
    }

    /** Returns the size of the body of a request with this transaction, in bytes; the state service limits it. */
    public static int transactionBytes(List<Guard> guards, List<Write> writes) {
        return Json.bytes(transaction(guards, writes).toJson()).length;
    }

    private static StateTransaction transaction(List<Guard> guards, List<Write> writes) {
        List<StateTransaction.Guard> wireGuards = new ArrayList<>(guards.size());
        for (Guard guard : guards) {
            wireGuards.add(new StateTransaction.Guard(guard.key, guard.version));
        }
        List<StateTransaction.Write> wireWrites = new ArrayList<>(writes.size());
        for (Write write : writes) {
            wireWrites.add(new StateTransaction.Write(write.key, write.value, write.lease));
        }
        return new StateTransaction(wireGuards, wireWrites);
    }

    /** Requests a lease with this duration in milliseconds: {@link Answer#leaseId}. */
    public void grantLease(long durationMs, Consumer<Answer> callback) {
        call(new StateRequest.GrantLease(durationMs), CALL_TIMEOUT_MS, callback);
    }

    /** Renews a lease for its full duration. */
    public void renewLease(long lease, long timeoutMs, Consumer<Answer> callback) {
        call(new StateRequest.RenewLease(lease), timeoutMs, callback);
    }

    /** Releases a lease immediately. */
    public void releaseLease(long lease, Consumer<Answer> callback) {
        call(new StateRequest.ReleaseLease(lease), CALL_TIMEOUT_MS, callback);
    }

    private void call(StateRequest request, long timeoutMs, Consumer<Answer> callback) {
        http.call(
                address,
                request.method(),
                request.path(),
                request.body().map(Json::bytes).orElse(null),
                timeoutMs,
                reply -> callback.accept(toAnswer(reply)));
    }

    private static Answer toAnswer(Http.Reply reply) {
        switch (reply.outcome()) {
            case NOT_SENT -> {
                return new Answer(Status.REFUSED, null);
            }
            case UNKNOWN -> {
                return new Answer(Status.UNKNOWN, null);
            }
            // Only a watch has no size limit.
            case TOO_LARGE -> {
                return new Answer(Status.TOO_OLD, null);
            }
            case ANSWERED -> {}
        }
        JsonNode body = Json.parse(reply.body());
        return switch (reply.status()) {
            case 200, 201, 204 -> new Answer(Status.OK, body == null ? Json.object() : body);
            case 409 -> new Answer(Status.CONFLICT, body);
            case 404 -> new Answer(Status.NOT_FOUND, body);
            case 410 -> new Answer(Status.TOO_OLD, body);
            case 400 -> new Answer(badRequestStatus(body), body);
            case 429 -> new Answer(Status.REFUSED, body, true);
            case 503 -> new Answer(Status.REFUSED, body);
            default -> new Answer(Status.UNKNOWN, body);
        };
    }

    private static Status badRequestStatus(JsonNode body) {
        return body != null && StateAnswer.missingLease(body) ? Status.NO_LEASE : Status.INVALID;
    }
}
