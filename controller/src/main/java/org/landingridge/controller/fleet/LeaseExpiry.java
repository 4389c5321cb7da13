package org.landingridge.controller.fleet;

import org.landingridge.net.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Ends what a machine holds when its lease is certainly over: its worker has killed and forgotten every task. */
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

    /** The machine's lease is over, or nothing can be on it any more for another reason. */
    void expire(Machine machine) {
        // One that this leader never heard is no machine on its way either: counted as such, nothing was rented in its
        // place.
        if (machine.expected()) {
            lapse(machine);
        }
        unverifiedMachines.accounted(machine);
        if (machine.registered()) {
            deregister(machine);
        }
        if (!machine.attempts().isEmpty()) {
            attempts.releaseAll(machine, "its lease ran out");
        }
        context.events().changed();
    }

    private void lapse(Machine machine) {
        int live = machine.live();
        LOG.info("{} is silent: its lease has run out", machine.id());
        context.metrics().lapses.increment();
        context.eventLog().emit("lapsed", "machine", machine.id(), "zone", machine.zone(), "held", live);
        context.incidents()
                .record(machine.id() + " fell silent and its lease ran out"
                        + (live > 0 ? "; " + live + " tasks are started elsewhere" : ""));
        machine.to(Machine.State.LAPSED);
        if (!machine.contact().everHeard()) {
            // Which session ended nobody knows. What was reported in it may still arrive, after the first heartbeat of
            // an incarnation that began since: only a higher token distinguishes them.
            machine.incarnation().restart(context.leadership().token());
            machine.incarnation().clearOutdated();
        }
        // What is still reported under the old session was sent before the lease ran out.
        machine.incarnation().endSession();
    }

    private void deregister(Machine machine) {
        // From here on it holds nothing; its row must be written before it is given anything again.
        machine.deregister();
        machine.contact().restore();
        Http.Exchange parked = machine.contact().unpark();
        if (parked != null) {
            parked.answer(503, Refusal.body("its lease is over"));
        }
        context.events().registry(machine);
    }
}
