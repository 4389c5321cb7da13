package org.landingridge.controller.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.landingridge.controller.store.Document;
import org.landingridge.wire.CloudRequest;
import org.landingridge.wire.RentRequest;
import org.landingridge.wire.ReturnRequest;

/** One rent or return. Its key and request never change; what was observed of it does. */
public final class Operation implements Document {
    /** What the operation does; the names are stored and shown. */
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

    /** How far the operation has come; the names are stored and shown. */
    public enum State {
        /** From the writing of the record to the first answer. */
        DISPATCHED,
        /** A call had no clear outcome; it is sent again. */
        UNKNOWN,
        /** The outcome has been unclear for longer than the query limit; it is still sent again. */
        ESCALATED,
        /** The cloud has confirmed it. */
        SUCCEEDED,
        /** The cloud has refused it for good. */
        FAILED,
        /** The record is being deleted. */
        FORGOTTEN;

        /** True while the outcome is not known. */
        boolean open() {
            return this == DISPATCHED || this == UNKNOWN || this == ESCALATED;
        }

        private boolean leadsTo(State next) {
            return switch (this) {
                case DISPATCHED, UNKNOWN, ESCALATED -> next != FORGOTTEN && next != DISPATCHED;
                case SUCCEEDED, FAILED -> next == FORGOTTEN;
                case FORGOTTEN -> false;
            };
        }
    }

    /** The last part of the key prefix of operations. */
    public static final String PREFIX = "op/";

    /** Ranks among the documents to be written: a closed operation follows the registry with the machines it brought. */
    private static final int RANK_NEW = 3;

    private static final int RANK_OPEN = 6;
    private static final int RANK_CLOSED = 8;

    private final String root;
    private final String name;
    private final CloudRequest request;
    private final long dispatchedAt;
    /** Fencing token of the leader that works on it. */
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

    /** A new operation, whose record is not stored yet. */
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

    /** An operation of an earlier leader. An open one counts as unwritten until this leader's claim is stored. */
    static Operation takeOver(
            String root, String name, StoredOperation record, long token, Consumer<Operation> onStored) {
        Operation operation = new Operation(root, name, record, token, onStored);
        operation.written = !operation.open();
        return operation;
    }

    /** The operation key: unique for good, and the idempotency key of its calls. */
    public String name() {
        return name;
    }

    /** Whether it rents or returns. */
    public Kind kind() {
        return Kind.of(request);
    }

    /** How far it has come. */
    public State state() {
        return state;
    }

    /** What the last call that changed the state showed, for people; empty before. */
    public String lastOutcome() {
        return lastOutcome;
    }

    /** When it was decided, in milliseconds of the day's clock. */
    public long dispatchedAt() {
        return dispatchedAt;
    }

    /** What is asked of the cloud. */
    public CloudRequest request() {
        return request;
    }

    /** True while the outcome is not known. */
    public boolean open() {
        return state.open();
    }

    long claimedBy() {
        return claimedBy;
    }

    /** Calls made in this leader term. */
    int calls() {
        return calls;
    }

    /** Notes that a call is made now. */
    void called(long now) {
        calls++;
        if (firstCallAt < 0) {
            firstCallAt = now;
        }
    }

    /** Milliseconds since the first call of this leader term. */
    long openFor(long now) {
        return now - firstCallAt;
    }

    /** Notes that the record is stored; true at the first time. */
    boolean markWritten() {
        boolean first = !written;
        written = true;
        return first;
    }

    /** The only place where an operation changes its state. */
    void transition(State next, String outcome) {
        if (!state.leadsTo(next)) {
            throw new IllegalStateException("operation " + name + ": " + state + " does not lead to " + next);
        }
        state = next;
        lastOutcome = outcome;
    }

    @Override
    public String key() {
        return root + PREFIX + name;
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
        return open() ? RANK_OPEN : RANK_CLOSED;
    }
}
