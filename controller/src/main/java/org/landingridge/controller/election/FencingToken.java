package org.landingridge.controller.election;

import java.util.List;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.StoreAccess;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The fencing token that every command carries: the revision at which this controller last wrote the leader key. */
final class FencingToken {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private final StoreAccess store;
    private final String key;
    private final LeaderLease lease;
    private long value;
    private boolean raisePending;

    FencingToken(StoreAccess store, String key, LeaderLease lease) {
        this.store = store;
        this.key = key;
        this.lease = lease;
    }

    long value() {
        return value;
    }

    /** Sets the token after an election win, or after a raise whose answer was lost. */
    void set(long revision) {
        value = revision;
    }

    /** Raises the token by rewriting the leader key under the same lease, unless a raise is already in progress. */
    void raise(LeaderRecord leader) {
        if (raisePending) {
            return;
        }
        raisePending = true;
        long previousValue = value;
        List<Write> writes = List.of(new Write(key, leader.toJson(), leader.leaseId()));
        store.client().commit(List.of(new Guard(key, previousValue)), writes, answer -> {
            raisePending = false;
            if (lease.id() == leader.leaseId() && answer.ok()) {
                value = Math.max(value, answer.revision());
                store.cache().recordCommitted(key, value);
                LOG.info("token raised, from={} to={}", previousValue, value);
            }
        });
    }
}
