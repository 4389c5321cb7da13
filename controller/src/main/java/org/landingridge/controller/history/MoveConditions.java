package org.landingridge.controller.history;

import java.util.List;
import org.landingridge.controller.upgrade.Capabilities;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides whether jobs may be moved now. All other writes of the leader and its users take precedence. */
final class MoveConditions {
    private static final Logger LOG = LoggerFactory.getLogger(MoveConditions.class);
    /** Nothing is moved while users' writes take more than this share of the write rate limit. */
    private static final double USER_WRITE_SHARE_LIMIT = 0.5;

    private final Compactor.Owner owner;
    private final UserWriteRate userWrites;
    private final Capabilities capabilities;
    private final double writeRps;
    private boolean isWaitingForUpgrade;

    /** @param writeRps write rate limit of the state service, per second */
    MoveConditions(Compactor.Owner owner, UserWriteRate userWrites, Capabilities capabilities, double writeRps) {
        this.owner = owner;
        this.userWrites = userWrites;
        this.capabilities = capabilities;
        this.writeRps = writeRps;
    }

    boolean areMet() {
        return owner.mayAct()
                && !owner.busy()
                && userWrites.perSecond() <= USER_WRITE_SHARE_LIMIT * writeRps
                && allControllersReadHistory();
    }

    /** Returns whether every controller runs a version that looks terminated jobs up in the history. */
    private boolean allControllersReadHistory() {
        List<String> outdatedControllers = capabilities.unaware(Capabilities.Feature.HISTORY);
        if (outdatedControllers.isEmpty() == isWaitingForUpgrade) {
            isWaitingForUpgrade = !isWaitingForUpgrade;
            if (isWaitingForUpgrade) {
                LOG.info("compaction waits for upgrade, controllers={}", outdatedControllers);
            }
        }
        return outdatedControllers.isEmpty();
    }
}
