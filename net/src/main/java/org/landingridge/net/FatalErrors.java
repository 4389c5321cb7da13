package org.landingridge.net;

/**
 * Ends the process after an error that it cannot work on after, such as a lack of memory: a process that stays but does nothing
 * would not be started anew.
 */
public final class FatalErrors {
    /** Exit code of a process that ends so. */
    public static final int EXIT_CODE = 3;

    private FatalErrors() {}

    /** Ends the process also when an error or exception ends one of its threads. */
    public static void endProcessWhenThreadEnds() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> end("thread " + thread.getName(), error));
    }

    /** Ends the process at once; one line on standard error says why. */
    static void end(String where, Throwable error) {
        try {
            System.err.println("landingridge: ends after a fatal error in " + where + ": " + error);
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
