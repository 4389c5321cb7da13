package org.landingridge.net;

/**
 * Limits on the request bodies of a server.
 *
 * @param maxBytes      size of one body, in bytes; a request with more is answered with 400
 * @param maxTotalBytes size of all large bodies that are received or served at a time, in bytes; a request beyond it is answered
 *                      with 503
 */
public record BodyLimits(int maxBytes, long maxTotalBytes) {
    /** Large request bodies may take one part in this number of the heap; parsed, they take several times as much. */
    private static final int HEAP_PER_TOTAL = 16;

    /** Returns limits for this process: large bodies take a sixteenth of its heap at most. */
    public static BodyLimits ofHeap(int maxBytes) {
        return new BodyLimits(maxBytes, Runtime.getRuntime().maxMemory() / HEAP_PER_TOTAL);
    }
}
