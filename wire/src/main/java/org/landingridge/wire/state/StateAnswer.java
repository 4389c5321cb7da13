package org.landingridge.wire.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.landingridge.wire.Json;

/** The answers that have only a field or two. */
public final class StateAnswer {
    /** Why a write that names a lease which has ended is refused. */
    private static final String NO_SUCH_LEASE = "no such lease";

    private static final String TOO_MANY_OPERATIONS = "too many operations";

    private StateAnswer() {}

    /** The answer that names the revision of the whole store. */
    public static ObjectNode ofRevision(long revision) {
        return Json.object().put(StateFields.REVISION, revision);
    }

    /** The revision of the whole store; -1 where the answer has none. */
    public static long revision(JsonNode answer) {
        return Json.integer(answer, StateFields.REVISION, -1);
    }

    /** The answer to a lease that was granted. */
    public static ObjectNode ofLease(long lease) {
        return Json.object().put(StateFields.LEASE, lease);
    }

    /** The lease that was granted; 0 where the answer has none. */
    public static long lease(JsonNode answer) {
        return Json.integer(answer, StateFields.LEASE, 0);
    }

    /** The answer to a transaction whose guards on these keys do not hold. */
    public static ObjectNode ofConflict(long revision, List<String> keys) {
        ObjectNode answer = ofRevision(revision);
        ArrayNode failed = answer.putArray(StateFields.FAILED);
        keys.forEach(failed::add);
        return answer;
    }

    /** The answer to a write that names a lease which has ended. */
    public static ObjectNode ofMissingLease() {
        return Json.object().put(StateFields.ERROR, NO_SUCH_LEASE);
    }

    /** True if a write named a lease that has ended. */
    public static boolean missingLease(JsonNode answer) {
        return NO_SUCH_LEASE.equals(Json.text(answer, StateFields.ERROR));
    }

    /** The answer to a transaction of too many guards or writes. */
    public static ObjectNode ofTooManyOperations() {
        return Json.object().put(StateFields.ERROR, TOO_MANY_OPERATIONS);
    }
}
