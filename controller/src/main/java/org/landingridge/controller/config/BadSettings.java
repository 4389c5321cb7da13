package org.landingridge.controller.config;

/** Settings that cannot be used; the message is one line naming file, field and what was expected. */
public final class BadSettings extends Exception {
    public BadSettings(String message) {
        super(message, null, false, false);
    }
}
