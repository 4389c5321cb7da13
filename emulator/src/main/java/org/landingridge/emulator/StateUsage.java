package org.landingridge.emulator;

import java.util.HashMap;
import java.util.Map;
import org.landingridge.net.EventLoop;

/** What the emulated state service was asked for. */
final class StateUsage {
    private final EventLoop loop;
    private final Map<String, Integer> requestsOf = new HashMap<>();
    /** Read by other threads too. */
    private volatile int allRequests;

    private int requests;
    private int writes;
    private int lastWrites;
    private int mostRequests;
    private int mostWrites;
    private int tooMany;
    private int tooLarge;

    StateUsage(EventLoop loop) {
        this.loop = loop;
    }

    /** Ends a second of the count, and has the next one end in time. */
    void countSeconds() {
        mostRequests = Math.max(mostRequests, requests);
        mostWrites = Math.max(mostWrites, writes);
        requests = 0;
        lastWrites = writes;
        writes = 0;
        loop.after(1_000, this::countSeconds);
    }

    void requested() {
        requests++;
        allRequests++;
    }

    void requestedBy(String client) {
        requestsOf.merge(client, 1, Integer::sum);
    }

    void wrote(int changes) {
        writes += changes;
    }

    void refusedByRate() {
        tooMany++;
    }

    void refusedBySize() {
        tooLarge++;
    }

    /** Returns false, and counts a refusal, if the request's body is larger than the protocol permits. */
    boolean permitsSize(byte[] body) {
        if (MessageSize.isOversized(body)) {
            refusedBySize();
            return false;
        }
        return true;
    }

    void resetPeaks() {
        mostRequests = 0;
        mostWrites = 0;
    }

    int requests() {
        return allRequests;
    }

    Map<String, Integer> requestsOf() {
        return requestsOf;
    }

    int lastWrites() {
        return lastWrites;
    }

    int mostRequests() {
        return mostRequests;
    }

    int mostWrites() {
        return mostWrites;
    }

    int tooMany() {
        return tooMany;
    }

    int tooLarge() {
        return tooLarge;
    }
}
