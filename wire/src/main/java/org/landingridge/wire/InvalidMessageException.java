package org.landingridge.wire;

/** A message that breaks its format; the text names the field in plain words. */
public final class InvalidMessageException extends Exception {
    public InvalidMessageException(String message) {
        super(message, null, false, false);
    }
}
