package org.landingridge.controller.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.landingridge.controller.cloud.Operation.State;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.CloudRequest;
import org.landingridge.wire.Json;
import org.landingridge.wire.RentRequest;
import org.landingridge.wire.ReturnRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns of one leader term. Each is written before it is dispatched and keeps its key; a call without an
 * answer leaves its outcome unknown, and {@link NextAction} says what follows.
 */
public final class Operations {
    /** What the operations report to the rest of the leader term. */
    public interface Events {
        /** Machines that a rent brought; fewer than wanted means that the pool is empty. */
        void rented(RentRequest request, List<String> machines);

        /** A rent failed for good. */
        void noCapacity(RentRequest request);

        /** The cloud has confirmed that it took these machines back. */
        void returned(List<String> machines);

        /** The outcome of an operation stays unknown beyond the query limit. */
        void escalated(Operation operation);

        /** True while this controller may act as leader. */
        boolean mayAct();
    }

    /**
     * What the operations of one leader term have in common.
     *
     * @param root        key prefix of everything that is stored
     * @param token       fencing token of the leader term
     * @param queryLimitS after so many seconds without a clear outcome an operation is escalated
     * @param valueBytes  largest value that the state service takes
     */
    public record Scope(String root, long token, double queryLimitS, int valueBytes) {}

    private static final Logger LOG = LoggerFactory.getLogger(Operations.class);
    /** How long the record of a closed operation stays. */
    private static final long RETENTION_MS = 30_000;

    private static final long RETRY_WHEN_NOT_LEADING_MS = 500;
    private static final long RETRY_ESCALATED_MS = 15_000;
    private static final long RETRY_FIRST_MS = 500;
    private static final long RETRY_MOST_MS = 8_000;
    private static final int RETRY_MOST_DOUBLINGS = 4;
    /** Machines that one call to the cloud may return. */
    private static final int MOST_RETURNED = 100;
    /** What the record of an operation takes beside the names of machines, and each of these beside its letters. */
    private static final int RECORD_BYTES = 300;

    private static final int NAME_BYTES = 3;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final CloudClient cloud;
    private final BatchWriter writer;
    private final Scope scope;
    private final long queryLimitMs;
    private final Events events;
    private final Map<String, Operation> operations = new LinkedHashMap<>();
    private int counter;
    private boolean closed;

    /** Begins without operations: those of earlier leaders are handed in by {@link #takeOver}. */
    public Operations(
            EventLoop loop, RandomGenerator random, CloudClient cloud, BatchWriter writer, Scope scope, Events events) {
        this.loop = loop;
        this.random = random;
        this.cloud = cloud;
        this.writer = writer;
        this.scope = scope;
        this.queryLimitMs = Math.round(scope.queryLimitS() * 1000);
        this.events = events;
    }

    /** Ends with the leader term: nothing is dispatched or recorded any more. */
    public void close() {
        closed = true;
    }

    /** All operations whose records are or will be stored, oldest first. */
    public Iterable<Operation> all() {
        return operations.values();
    }

    /**
     * Takes over a record of an earlier leader: it is claimed by a conditional write before anything is done. Empty where it
     * cannot be read: it stays as it is, and what a rent of it brought is taken in once it is listed or reports.
     */
    public Optional<Operation> takeOver(String name, JsonNode record) {
        Optional<StoredOperation> read = OperationCodec.decode(record);
        if (read.isEmpty()) {
            LOG.error("operation record cannot be read, operation={}", name);
            return Optional.empty();
        }
        Operation operation = Operation.takeOver(scope.root(), name, read.get(), scope.token(), this::stored);
        operations.put(name, operation);
        if (operation.open()) {
            writer.mark(operation);
        } else {
            loop.after(RETENTION_MS, () -> forget(operation));
        }
        return Optional.of(operation);
    }

    /**
     * True while a rent of this pool waits for its first answer. What is wanted meanwhile goes into one request after
     * it: at a few calls a second, many small ones would keep a large one waiting for half a minute.
     */
    public boolean rentPending(String type, String zone, boolean spot) {
        for (Operation operation : operations.values()) {
            if (operation.state() == State.DISPATCHED
                    && operation.request() instanceof RentRequest rent
                    && rent.type().equals(type)
                    && rent.zone().equals(zone)
                    && rent.spot() == spot) {
                return true;
            }
        }
        return false;
    }

    /** Rents machines; they are reported by {@link Events#rented}. */
    public void rent(RentRequest request) {
        create("r-", request);
    }

    /** Returns the machines, in as many calls as their number needs. */
    public void returnMachines(List<String> machines) {
        int next = 0;
        while (next < machines.size()) {
            int first = next;
            int bytes = RECORD_BYTES;
            do {
                bytes += machines.get(next++).length() + NAME_BYTES;
            } while (next < machines.size()
                    && next - first < MOST_RETURNED
                    && bytes + machines.get(next).length() + NAME_BYTES <= scope.valueBytes());
            create("b-", new ReturnRequest(machines.subList(first, next)));
        }
    }

    private void create(String prefix, CloudRequest request) {
        String name = prefix + scope.token() + "-" + ++counter;
        Operation operation =
                Operation.create(scope.root(), name, request, loop.timeOfDay(), scope.token(), this::stored);
        operations.put(name, operation);
        writer.mark(operation);
        LOG.info(
                "operation created, operation={} kind={} request={}",
                name,
                operation.kind(),
                Json.text(request.toJson()));
    }

    /** The record is stored in its present form. */
    private void stored(Operation operation) {
        if (closed) {
            return;
        }
        if (operation.markWritten() && operation.open()) {
            dispatch(operation);
        }
        if (operation.state() == State.FORGOTTEN) {
            operations.remove(operation.name());
        }
    }

    private void dispatch(Operation operation) {
        if (closed || !operation.open()) {
            return;
        }
        if (!events.mayAct()) {
            loop.after(RETRY_WHEN_NOT_LEADING_MS, () -> dispatch(operation));
            return;
        }
        operation.called(loop.now());
        cloud.operate(operation.name(), operation.request(), outcome -> observe(operation, outcome));
    }

    private void observe(Operation operation, CallOutcome outcome) {
        if (closed || !operation.open()) {
            return;
        }
        // The cloud deduplicates a rent under its key for good, and a return names the machines: both are safe to send
        // again, with the same key and the same request.
        switch (NextAction.decide(outcome.observation(), true, false)) {
            case RECORD_SUCCESS -> succeed(operation, outcome);
            case RECORD_FAILURE -> fail(operation, outcome);
            case RETRY_ORIGINAL_INTENT, WAIT_AND_QUERY, RECONCILE_OR_ESCALATE -> retry(operation, outcome);
        }
    }

    private void succeed(Operation operation, CallOutcome outcome) {
        CloudRequest request = operation.request();
        if (request instanceof RentRequest rent) {
            events.rented(rent, outcome.machines());
        } else if (request instanceof ReturnRequest back) {
            events.returned(back.machines());
        }
        finish(operation, State.SUCCEEDED, outcome);
    }

    private void fail(Operation operation, CallOutcome outcome) {
        if (operation.request() instanceof RentRequest rent) {
            events.noCapacity(rent);
        }
        finish(operation, State.FAILED, outcome);
    }

    private void retry(Operation operation, CallOutcome outcome) {
        boolean late = operation.openFor(loop.now()) > queryLimitMs;
        State next = late ? State.ESCALATED : State.UNKNOWN;
        if (operation.state() != next) {
            if (late) {
                LOG.warn(
                        "operation escalated, operation={} openForS={} lastOutcome={}",
                        operation.name(),
                        queryLimitMs / 1000,
                        outcome.text());
                events.escalated(operation);
            }
            operation.transition(next, outcome.text());
            writer.mark(operation);
        }
        long pauseMs = late ? RETRY_ESCALATED_MS : backoffMs(operation.calls());
        loop.after(pauseMs / 2 + random.nextLong(pauseMs), () -> dispatch(operation));
    }

    private static long backoffMs(int calls) {
        return Math.min(RETRY_MOST_MS, RETRY_FIRST_MS << Math.min(RETRY_MOST_DOUBLINGS, calls));
    }

    private void finish(Operation operation, State how, CallOutcome outcome) {
        operation.transition(how, outcome.text());
        LOG.info("operation finished, operation={} state={} lastOutcome={}", operation.name(), how, outcome.text());
        writer.mark(operation);
        loop.after(RETENTION_MS, () -> forget(operation));
    }

    private void forget(Operation operation) {
        if (!closed && !operation.open() && operation.state() != State.FORGOTTEN) {
            operation.transition(State.FORGOTTEN, operation.lastOutcome());
            writer.mark(operation);
        }
    }
}
