package org.landingridge.controller.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.landingridge.controller.store.Document;
import org.landingridge.wire.Json;

/** The record of one rent or give-back: its key and request never change; what was seen of it does. */
public final class Operation implements Document {
    public enum Kind {
        RENT,
        GIVE_BACK
    }

    /** DISPATCHED covers the moment between the writing of the record and the first answer. */
    public enum State {
        DISPATCHED,
        UNKNOWN,
        ESCALATED,
        SUCCEEDED,
        FAILED,
        FORGOTTEN
    }

    public static final String PREFIX = "op/";
    private final String root;
    private final String key;
    private final Kind kind;
    private final ObjectNode request;
    private final long dispatchedAt;
    private final Operations owner;
    private State state = State.DISPATCHED;
    private String seen = "";
    /** Token of the leader that works on it. */
    private long claimedBy;

    boolean written;
    int tries;
    long firstTry = -1;
    long settledAt;

    Operation(
            String root,
            String key,
            Kind kind,
            ObjectNode request,
            long dispatchedAt,
            long claimedBy,
            Operations owner) {
        this.root = root;
        this.key = key;
        this.kind = kind;
        this.request = request;
        this.dispatchedAt = dispatchedAt;
        this.claimedBy = claimedBy;
        this.owner = owner;
    }

    /** Reads a record back; the caller claims it by writing it anew under its own token. Null where it makes no sense. */
    static Operation read(String root, String key, JsonNode n, long claimedBy, Operations owner) {
        if (!named(Kind.values(), Json.text(n, "kind"))
                || !named(State.values(), Json.text(n, "state"))
                || !(n.get("request") instanceof ObjectNode)) {
            return null;
        }
        Operation op = new Operation(
                root,
                key,
                Kind.valueOf(Json.text(n, "kind")),
                (ObjectNode) n.get("request"),
                Json.integer(n, "dispatchedAt", 0),
                claimedBy,
                owner);
        op.state = State.valueOf(Json.text(n, "state"));
        op.seen = Json.text(n, "seen");
        return op;
    }

    private static boolean named(Enum<?>[] values, String name) {
        return Arrays.stream(values).anyMatch(v -> v.name().equals(name));
    }

    public String name() {
        return key;
    }

    public Kind kind() {
        return kind;
    }

    public State state() {
        return state;
    }

    public String seen() {
        return seen;
    }

    public long dispatchedAt() {
        return dispatchedAt;
    }

    public ObjectNode request() {
        return request;
    }

    public boolean open() {
        return state == State.DISPATCHED || state == State.UNKNOWN || state == State.ESCALATED;
    }

    List<String> machines() {
        List<String> all = new ArrayList<>();
        request.path("boxes").forEach(b -> all.add(b.asText()));
        return all;
    }

    /** The only place where an operation changes its state. */
    void to(State next, String observation) {
        boolean legal = switch (state) {
            case DISPATCHED, UNKNOWN, ESCALATED -> next != State.FORGOTTEN && next != State.DISPATCHED;
            case SUCCEEDED, FAILED -> next == State.FORGOTTEN;
            case FORGOTTEN -> false;
        };
        if (!legal) {
            throw new IllegalStateException(key + ": " + state + " -> " + next);
        }
        state = next;
        seen = observation;
    }

    @Override
    public String key() {
        return root + PREFIX + key;
    }

    @Override
    public JsonNode render() {
        if (state == State.FORGOTTEN) {
            return null;
        }
        ObjectNode n = Json.object();
        n.put("kind", kind.name())
                .put("state", state.name())
                .put("seen", seen)
                .put("dispatchedAt", dispatchedAt)
                .put("claimedBy", claimedBy)
                .set("request", request);
        return n;
    }

    @Override
    public void stored(long revision) {
        owner.stored(this);
    }

    /** Settled ones wait until the roster with the machines they brought is stored. */
    @Override
    public int rank() {
        return written ? open() ? 6 : 8 : 3;
    }
}
