package org.landingridge.controller.election;

import com.fasterxml.jackson.databind.JsonNode;
import org.landingridge.wire.Json;

/**
 * The stored value of the leader key and of the key that names the last leader, with its codec.
 *
 * @param host        the leader's host; null if the key does not exist or names no host
 * @param incarnation identifies the process on that host; null if the key does not exist or names no process
 * @param leaseId     ID of the state service lease that the leader key was bound to; 0 if there is none
 */
record LeaderRecord(String host, String incarnation, long leaseId) {
    /** No leader. */
    static final LeaderRecord NONE = new LeaderRecord(null, null, 0);

    private static final String HOST = "host";
    private static final String INCARNATION = "incarnation";
    private static final String LEASE = "lease";

    /** Decodes a stored value; null, for a key that does not exist, is decoded as {@link #NONE}. */
    static LeaderRecord fromJson(JsonNode value) {
        return value == null
                ? NONE
                : new LeaderRecord(
                        Json.text(value, HOST), Json.text(value, INCARNATION), Json.integer(value, LEASE, 0));
    }

    /** Returns the JSON value to store. */
    JsonNode toJson() {
        return Json.object().put(HOST, host).put(INCARNATION, incarnation).put(LEASE, leaseId);
    }
}
