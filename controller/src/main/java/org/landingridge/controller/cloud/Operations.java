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
 * The machine rents and returns of one leader term. The record of an operation is stored before its first call, and every call
 * uses the same idempotency key. A call without a response leaves the outcome unknown; {@link NextAction} decides what to do.
 */
public final class Operations {
    /** Receives the results of operations. */
    public interface Events {
        /** A rent succeeded with these machines; fewer than requested means that the pool has no more capacity. */
        void machinesRented(RentRequest request, List<String> machines);

        /** A rent was rejected permanently, for instance for lack of capacity. */
        void rentFailed(RentRequest request);

        /** The cloud has confirmed the return of these machines. */
        void machinesReturned(List<String> machines);

        /** The outcome of an operation is still unknown after the query limit. */
        void operationEscalated(Operation operation);

        /** Returns true while this controller may act as leader. */
        boolean mayAct();
    }

    /**
     * Parameters shared by the operations of one leader term.
     *
     * @param root        key prefix of all stored data
     * @param token       fencing token of the leader term
     * @param queryLimitS time without a known outcome after which an operation is escalated, in seconds
     * @param valueBytes  largest value that the state service accepts, in bytes
     */
    public record TermParameters(String root, long token, double queryLimitS, int valueBytes) {}

    private static final Logger LOG = LoggerFactory.getLogger(Operations.class);
    /** Time for which the record of a finished operation is kept, in milliseconds. */
    private static final long RETENTION_MS = 30_000;

    private static final long NOT_LEADING_RETRY_MS = 500;
    private static final long ESCALATED_RETRY_MS = 15_000;
    private static final long BASE_BACKOFF_MS = 500;
    private static final long MAX_BACKOFF_MS = 8_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /** Limit on the machines that one call to the cloud returns. */
    private static final int MAX_MACHINES_PER_RETURN = 100;
    /** Assumed size of an operation's record without the machine names, in bytes. */
    private static final int RECORD_BASE_BYTES = 300;
    /** Size of a machine name in the record in addition to its characters, in bytes. */
    private static final int NAME_OVERHEAD_BYTES = 3;

    private final EventLoop loop;
    private final RandomGenerator random;
    private final CloudClient cloud;
    private final BatchWriter writer;
    private final TermParameters scope;
    private final long queryLimitMs;
    private final Events events;
    private final Map<String, Operation> operations = new LinkedHashMap<>();
    private int lastOperationNumber;
    private boolean closed;

    /** Creates an empty set; operations of earlier leaders are added by {@link #takeOver}. */
    public Operations(
            EventLoop loop,
            RandomGenerator random,
            CloudClient cloud,
            BatchWriter writer,
            TermParameters scope,
            Events events) {
        this.loop = loop;
        this.random = random;
        this.cloud = cloud;
        this.writer = writer;
        this.scope = scope;
        this.queryLimitMs = Math.round(scope.queryLimitS() * 1000);
        this.events = events;
    }

    /** Called at the end of the leader term: from now on no call is made and nothing is recorded. */
    public void close() {
        closed = true;
    }

    /** Returns all operations whose records are stored or about to be stored, oldest first. */
    public Iterable<Operation> all() {
        return operations.values();
    }

    /**
     * Takes over an operation record of an earlier leader. An open operation is claimed by a conditional write before any call.
     * Returns empty if the record cannot be read: it then stays unchanged, and machines that its rent brought are added when
     * the cloud lists them or they send a heartbeat.
     */
    public Optional<Operation> takeOver(String name, JsonNode record) {
        Optional<StoredOperation> storedOperation = OperationCodec.decode(record);
        if (storedOperation.isEmpty()) {
            LOG.error("operation record cannot be read, operation={}", name);
            return Optional.empty();
        }
        Operation operation =
                Operation.takeOver(scope.root(), name, storedOperation.get(), scope.token(), this::recordStored);
        operations.put(name, operation);
        if (operation.isOpen()) {
            writer.mark(operation);
        } else {
            loop.after(RETENTION_MS, () -> forget(operation));
        }
        return Optional.of(operation);
    }

    /**
     * Returns true until the first call of a rent from this pool has completed. Further demand is combined into one later
     * request: at a few calls a second, many small requests would delay a large one by half a minute.
     */
    public boolean isRentPending(String type, String zone, boolean spot) {
        for (Operation operation : operations.values()) {
            if (operation.state() == State.DISPATCHED
                    && operation.request() instanceof RentRequest rentRequest
                    && rentRequest.type().equals(type)
                    && rentRequest.zone().equals(zone)
                    && rentRequest.spot() == spot) {
                return true;
            }
        }
        return false;
    }

    /** Rents machines; the result is reported through {@link Events}. */
    public void rent(RentRequest request) {
        create("r-", request);
    }

    /** Returns the machines to the cloud, in several calls if necessary. */
    public void returnMachines(List<String> machines) {
        int end = 0;
        while (end < machines.size()) {
            int start = end;
            int recordBytes = RECORD_BASE_BYTES;
            do {
                recordBytes += machines.get(end++).length() + NAME_OVERHEAD_BYTES;
            } while (end < machines.size()
                    && end - start < MAX_MACHINES_PER_RETURN
                    && recordBytes + machines.get(end).length() + NAME_OVERHEAD_BYTES <= scope.valueBytes());
            create("b-", new ReturnRequest(machines.subList(start, end)));
        }
    }

    private void create(String prefix, CloudRequest request) {
        String name = prefix + scope.token() + "-" + ++lastOperationNumber;
        Operation operation =
                Operation.create(scope.root(), name, request, loop.timeOfDay(), scope.token(), this::recordStored);
        operations.put(name, operation);
        writer.mark(operation);
        LOG.info(
                "operation created, operation={} kind={} request={}",
                name,
                operation.kind(),
                Json.text(request.toJson()));
    }

    /** Called when the record is stored in its current form. */
    private void recordStored(Operation operation) {
        if (closed) {
            return;
        }
        if (operation.markWritten() && operation.isOpen()) {
            dispatch(operation);
        }
        if (operation.state() == State.FORGOTTEN) {
            operations.remove(operation.name());
        }
    }

    private void dispatch(Operation operation) {
        if (closed || !operation.isOpen()) {
            return;
        }
        if (!events.mayAct()) {
            loop.after(NOT_LEADING_RETRY_MS, () -> dispatch(operation));
            return;
        }
        operation.recordCall(loop.now());
        cloud.sendOperation(operation.name(), operation.request(), outcome -> handleOutcome(operation, outcome));
    }

    private void handleOutcome(Operation operation, CallOutcome outcome) {
        if (closed || !operation.isOpen()) {
            return;
        }
        // Both kinds are safe to send again with the same key and request: the cloud deduplicates rents by their key
        // without a time limit, and a return names its machines.
        switch (NextAction.decide(outcome.observation(), true, false)) {
            case RECORD_SUCCESS -> succeed(operation, outcome);
            case RECORD_FAILURE -> fail(operation, outcome);
            case RETRY_ORIGINAL_INTENT, WAIT_AND_QUERY, RECONCILE_OR_ESCALATE -> retry(operation, outcome);
        }
    }

    private void succeed(Operation operation, CallOutcome outcome) {
        CloudRequest request = operation.request();
        if (request instanceof RentRequest rentRequest) {
            events.machinesRented(rentRequest, outcome.machines());
        } else if (request instanceof ReturnRequest returnRequest) {
            events.machinesReturned(returnRequest.machines());
        }
        finish(operation, State.SUCCEEDED, outcome);
    }

    private void fail(Operation operation, CallOutcome outcome) {
        if (operation.request() instanceof RentRequest rentRequest) {
            events.rentFailed(rentRequest);
        }
        finish(operation, State.FAILED, outcome);
    }

    private void retry(Operation operation, CallOutcome outcome) {
        boolean isOverdue = operation.openForMs(loop.now()) > queryLimitMs;
        State nextState = isOverdue ? State.ESCALATED : State.UNKNOWN;
        if (operation.state() != nextState) {
            if (isOverdue) {
                LOG.warn(
                        "operation escalated, operation={} queryLimitS={} lastOutcome={}",
                        operation.name(),
                        queryLimitMs / 1000,
                        outcome.text());
                events.operationEscalated(operation);
            }
            operation.transition(nextState, outcome.text());
            writer.mark(operation);
        }
        long delayMs = isOverdue ? ESCALATED_RETRY_MS : backoffMs(operation.calls());
        loop.after(delayMs / 2 + random.nextLong(delayMs), () -> dispatch(operation));
    }

    private static long backoffMs(int calls) {
        return Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << Math.min(MAX_BACKOFF_DOUBLINGS, calls));
    }

    private void finish(Operation operation, State finalState, CallOutcome outcome) {
        operation.transition(finalState, outcome.text());
        LOG.info(
                "operation finished, operation={} state={} lastOutcome={}",
                operation.name(),
                finalState,
                outcome.text());
        writer.mark(operation);
        loop.after(RETENTION_MS, () -> forget(operation));
    }

    private void forget(Operation operation) {
        if (!closed && !operation.isOpen() && operation.state() != State.FORGOTTEN) {
            operation.transition(State.FORGOTTEN, operation.lastOutcome());
            writer.mark(operation);
        }
    }
}
