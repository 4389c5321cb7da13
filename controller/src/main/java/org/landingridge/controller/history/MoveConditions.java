package org.landingridge.controller.history;

import java.util.List;
import org.landingridge.controller.upgrade.Capabilities;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Whether jobs may be moved now: everything else that the leader and its users have to write comes first. */
final class MoveConditions {
    private static final Logger LOG = LoggerFactory.getLogger(MoveConditions.class);
    /** While users' changes take more than this share of the change rate, nothing is moved. */
    private static final double CROWDED = 0.5;

    private final Compactor.Owner owner;
    private final UserWriteRate userWrites;
    private final Capabilities capabilities;
    private final double writeRps;
    private boolean waitsForUpgrade;

    /** @param writeRps changes a second that the state service takes */
    MoveConditions(Compactor.Owner owner, UserWriteRate userWrites, Capabilities capabilities, double writeRps) {
        this.owner = owner;
        this.userWrites = userWrites;
        this.capabilities = capabilities;
        this.writeRps = writeRps;
    }

    boolean hold() {
        return owner.mayAct() && !owner.busy() && userWrites.perSecond() <= CROWDED * writeRps && allReadHistory();
    }

    /** True if every controller runs a version that looks for terminated jobs in the history. */
    private boolean allReadHistory() {
        List<String> unaware = capabilities.unaware(Capabilities.Feature.HISTORY);
        if (unaware.isEmpty() == waitsForUpgrade) {
            waitsForUpgrade = !waitsForUpgrade;
            if (waitsForUpgrade) {
                LOG.info("history waits for upgrade: controllers={}", unaware);
            }
        }
        return unaware.isEmpty();
    }
}
