package org.landingridge.controller.election;

import com.fasterxml.jackson.databind.JsonNode;
import org.landingridge.wire.Json;

/**
 * The stored value of the leader's key and of the key that names the last leader, with its codec.
 *
 * @param host        the leader's host; null where the key does not exist or names none
 * @param incarnation which process of that host; null as above
 * @param lease       the lease of the state service that the leader's key was bound to; 0 where there is none
 */
record LeaderRecord(String host, String incarnation, long lease) {
    /** No leader. */
    static final LeaderRecord NONE = new LeaderRecord(null, null, 0);

    private static final String HOST = "host";
    private static final String INCARNATION = "incarnation";
    private static final String LEASE = "lease";

    /** Reads a stored value; null, for a key that does not exist, gives {@link #NONE}. */
    static LeaderRecord read(JsonNode value) {
        return value == null
                ? NONE
                : new LeaderRecord(
                        Json.text(value, HOST), Json.text(value, INCARNATION), Json.integer(value, LEASE, 0));
    }

    /** The form to store. */
    JsonNode toJson() {
        return Json.object().put(HOST, host).put(INCARNATION, incarnation).put(LEASE, lease);
    }
}
