package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.landingridge.wire.Json;
import org.landingridge.wire.state.StateAnswer;
import org.landingridge.wire.state.StateTransaction;

/** Carries out the transactions of the emulated state service. */
final class StateTransactions {
    private static final byte[] NOTHING = new byte[0];

    /** The answer to a transaction. */
    record Reply(int status, byte[] body) {
        private static Reply of(int status, JsonNode body) {
            return new Reply(status, Json.bytes(body));
        }

        boolean committed() {
            return status == 200;
        }
    }

    private final VersionedStore store;
    private final StateLeases leases;
    private final StateLimits limits;
    private final StateFaults faults;
    private final StateUsage usage;

    StateTransactions(
            VersionedStore store, StateLeases leases, StateLimits limits, StateFaults faults, StateUsage usage) {
        this.store = store;
        this.leases = leases;
        this.limits = limits;
        this.faults = faults;
        this.usage = usage;
    }

    /** Carries out all writes if all guards hold, or none. */
    Reply commit(StateTransaction transaction) {
        usage.wrote(transaction.writes().size());
        if (limits.tooManyOperations(transaction)) {
            usage.refusedBySize();
            return Reply.of(400, StateAnswer.ofTooManyOperations());
        }
        for (StateTransaction.Write write : transaction.writes()) {
            if (write.lease() != 0 && !leases.open(write.lease())) {
                return Reply.of(400, StateAnswer.ofMissingLease());
            }
            if (limits.tooLarge(write)) {
                usage.refusedBySize();
                return new Reply(400, NOTHING);
            }
        }
        List<String> failed = failedGuards(transaction);
        if (!failed.isEmpty()) {
            return Reply.of(409, StateAnswer.ofConflict(store.revision(), failed));
        }
        apply(transaction);
        return Reply.of(200, StateAnswer.ofRevision(store.revision()));
    }

    private List<String> failedGuards(StateTransaction transaction) {
        List<String> failed = new ArrayList<>();
        for (StateTransaction.Guard guard : transaction.guards()) {
            if (store.version(guard.key()) != guard.version() && !faults.ignoresGuard(guard.key())) {
                failed.add(guard.key());
            }
        }
        return failed;
    }

    private void apply(StateTransaction transaction) {
        store.nextRevision();
        for (StateTransaction.Write write : transaction.writes()) {
            if (write.value() == null) {
                store.delete(write.key());
            } else {
                store.put(write.key(), write.value(), write.lease());
            }
        }
        store.persist();
    }
}
