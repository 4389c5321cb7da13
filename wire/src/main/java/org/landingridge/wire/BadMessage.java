package org.landingridge.wire;

/** A message that breaks its format; the text names the field in plain words. */
public final class BadMessage extends Exception {
    public BadMessage(String message) {
        super(message, null, false, false);
    }
}
