package org.landingridge.experiment;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.landingridge.controller.Controller;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.MessageSize;
import org.landingridge.emulator.Simulation;
import org.landingridge.net.Http;

/** One controller's host; a restart makes a new controller with no memory. */
final class ControllerNode {
    /** From the start of the host until its process runs. */
    private static final long PROCESS_START_MS = 200;

    private static final double CLOCK_SKEW_MS = 25;
    private static final double CLOUD_RPS = 5;
    private static final Settings.Machine LIMITS = new Settings.Machine(1, 200, 1000);

    final int index;
    final Simulation.Host host;
    private final SimulatedCluster cluster;
    private final Simulation sim;
    Controller controller;

    ControllerNode(SimulatedCluster cluster, int index) {
        this.cluster = cluster;
        this.sim = cluster.sim;
        this.index = index;
        this.host = sim.host(hostName(index));
        sim.listen(address(index), host, exchange -> {
            if (MessageSize.isOversized(exchange.body())) {
                exchange.answer(400, new byte[0]);
            } else if (!cluster.heartbeatFaults.intercept(this, exchange)) {
                controller.serve(exchange);
            }
        });
        sim.listen(stateAddress(), cluster.stateHost, cluster.state.as(host.name));
        boot();
    }

    static String hostName(int index) {
        return "rig-" + index;
    }

    /** Where users and workers reach the controller. */
    static String address(int index) {
        return "node-" + index;
    }

    /** Where this controller reaches the state service: each by an address of its own, which can be refused alone. */
    private String stateAddress() {
        return "state-" + index;
    }

    /** Starts the host with a new controller process. */
    void boot() {
        host.up = true;
        controller = new Controller(
                host,
                sim.client(host),
                this::send,
                new SplittableRandom(sim.random.nextLong()),
                settings(),
                Policy.DEFAULT);
        controller
                .eventLog()
                .listener(event -> cluster.events.add(new SimulatedCluster.EmittedEvent(sim.now, host.name, event)));
        host.after(PROCESS_START_MS, () -> controller.start(() -> {}));
    }

    private Settings settings() {
        ClusterSetup setup = cluster.setup;
        List<Settings.Peer> peers = new ArrayList<>();
        for (int i = 0; i < setup.controllers(); i++) {
            if (i != index) {
                peers.add(new Settings.Peer(hostName(i), "a", "10.0.0." + i + ":1"));
            }
        }
        return new Settings(
                host.name,
                "a",
                new InetSocketAddress("127.0.0.1", 1),
                new InetSocketAddress("127.0.0.1", 2),
                peers,
                "cloud",
                stateAddress(),
                List.of("a", "b"),
                CLOCK_SKEW_MS,
                setup.teams(),
                List.of(),
                new Settings.Workers(setup.reportMs() / 1000.0, setup.leaseMs() / 1000.0, setup.cancelMs() / 1000.0),
                cluster.announcedLimits,
                new Settings.Cloud(CLOUD_RPS, ClusterSetup.LIST_LAG_MS / 1000.0),
                LIMITS);
    }

    /** Delivers a message to another controller's present process; one that began since does not get it. */
    private void send(String to, PeerMessage message) {
        ControllerNode peer = cluster.nodes.get(cluster.indexOf(to));
        int process = peer.host.life;
        byte[] bytes = message.encode();
        if (bytes.length > PeerMessage.MAX_BYTES) {
            cluster.checker.oversized(message.type() + " from " + host.name + " to " + to, bytes.length);
            return;
        }
        if (sim.observer != null) {
            sim.observer.record(bytes);
        }
        sim.deliver(host, peer.host, () -> {
            if (peer.host.life == process) {
                peer.controller.handleMessage(decode(bytes));
            }
        });
    }

    private static PeerMessage decode(byte[] bytes) {
        try {
            return PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(bytes)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The host ends, and is back after so long. */
    void crash(long backAfterMs) {
        host.kill();
        cluster.userHost.after(backAfterMs, this::boot);
    }

    /** The body that the controller answers to a GET, without any network between. */
    String get(String path) {
        String[] text = new String[1];
        controller.serve(new Http.Exchange() {
            @Override
            public String method() {
                return "GET";
            }

            @Override
            public String path() {
                return path;
            }

            @Override
            public byte[] body() {
                return new byte[0];
            }

            @Override
            public void answer(int status, byte[] body, int retryAfterS) {
                text[0] = new String(body, StandardCharsets.UTF_8);
            }
        });
        return text[0];
    }
}
