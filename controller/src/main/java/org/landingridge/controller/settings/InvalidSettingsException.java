package org.landingridge.controller.settings;

/** Settings that cannot be used; the message is one line naming file, field and what was expected. */
public final class InvalidSettingsException extends Exception {
    public InvalidSettingsException(String message) {
        super(message, null, false, false);
    }
}
