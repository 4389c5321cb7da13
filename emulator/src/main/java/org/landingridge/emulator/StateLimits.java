package org.landingridge.emulator;

import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.landingridge.wire.state.StateTransaction;

/** The limits of the emulated state service: sizes of transactions and values, and rates with a second's worth of burst. */
final class StateLimits {
    private final EventLoop loop;
    private int valueBytes = 4096;
    private int txnOps = 8;
    private double rps;
    private double writeRps;
    private double requestsLeft;
    private double writesLeft;
    private long refilledAt;

    StateLimits(EventLoop loop) {
        this.loop = loop;
    }

    /** @param txnOps puts and deletes to a transaction, and a quarter of its guards */
    void sizes(int valueBytes, int txnOps) {
        this.valueBytes = valueBytes;
        this.txnOps = txnOps;
    }

    /** Requests, and puts and deletes, a second; 0 requests for no limit. */
    void rates(double rps, double writeRps) {
        this.rps = rps;
        this.writeRps = writeRps;
    }

    void lowerWriteRate(double atMost) {
        writeRps = Math.min(writeRps, atMost);
    }

    /** Takes a request off the rates, if they allow it; its changes count whether its guards hold or not. */
    boolean allow(int changes) {
        if (rps <= 0) {
            return true;
        }
        double passedS = (loop.now() - refilledAt) / 1000.0;
        refilledAt = loop.now();
        requestsLeft = Math.min(rps, requestsLeft + passedS * rps);
        writesLeft = Math.min(writeRps, writesLeft + passedS * writeRps);
        if (requestsLeft < 1 || writesLeft < changes) {
            return false;
        }
        requestsLeft--;
        writesLeft -= changes;
        return true;
    }

    boolean tooManyOperations(StateTransaction transaction) {
        return transaction.writes().size() > txnOps || transaction.guards().size() > 4 * txnOps;
    }

    boolean tooLarge(StateTransaction.Write write) {
        return write.value() != null && Json.bytes(write.value()).length > valueBytes;
    }
}
