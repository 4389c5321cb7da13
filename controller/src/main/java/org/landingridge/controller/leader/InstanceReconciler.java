package org.landingridge.controller.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.recovery.Action;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.wire.CloudMachine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the fleet against the cloud's lists, and gives back what is silent or never came up. */
final class InstanceReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private final LeaderContext context;
    private final Fleet fleet;
    private final Operations operations;
    private final Consumer<List<String>> gonePerList;
    private final Runnable listed;
    /** When a list that shows the machine was first asked for. */
    private final Map<String, Long> listedAt = new HashMap<>();

    private boolean listing;
    private long nextList;
    private boolean closed;

    /**
     * @param gonePerList told of machines that the cloud has taken, by its lists
     * @param listed      told of each list that was read
     */
    InstanceReconciler(
            LeaderContext context,
            Fleet fleet,
            Operations operations,
            Consumer<List<String>> gonePerList,
            Runnable listed) {
        this.context = context;
        this.fleet = fleet;
        this.operations = operations;
        this.gonePerList = gonePerList;
        this.listed = listed;
    }

    void close() {
        closed = true;
    }

    void forget(String id) {
        listedAt.remove(id);
    }

    /** Machines that are of no use go back: those that never came up, fail, or are lost for all that is known. */
    void giveBack(long now) {
        List<String> back = new ArrayList<>();
        for (Machine m : fleet.machines()) {
            Decision decision = fleet.judge(m, now);
            if (decision.is(Action.GIVE_BACK)) {
                LOG.info("{} goes back: {}", m.id(), decision.cause().text());
                context.incidents().record(m.id() + ": " + decision.cause().text() + "; given back");
                fleet.scaleIn(m, decision);
                back.add(m.id());
            }
        }
        operations.giveBack(back);
    }

    /** Asks for the cloud's list, where it is time to. */
    void list() {
        long asked = context.loop().now();
        if (listing || asked < nextList) {
            return;
        }
        listing = true;
        long lag = Math.round(context.settings().cloudLimits().listLagS() * 1000);
        context.cloud().list(machines -> {
            listing = false;
            nextList = context.loop().now() + Math.max(2_000, lag / 2);
            if (closed || machines == null || !context.lead().mayAct()) {
                return;
            }
            for (CloudMachine c : machines) {
                Machine m = fleet.machine(c.id());
                if (m == null && !fleet.wasReleased(c.id()) && !c.status().equals("failed")) {
                    // Nobody claims it: a rent that succeeded late, or there before us. It is used, or goes back idle.
                    LOG.info("{} is listed and nobody's: taking it in", c.id());
                    fleet.appeared(c.id(), c.addr(), c.type(), c.zone(), c.spot());
                } else if (m != null && c.status().equals("failed")) {
                    fleet.failed(m);
                }
                // What was given back may be listed for a while yet: it would be remembered for good.
                if (fleet.machine(c.id()) != null) {
                    listedAt.putIfAbsent(c.id(), asked);
                }
            }
            absent(machines, asked, lag);
            listed.run();
        });
    }

    /**
     * A machine that was listed and is absent is gone, unless the list is older than the one that showed it: lists lag
     * by up to twice the usual and run backwards. Only silent machines are judged by it.
     */
    private void absent(List<CloudMachine> machines, long asked, long lag) {
        Set<String> present = new HashSet<>();
        machines.forEach(c -> present.add(c.id()));
        List<String> gone = new ArrayList<>();
        for (Machine m : fleet.machines()) {
            Long first = listedAt.get(m.id());
            if (first != null
                    && !present.contains(m.id())
                    && asked - first > 2 * lag + 2_000
                    && m.state() == Machine.State.LAPSED) {
                gone.add(m.id());
            }
        }
        if (!gone.isEmpty()) {
            LOG.info("no longer listed: {}", gone);
            context.incidents().record("taken by the cloud: " + String.join(", ", gone));
            gonePerList.accept(gone);
        }
    }
}
