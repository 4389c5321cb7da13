package org.landingridge.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A call that changes which machines are rented. It is stored as it is sent, less the key under which it is sent. */
public sealed interface CloudRequest permits RentRequest, ReturnRequest {
    /** The path to which the call is posted. */
    String path();

    /** The fields of the request; a new tree at each call. */
    ObjectNode toJson();

    /**
     * The body of the call.
     *
     * @param key idempotency key; the cloud executes a request once under each key, where the protocol has one for it
     */
    ObjectNode toCall(String key);
}
