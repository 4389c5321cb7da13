package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.emulator.EmulatedCloud;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.InvariantChecker;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.Json;

/** Some controllers among stand-ins for state service, cloud, workers and users. */
public final class SimulatedCluster {
    private static final long WATCH_MS = 100;

    final ClusterSetup setup;
    /** The state service's limits that controllers are told of which begin from now on. */
    Settings.State announcedLimits;

    final Simulation sim;
    final EmulatedStateService state;
    final EmulatedCloud cloud;
    final InvariantChecker checker;
    final HeartbeatFaults heartbeatFaults;
    final SimulatedUsers users;
    /** Of machines that are up. */
    final List<EmulatedWorker> workers = new ArrayList<>();

    private final Map<String, Simulation.Host> workerHosts = new HashMap<>();
    final List<ControllerNode> nodes = new ArrayList<>();
    /** Timers of the users and of the experiment itself run here. */
    final Simulation.Host userHost;

    /** An event that a controller emitted, in simulated time. */
    record EmittedEvent(long atMs, String host, EventLog.Event event) {}

    final List<EmittedEvent> events = new ArrayList<>();

    final Simulation.Host stateHost;
    private JsonNode lastLeader;

    SimulatedCluster(long seed, double teamLimit) {
        this(seed, teamLimit, 3);
    }

    SimulatedCluster(long seed, double teamLimit, int controllers) {
        this(ClusterSetup.small(seed, teamLimit, controllers));
    }

    SimulatedCluster(ClusterSetup setup) {
        this.setup = setup;
        this.announcedLimits = setup.state();
        sim = new Simulation(setup.seed());
        userHost = sim.host("users");
        checker = new InvariantChecker(userHost, setup.cancelMs());
        setup.teams().values().forEach(t -> checker.limits.put(t.name(), t.cpusMax()));
        stateHost = sim.host("state");
        state = new EmulatedStateService(stateHost);
        heartbeatFaults = new HeartbeatFaults(this);
        users = new SimulatedUsers(this);
        Simulation.Host cloudHost = sim.host("cloud");
        cloud = new EmulatedCloud(
                cloudHost,
                sim.random,
                new EmulatedCloud.Offer(
                        ClusterSetup.TYPE, 4, 8, List.of("a", "b"), setup.bootMs(), ClusterSetup.LIST_LAG_MS),
                new EmulatedCloud.Machines() {
                    @Override
                    public String boot(EmulatedCloud.Box box) {
                        return bootWorker(box);
                    }

                    @Override
                    public void kill(EmulatedCloud.Box box) {
                        killWorker(box.id);
                    }
                },
                checker);
        cloud.capacity = setup.machines();
        sim.listen("cloud", cloudHost, cloud);
        for (int i = 0; i < setup.controllers(); i++) {
            nodes.add(new ControllerNode(this, i));
        }
        checker.allCompleted = users::allCompleted;
        everySecond();
        watchAvailability();
    }

    /** The controllers end one after the other and are back as a version that is told of other limits. */
    void upgrade(long fromMs, long everyMs, long backAfterMs, Settings.State limits) {
        for (ControllerNode n : nodes) {
            at(fromMs + n.index * everyMs, () -> {
                announcedLimits = limits;
                if (n.host.up) {
                    n.crash(backAfterMs);
                }
            });
        }
    }

    /** The state service's limits fall without notice. */
    void limitsFall(Settings.State limits) {
        state.limitSizes(limits.valueBytes(), limits.txnOps());
        state.lowerWriteRate(limits.writeRps());
    }

    /** From here on the state service refuses what is beyond its limits. */
    void enforceLimits() {
        state.limitRates(setup.state().rps(), setup.state().writeRps());
    }

    private String bootWorker(EmulatedCloud.Box box) {
        Simulation.Host host = sim.host(box.id);
        String addr = "w-" + box.id;
        List<EmulatedWorker.ControllerAddress> known = new ArrayList<>();
        for (int i = 0; i < setup.controllers(); i++) {
            known.add(new EmulatedWorker.ControllerAddress(ControllerNode.hostName(i), ControllerNode.address(i)));
        }
        EmulatedWorker worker = new EmulatedWorker(
                new EmulatedWorker.Config(addr, ClusterSetup.TYPE, 4, setup.reportMs(), setup.leaseMs(), known),
                host,
                sim.client(host),
                sim.random,
                checker,
                box);
        sim.listen(addr, host, worker);
        workers.add(worker);
        workerHosts.put(box.id, host);
        return addr;
    }

    private void killWorker(String id) {
        workers.stream().filter(w -> w.box().id.equals(id)).findFirst().ifPresent(w -> {
            workers.remove(w);
            w.die();
            workerHosts.remove(id).kill();
        });
    }

    /** The machine stops with all that is on it, and is back under its old name and address: its worker begins anew. */
    void restart(EmulatedWorker worker, long backAfterMs) {
        EmulatedCloud.Box box = worker.box();
        killWorker(box.id);
        userHost.after(backAfterMs, () -> {
            if (!box.deleted) {
                bootWorker(box);
            }
        });
    }

    private void everySecond() {
        checker.everySecond();
        userHost.after(1_000, this::everySecond);
    }

    private void watchAvailability() {
        if (state.outage() || nodes.stream().noneMatch(n -> n.host.up)) {
            users.admissions.closed(WATCH_MS);
        }
        JsonNode leader = state.value(Keys.LEADER);
        if (leader != null && !leader.equals(lastLeader)) {
            lastLeader = leader;
            heartbeatFaults.leaderChanged();
        }
        userHost.after(WATCH_MS, this::watchAvailability);
    }

    /** The state service refuses this controller alone for so long; null where nobody leads. */
    void refuse(ControllerNode node, long forMs) {
        if (node != null) {
            state.refuse(node.host.name, true);
            at(sim.now + forMs, () -> state.refuse(node.host.name, false));
        }
    }

    int indexOf(String host) {
        return host.charAt(host.length() - 1) - '0';
    }

    /** The controller that the state service names as the leader, or null. */
    ControllerNode leader() {
        JsonNode value = state.value(Keys.LEADER);
        return value == null ? null : nodes.get(indexOf(value.get("host").textValue()));
    }

    /** A counter of a controller, as it serves it. */
    int metric(ControllerNode node, String name) {
        return node.get("/metrics")
                .lines()
                .filter(l -> l.startsWith(name + " "))
                .mapToInt(l -> Integer.parseInt(l.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow();
    }

    /** Milliseconds that a controller's thread has spent so far, by part of its work. */
    Map<String, Long> busyMs(ControllerNode node) {
        String start = "landingridge_busy_ms_";
        Map<String, Long> parts = new LinkedHashMap<>();
        node.get("/metrics").lines().filter(l -> l.startsWith(start)).forEach(l -> {
            int space = l.indexOf(' ');
            parts.put(l.substring(start.length(), space), Long.parseLong(l.substring(space + 1)));
        });
        return parts;
    }

    /** What a controller says of itself. */
    JsonNode status(ControllerNode node) {
        return Json.parse(node.get("/api/status").getBytes(StandardCharsets.UTF_8));
    }

    void at(long ms, Runnable what) {
        userHost.after(ms - sim.now, what);
    }

    long jobCountWithStatus(String how) {
        return checker.lastStatusByJob.values().stream().filter(how::equals).count();
    }

    boolean allTasksRun(String id, int tasks) {
        return checker.locationByTask.keySet().stream()
                        .filter(t -> t.startsWith(id + "/"))
                        .count()
                == tasks;
    }
}
