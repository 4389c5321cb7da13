package org.landingridge.wire;

/** The size limits that the protocol sets for messages. */
public final class MessageLimits {
    /** Largest body of a request, and longest line of a response to a worker or user, in bytes. */
    public static final int MAX_MESSAGE_BYTES = 64 * 1024;

    private MessageLimits() {}
}
