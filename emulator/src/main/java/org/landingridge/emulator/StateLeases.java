package org.landingridge.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.net.EventLoop;

/** The leases of the emulated state service. */
final class StateLeases {
    private final EventLoop loop;
    private final FileStore file;
    private final Map<Long, Lease> leases = new HashMap<>();
    private long last;

    private static final class Lease {
        private final long durationMs;
        private long expiresAt;

        Lease(long durationMs) {
            this.durationMs = durationMs;
        }
    }

    /** @param file where the durations are kept; null for none */
    StateLeases(EventLoop loop, FileStore file) {
        this.loop = loop;
        this.file = file;
    }

    /** A lease that was open when the service ended has its full time again. */
    void restore(long lease) {
        begin(lease, file.durationMs(lease));
        last = Math.max(last, lease);
    }

    long grant(long durationMs) {
        long lease = ++last;
        begin(lease, durationMs);
        if (file != null) {
            file.granted(lease, durationMs);
            file.commit();
        }
        return lease;
    }

    private void begin(long lease, long durationMs) {
        leases.put(lease, new Lease(durationMs));
        renew(lease);
    }

    boolean open(long lease) {
        return leases.containsKey(lease);
    }

    /** Gives an open lease its full time again. */
    void renew(long lease) {
        Lease renewed = leases.get(lease);
        renewed.expiresAt = loop.now() + renewed.durationMs;
    }

    void renewAll() {
        for (Lease lease : leases.values()) {
            lease.expiresAt = loop.now() + lease.durationMs;
        }
    }

    void remove(long lease) {
        leases.remove(lease);
    }

    /** The leases whose time is over. */
    List<Long> expired() {
        List<Long> expired = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.expiresAt <= loop.now()) {
                expired.add(id);
            }
        });
        return expired;
    }
}
