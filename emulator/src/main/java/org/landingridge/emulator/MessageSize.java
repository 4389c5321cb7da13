package org.landingridge.emulator;

import org.landingridge.wire.MessageLimits;

/** Checks messages against the protocol's size limits, as the stand-ins that receive them do. */
public final class MessageSize {
    private MessageSize() {}

    /** Returns true for a body that no request may have. */
    public static boolean isOversized(byte[] body) {
        return body.length > MessageLimits.MAX_MESSAGE_BYTES;
    }

    /** Returns the length of the longest line of a response, in bytes. */
    public static int longestLine(byte[] body) {
        int longest = 0;
        int start = 0;
        for (int i = 0; i < body.length; i++) {
            if (body[i] == '\n') {
                longest = Math.max(longest, i - start);
                start = i + 1;
            }
        }
        return Math.max(longest, body.length - start);
    }

    /** Returns true for a response to a worker or user with a line that is too long. */
    public static boolean hasOversizedLine(byte[] body) {
        return isOversized(body) && longestLine(body) > MessageLimits.MAX_MESSAGE_BYTES;
    }
}
