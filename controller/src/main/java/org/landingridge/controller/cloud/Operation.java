package org.landingridge.controller.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.landingridge.controller.store.Document;
import org.landingridge.wire.CloudRequest;
import org.landingridge.wire.RentRequest;
import org.landingridge.wire.ReturnRequest;

/** One rent or return of machines. Its key and request never change; its state and last outcome do. */
public final class Operation implements Document {
    /** What the operation does; the names are stored and shown in the status. */
    public enum Kind {
        /** Scale out: a {@link RentRequest}. */
        RENT,
        /** Scale in: a {@link ReturnRequest}. */
        GIVE_BACK;

        static Kind of(CloudRequest request) {
            if (request instanceof RentRequest) {
                return RENT;
            }
            return GIVE_BACK;
        }
    }

    /** Progress of the operation; the names are stored and shown in the status. */
    public enum State {
        /** Created; the first call has not completed yet. */
        DISPATCHED,
        /** The outcome of a call is unknown; the call is repeated. */
        UNKNOWN,
        /** The outcome has been unknown for longer than the query limit; the call is still repeated. */
        ESCALATED,
        /** The cloud has confirmed the operation. */
        SUCCEEDED,
        /** The cloud has rejected the operation permanently. */
        FAILED,
        /** The record is being deleted. */
        FORGOTTEN;

        /** Returns true while the outcome is not known. */
        boolean isOpen() {
            return this == DISPATCHED || this == UNKNOWN || this == ESCALATED;
        }

        private boolean canTransitionTo(State next) {
            return switch (this) {
                case DISPATCHED, UNKNOWN, ESCALATED -> next != FORGOTTEN && next != DISPATCHED;
                case SUCCEEDED, FAILED -> next == FORGOTTEN;
                case FORGOTTEN -> false;
            };
        }
    }

    /** Last part of the key prefix of operation records. */
    public static final String KEY_PREFIX = "op/";

    /** Write ranks, lowest first; a closed operation is written after the registry, which then has the rented machines. */
    private static final int RANK_NEW = 3;

    private static final int RANK_OPEN = 6;
    private static final int RANK_CLOSED = 8;

    private final String root;
    private final String name;
    private final CloudRequest request;
    private final long dispatchedAt;
    /** Fencing token of the leader that has claimed the operation. */
    private final long claimedBy;

    private final Consumer<Operation> onStored;
    private State state;
    private String lastOutcome;
    private boolean written;
    private int calls;
    private long firstCallAt = -1;

    private Operation(String root, String name, StoredOperation record, long claimedBy, Consumer<Operation> onStored) {
        this.root = root;
        this.name = name;
        this.request = record.request();
        this.state = record.state();
        this.lastOutcome = record.lastOutcome();
        this.dispatchedAt = record.dispatchedAt();
        this.claimedBy = claimedBy;
        this.onStored = onStored;
    }

    /** Creates an operation whose record is not stored yet. */
    static Operation create(
            String root,
            String name,
            CloudRequest request,
            long dispatchedAt,
            long token,
            Consumer<Operation> onStored) {
        StoredOperation record = new StoredOperation(request, State.DISPATCHED, "", dispatchedAt);
        return new Operation(root, name, record, token, onStored);
    }

    /** Takes over an operation of an earlier leader. An open one counts as unwritten until this leader's claim is stored. */
    static Operation takeOver(
            String root, String name, StoredOperation record, long token, Consumer<Operation> onStored) {
        Operation operation = new Operation(root, name, record, token, onStored);
        operation.written = !operation.isOpen();
        return operation;
    }

    /** Returns the name, which is never reused and serves as the idempotency key of all calls. */
    public String name() {
        return name;
    }

    /** Returns whether the operation rents or returns machines. */
    public Kind kind() {
        return Kind.of(request);
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    /** Returns the outcome of the last call that changed the state, as readable text; empty before the first. */
    public String lastOutcome() {
        return lastOutcome;
    }

    /** Returns the time at which the operation was created, in wall-clock milliseconds. */
    public long dispatchedAt() {
        return dispatchedAt;
    }

    /** Returns the request to the cloud. */
    public CloudRequest request() {
        return request;
    }

    /** Returns true while the outcome is not known. */
    public boolean isOpen() {
        return state.isOpen();
    }

    long claimedBy() {
        return claimedBy;
    }

    /** Returns the number of calls made in this leader term. */
    int calls() {
        return calls;
    }

    /** Records that a call is made now. */
    void recordCall(long now) {
        calls++;
        if (firstCallAt < 0) {
            firstCallAt = now;
        }
    }

    /** Returns the time since the first call of this leader term, in milliseconds. */
    long openForMs(long now) {
        return now - firstCallAt;
    }

    /** Records that the record is stored; returns true the first time. */
    boolean markWritten() {
        boolean isFirst = !written;
        written = true;
        return isFirst;
    }

    /** Changes the state; no other method does. */
    void transition(State next, String outcomeText) {
        if (!state.canTransitionTo(next)) {
            throw new IllegalStateException(
                    "operation " + name + ": transition " + state + " -> " + next + " is not allowed");
        }
        state = next;
        lastOutcome = outcomeText;
    }

    @Override
    public String key() {
        return root + KEY_PREFIX + name;
    }

    @Override
    public JsonNode render() {
        return state == State.FORGOTTEN ? null : OperationCodec.encode(this);
    }

    @Override
    public void stored(long revision) {
        onStored.accept(this);
    }

    @Override
    public int rank() {
        if (!written) {
            return RANK_NEW;
        }
        return isOpen() ? RANK_OPEN : RANK_CLOSED;
    }
}
