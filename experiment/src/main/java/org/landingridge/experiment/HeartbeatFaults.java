package org.landingridge.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.landingridge.emulator.Simulation;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;

/** Heartbeats that get lost, come again late, or are replayed to every controller as the next leader begins. */
final class HeartbeatFaults {
    private static final long LATE_AFTER_MS = 2_000;
    /** Replayed heartbeats arrive within this time of a new leader. */
    private static final int REPLAY_WITHIN_MS = 500;

    private final SimulatedCluster cluster;
    private final Simulation sim;
    /** Machines whose heartbeats are lost, while they hear and answer calls. */
    final Set<String> droppedMachines = new HashSet<>();
    /** Those heartbeats: a test may have them arrive after all. */
    final List<Http.Exchange> dropped = new ArrayList<>();
    /** Share of the heartbeats of which a copy comes again, up to two and a half leases later. */
    double lateShare;
    /** Share of the heartbeats of which a copy is kept until another leader begins: then it reaches every controller. */
    double replayShare;

    private final List<Http.Exchange> kept = new ArrayList<>();

    /** A request as it was sent, with nobody at its other end. */
    private record Copy(Http.Exchange of) implements Http.Exchange {
        @Override
        public String method() {
            return of.method();
        }

        @Override
        public String path() {
            return of.path();
        }

        @Override
        public byte[] body() {
            return of.body();
        }

        @Override
        public void answer(int status, byte[] json, int retryAfterS) {}
    }

    HeartbeatFaults(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.sim = cluster.sim;
    }

    /** True if the request is a heartbeat that gets lost; copies of others may be kept or come again. */
    boolean intercept(ControllerNode node, Http.Exchange exchange) {
        if (!exchange.path().equals("/hello")) {
            return false;
        }
        if (!droppedMachines.isEmpty() && droppedMachines.contains(machine(exchange))) {
            dropped.add(new Copy(exchange));
            return true;
        }
        if (replayShare > 0 && sim.random.nextDouble() < replayShare) {
            kept.add(new Copy(exchange));
        }
        if (lateShare > 0 && sim.random.nextDouble() < lateShare) {
            again(node, exchange, LATE_AFTER_MS + sim.random.nextLong(5 * cluster.setup.leaseMs() / 2));
        }
        return false;
    }

    private static String machine(Http.Exchange exchange) {
        try {
            return Heartbeat.parse(Json.parse(exchange.body())).machine();
        } catch (InvalidMessageException e) {
            throw new IllegalStateException("the emulated worker sent a malformed heartbeat", e);
        }
    }

    private void again(ControllerNode node, Http.Exchange heartbeat, long lateMs) {
        cluster.userHost.after(lateMs, () -> {
            if (node.host.up) {
                node.controller.serve(new Copy(heartbeat));
            }
        });
    }

    /** Another leader begins: what was kept reaches every controller. */
    void leaderChanged() {
        kept.forEach(this::reachAll);
        kept.clear();
    }

    private void reachAll(Http.Exchange heartbeat) {
        for (ControllerNode node : cluster.nodes) {
            cluster.userHost.after(sim.random.nextInt(REPLAY_WITHIN_MS), () -> {
                if (node.host.up) {
                    node.controller.serve(heartbeat);
                }
            });
        }
    }
}
