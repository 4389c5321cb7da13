package org.landingridge.controller.fleet;

import org.landingridge.net.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Releases the tasks of a machine whose lease has expired: its worker has killed and dropped all of them. */
final class LeaseExpiry {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    private final FleetContext context;
    private final AttemptTracker attempts;
    private final UnverifiedMachines unverifiedMachines;

    LeaseExpiry(FleetContext context, AttemptTracker attempts, UnverifiedMachines unverifiedMachines) {
        this.context = context;
        this.attempts = attempts;
        this.unverifiedMachines = unverifiedMachines;
    }

    /** Handles the expiry of the machine's lease, or another reason why it can hold no task any more. */
    void expire(Machine machine) {
        // Machines that have sent no heartbeat to this leader lapse too: as long as they counted as booting, no
        // replacement was rented.
        if (machine.heartbeatsExpected()) {
            markLapsed(machine);
        }
        unverifiedMachines.markVerified(machine);
        if (machine.registered()) {
            markUnregistered(machine);
        }
        if (!machine.attempts().isEmpty()) {
            attempts.releaseAll(machine, "its lease expired");
        }
        context.events().changed();
    }

    private void markLapsed(Machine machine) {
        int liveAttempts = machine.liveAttempts();
        LOG.info("lease expired, machine={}", machine.id());
        context.metrics().lapses.increment();
        context.eventLog().emit("lapsed", "machine", machine.id(), "zone", machine.zone(), "held", liveAttempts);
        context.incidents()
                .record(machine.id() + " is silent and its lease has expired"
                        + (liveAttempts > 0 ? "; " + liveAttempts + " tasks are restarted elsewhere" : ""));
        machine.transitionTo(Machine.State.LAPSED);
        if (!machine.contact().hasSentMessage()) {
            // The expired session is unknown. Its heartbeats may still arrive after the first heartbeat of a new
            // incarnation; only a higher token distinguishes the two.
            machine.incarnation().markRestarted(context.leadership().token());
            machine.incarnation().resetOutdated();
        }
        // Heartbeats of the old session that still arrive were sent before the lease expired.
        machine.incarnation().endSession();
    }

    private void markUnregistered(Machine machine) {
        // The machine holds nothing now; its row must be written again before it is given tasks.
        machine.markUnregistered();
        machine.contact().markAnswered();
        Http.Exchange parked = machine.contact().unpark();
        if (parked != null) {
            parked.answer(503, Refusal.body("its lease is over"));
        }
        context.events().registryRowChanged(machine);
    }
}
