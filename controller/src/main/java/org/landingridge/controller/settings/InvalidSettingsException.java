package org.landingridge.controller.settings;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Settings that cannot be used. The message is one line that names the file, the field and what was expected; it is shown
 * to the operator as it is, without a stack trace.
 */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String file;
    private final String field;
    private final String expected;

    /**
     * A field of a file with a value that cannot be used.
     *
     * @param field    with its tables, as in {@code cluster.state.rps}
     * @param expected what should stand there
     */
    public InvalidSettingsException(String file, String field, String expected) {
        this(file + ": field " + field + ": expected " + expected, file, field, expected);
    }

    /** Any other fault, where the message names file and field itself. */
    public InvalidSettingsException(String message) {
        this(message, "", "", "");
    }

    private InvalidSettingsException(String message, String file, String field, String expected) {
        super(message, null, false, false);
        this.file = file;
        this.field = field;
        this.expected = expected;
    }

    /**
     * A file that is missing or is not in its format.
     *
     * @param format the format's name
     */
    static InvalidSettingsException unreadable(Path file, String format, IOException cause) {
        String reason = cause.getMessage() == null
                ? "no reason given"
                : cause.getMessage().lines().findFirst().orElse("");
        return new InvalidSettingsException(
                file + ": cannot be read as " + format + ": " + reason, file.toString(), "", format);
    }

    /** The file; empty where only the message says it. */
    public String file() {
        return file;
    }

    /** The field with its tables; empty for a fault of the whole file. */
    public String field() {
        return field;
    }

    /** What was expected; empty where only the message says it. */
    public String expected() {
        return expected;
    }
}
