package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.landingridge.controller.Controller;
import org.landingridge.controller.history.Segment;
import org.landingridge.controller.history.SegmentAddress;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.emulator.EmulatedCloud;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.InvariantChecker;
import org.landingridge.emulator.Simulation;
import org.landingridge.net.Http;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.Priority;

/** Some controllers among stand-ins for state service, cloud, workers and users. */
public final class SimulatedCluster {
    static final String TYPE = "t4";
    static final long LAG_MS = 4_000;
    static final long REPORT_MS = 1_000;
    static final long LEASE_MS = 8_000;
    static final long CANCEL_MS = 15_000;
    private static final long LOOK_MS = 100;
    private static final int LOOKS = 3;
    private static final int LOOK_WITHIN_MS = 40;
    /** The numbers of jobs that no controller may accept begin here. */
    private static final int ODD = 900_000;

    /**
     * What a world is made of.
     *
     * @param machines of spot and of ordinary machines each, how many the cloud has; 4 processors a machine
     * @param bootMs   until a machine that was rented is up
     * @param teams    by name
     * @param cancelMs within which the tasks of a job are gone whose user was told that it is cancelled
     * @param state    the state service's limits, as the controllers are told; see {@link #enforceLimits}
     */
    record Setup(
            long seed,
            int controllers,
            int machines,
            long bootMs,
            long reportMs,
            long leaseMs,
            long cancelMs,
            Map<String, Settings.Team> teams,
            Settings.State state) {
        Setup(
                long seed,
                int controllers,
                int machines,
                long bootMs,
                long reportMs,
                long leaseMs,
                Map<String, Settings.Team> teams,
                Settings.State state) {
            this(seed, controllers, machines, bootMs, reportMs, leaseMs, CANCEL_MS, teams, state);
        }

        /** A small one, with two teams; the first has a limit. */
        static Setup small(long seed, double teamLimit, int controllers) {
            Map<String, Settings.Team> teams = new LinkedHashMap<>();
            teams.put("red", new Settings.Team("red", 8, teamLimit, 0, 0));
            teams.put("blue", new Settings.Team("blue", 8, 0, 0, 0));
            return new Setup(
                    seed, controllers, 20, 3_000, REPORT_MS, LEASE_MS, teams, new Settings.State(200, 20, 4, 8));
        }
    }

    private final Setup setup;
    /** The state service's limits that controllers are told of which begin from now on. */
    Settings.State announced;

    final Simulation sim;
    final EmulatedStateService state;
    final EmulatedCloud cloud;
    final InvariantChecker rules;
    final AdmissionDelays admissions = new AdmissionDelays();
    /** Of machines that are up. */
    final List<EmulatedWorker> workers = new ArrayList<>();

    private final Map<String, Simulation.Host> workerHosts = new HashMap<>();
    final List<ControllerNode> nodes = new ArrayList<>();
    private final Simulation.Host users;

    /** An event that a controller told of, at this time of the world. */
    record Told(long atMs, String host, EventLog.Event event) {}

    final List<Told> events = new ArrayList<>();

    /** One controller's host; a restart makes a new controller with no memory. */
    final class ControllerNode {
        final int index;
        final Simulation.Host host;
        Controller controller;

        ControllerNode(int index) {
            this.index = index;
            this.host = sim.host("rig-" + index);
            sim.listen(nodeAddr(index), host, x -> {
                if (x.path().equals("/hello")
                        && !unheard.isEmpty()
                        && unheard.contains(Json.text(Json.parse(x.body()), "box"))) {
                    lost.add(new Copy(x));
                    return;
                }
                if (x.path().equals("/hello") && keptReports > 0 && sim.random.nextDouble() < keptReports) {
                    kept.add(new Copy(x));
                }
                if (x.path().equals("/hello") && lateReports > 0 && sim.random.nextDouble() < lateReports) {
                    again(x, 2_000 + sim.random.nextLong(5 * setup.leaseMs / 2));
                }
                controller.serve(x);
            });
            sim.listen("state-" + index, stateHost, state.as("rig-" + index));
            boot();
        }

        /** A copy of a report comes late; nobody waits for its answer. */
        private void again(Http.Exchange report, long lateMs) {
            users.after(lateMs, () -> {
                if (host.up) {
                    controller.serve(new Copy(report));
                }
            });
        }

        void boot() {
            host.up = true;
            List<Settings.Peer> peers = new ArrayList<>();
            for (int i = 0; i < controllers; i++) {
                if (i != index) {
                    peers.add(new Settings.Peer("rig-" + i, "a", "10.0.0." + i + ":1"));
                }
            }
            Settings settings = new Settings(
                    "rig-" + index,
                    "a",
                    new InetSocketAddress("127.0.0.1", 1),
                    new InetSocketAddress("127.0.0.1", 2),
                    peers,
                    "cloud",
                    "state-" + index,
                    List.of("a", "b"),
                    25,
                    setup.teams,
                    List.of(),
                    new Settings.Workers(setup.reportMs / 1000.0, setup.leaseMs / 1000.0, setup.cancelMs / 1000.0),
                    announced,
                    new Settings.Cloud(5, LAG_MS / 1000.0),
                    new Settings.Machine(1, 200, 1000));
            controller = new Controller(
                    host,
                    sim.client(host),
                    (to, message) -> {
                        ControllerNode peer = nodes.get(indexOf(to));
                        int life = peer.host.life;
                        byte[] bytes = message.encode();
                        if (sim.observer != null) {
                            sim.observer.record(bytes);
                        }
                        sim.deliver(host, peer.host, () -> {
                            if (peer.host.life == life) {
                                try {
                                    peer.controller.received(org.landingridge.controller.peer.PeerMessage.decode(
                                            new java.io.DataInputStream(new java.io.ByteArrayInputStream(bytes))));
                                } catch (java.io.IOException e) {
                                    throw new java.io.UncheckedIOException(e);
                                }
                            }
                        });
                    },
                    new SplittableRandom(sim.random.nextLong()),
                    settings,
                    Policy.DEFAULT);
            controller.eventLog().listener(event -> events.add(new Told(sim.now, host.name, event)));
            host.after(200, () -> controller.start(() -> {}));
        }

        void crash(long backAfterMs) {
            host.kill();
            users.after(backAfterMs, this::boot);
        }
    }

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

    private final Simulation.Host stateHost;
    private final int controllers;
    /** Machines whose reports are lost, while they hear and answer calls. */
    final Set<String> unheard = new HashSet<>();
    /** Those reports: a history may have them come after all. */
    final List<Http.Exchange> lost = new ArrayList<>();
    /** Share of the workers' reports of which a copy comes again, up to two and a half leases later. */
    double lateReports;
    /** Share of the workers' reports of which a copy is kept, until another leader begins: then it reaches every controller. */
    double keptReports;

    private final List<Http.Exchange> kept = new ArrayList<>();
    private JsonNode leaderBefore;
    /** Users ask at all controllers within milliseconds after a job was accepted, ended or cancelled. */
    boolean closeLooks;
    /** Share of the jobs that end which their users call off at the moment of the end. */
    double cancelAtEnd;

    private int odd = ODD;

    SimulatedCluster(long seed, double teamLimit) {
        this(seed, teamLimit, 3);
    }

    SimulatedCluster(long seed, double teamLimit, int controllers) {
        this(Setup.small(seed, teamLimit, controllers));
    }

    SimulatedCluster(Setup setup) {
        this.setup = setup;
        this.announced = setup.state;
        this.controllers = setup.controllers;
        sim = new Simulation(setup.seed);
        users = sim.host("users");
        rules = new InvariantChecker(users, setup.cancelMs);
        setup.teams.values().forEach(t -> rules.limits.put(t.name(), t.cpusMax()));
        stateHost = sim.host("state");
        state = new EmulatedStateService(stateHost);
        Simulation.Host cloudHost = sim.host("cloud");
        cloud = new EmulatedCloud(
                cloudHost,
                sim.random,
                new EmulatedCloud.Offer(TYPE, 4, 8, List.of("a", "b"), setup.bootMs, LAG_MS),
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
                rules);
        cloud.capacity = setup.machines;
        sim.listen("cloud", cloudHost, cloud);
        for (int i = 0; i < controllers; i++) {
            nodes.add(new ControllerNode(i));
        }
        rules.allCompleted = this::allCompleted;
        everySecond();
        lookWhetherClosed();
    }

    /** The controllers end one after the other and are back as a version that is told of other limits. */
    void upgrade(long fromMs, long everyMs, long backAfterMs, Settings.State limits) {
        for (ControllerNode n : nodes) {
            at(fromMs + n.index * everyMs, () -> {
                announced = limits;
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
        state.limitRates(setup.state.rps(), setup.state.writeRps());
    }

    private String bootWorker(EmulatedCloud.Box box) {
        Simulation.Host host = sim.host(box.id);
        String addr = "w-" + box.id;
        List<EmulatedWorker.ControllerAddress> known = new ArrayList<>();
        for (int i = 0; i < controllers; i++) {
            known.add(new EmulatedWorker.ControllerAddress("rig-" + i, nodeAddr(i)));
        }
        EmulatedWorker worker = new EmulatedWorker(
                new EmulatedWorker.Config(addr, TYPE, 4, setup.reportMs, setup.leaseMs, known),
                host,
                sim.client(host),
                sim.random,
                rules,
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
        users.after(backAfterMs, () -> {
            if (!box.deleted) {
                bootWorker(box);
            }
        });
    }

    private void everySecond() {
        rules.everySecond();
        users.after(1_000, this::everySecond);
    }

    private void lookWhetherClosed() {
        if (state.outage() || nodes.stream().noneMatch(n -> n.host.up)) {
            admissions.closed(LOOK_MS);
        }
        JsonNode leader = state.value(Keys.LEADER);
        if (leader != null && !leader.equals(leaderBefore)) {
            leaderBefore = leader;
            kept.forEach(this::reachAll);
            kept.clear();
        }
        users.after(LOOK_MS, this::lookWhetherClosed);
    }

    /** An old report comes to every controller, within the first half second of a new leader. */
    private void reachAll(Http.Exchange report) {
        for (ControllerNode n : nodes) {
            users.after(sim.random.nextInt(500), () -> {
                if (n.host.up) {
                    n.controller.serve(report);
                }
            });
        }
    }

    private void allCompleted(String id) {
        if (cancelAtEnd > 0 && sim.random.nextDouble() < cancelAtEnd) {
            askOnce(id, "cancel");
        }
        look(id);
    }

    /** Asks for a job at every controller, some times within milliseconds; the submission is repeated, and some call the job off. */
    private void look(String id) {
        if (!closeLooks) {
            return;
        }
        for (int node = 0; node < controllers; node++) {
            for (int i = 0; i < LOOKS; i++) {
                int at = node;
                users.after(sim.random.nextInt(LOOK_WITHIN_MS), () -> askOnce(id, "poll", at));
            }
            int at = node;
            users.after(sim.random.nextInt(LOOK_WITHIN_MS), () -> askOnce(id, "submit", at));
        }
        if (sim.random.nextInt(8) == 0) {
            users.after(sim.random.nextInt(LOOK_WITHIN_MS), () -> askOnce(id, "cancel"));
        }
    }

    /**
     * Users call off, within a fifth of a second, so many of the jobs that run.
     *
     * @param hangMs so long up to eight of their machines hang from then on; 0: none does
     */
    void cancelNow(int count, long hangMs) {
        List<String> ids = rules.places.keySet().stream()
                .map(t -> t.substring(0, t.lastIndexOf('/')))
                .distinct()
                .sorted()
                .filter(id -> !rules.cancelAsked.contains(id))
                .limit(count)
                .toList();
        ids.forEach(id -> users.after(sim.random.nextInt(200), () -> cancel(id)));
        if (hangMs > 0) {
            workers.stream()
                    .filter(w -> ids.stream()
                            .anyMatch(id ->
                                    rules.placesOf(id).values().stream().anyMatch(p -> p.startsWith(w.box().id + "@"))))
                    .limit(8)
                    .toList()
                    .forEach(w -> {
                        w.hang(true);
                        users.after(hangMs, () -> w.hang(false));
                    });
        }
    }

    /** A user does something odd: repeats, cancels what is done, or sends a job that lacks a field or can never run. */
    void oddRequest() {
        List<String> known = rules.told.keySet().stream().sorted().toList();
        int what = sim.random.nextInt(4);
        if (what < 2 && !known.isEmpty()) {
            String id = known.get(sim.random.nextInt(known.size()));
            boolean done = "done".equals(rules.told.get(id));
            if (done || what == 0) {
                askOnce(id, done ? "cancel" : "submit");
            }
            return;
        }
        InvalidSubmissions.Odd job = InvalidSubmissions.any(id(odd++), sim.random);
        rules.unacceptable.put(job.id(), job.status());
        for (int node = 0; node < controllers; node++) {
            int at = node;
            ask(at, job.id(), "submit", "POST", "/api/jobs", Json.bytes(job.body()), 0);
            users.after(100, () -> askOnce(job.id(), "poll", at));
        }
    }

    String nodeAddr(int i) {
        return "node-" + i;
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

    static JobSpec job(int number, String team, boolean service, int tasks, double cpus, double seconds) {
        return new JobSpec(
                id(number),
                service ? "live" : "batch",
                team,
                service,
                service ? Priority.HIGH : Priority.NORMAL,
                tasks,
                cpus,
                0,
                cpus,
                "img-" + number % 3,
                0.3,
                null,
                null,
                false,
                false,
                !service,
                seconds,
                0,
                0,
                null);
    }

    /** A user submits, retries until accepted, then polls until the job is over. */
    void submit(JobSpec spec) {
        rules.specs.put(spec.id(), spec);
        admissions.asked(spec.id(), sim.now);
        ask(spec.id(), "submit", "POST", "/api/jobs", Json.bytes(spec.json()), 60);
    }

    /** A user submits a job as soon as all that it awaits are accepted. */
    void submitWhenAwaitedAreAccepted(JobSpec spec) {
        if (rules.told.keySet().containsAll(spec.awaits())) {
            submit(spec);
        } else {
            users.after(LOOK_MS, () -> submitWhenAwaitedAreAccepted(spec));
        }
    }

    /** An operator asks a controller for a change of the configuration. */
    void configure(int node, ObjectNode change, Consumer<Http.Reply> answered) {
        sim.client(users).call(nodeAddr(node), "POST", "/api/config", Json.bytes(change), 5_000, answered);
    }

    /** The configuration by which a controller acts, as it shows it. */
    JsonNode configuration(ControllerNode node) {
        return Json.parse(get(node, "/api/config").getBytes(StandardCharsets.UTF_8));
    }

    /** The last changes of the configuration, the newest first. */
    JsonNode configurationLog(ControllerNode node) {
        return Json.parse(get(node, "/api/config/history").getBytes(StandardCharsets.UTF_8))
                .get("changes");
    }

    void cancel(String id) {
        rules.cancelAsked.add(id);
        ask(id, "cancel", "POST", "/api/jobs/" + id + "/cancel", new byte[0], 60);
    }

    void poll(String id) {
        ask(id, "poll", "GET", "/api/jobs/" + id, null, 1);
    }

    private void ask(String id, String what, String method, String path, byte[] body, int tries) {
        ask(sim.random.nextInt(controllers), id, what, method, path, body, tries);
    }

    private void ask(int node, String id, String what, String method, String path, byte[] body, int tries) {
        long askedAt = sim.now;
        sim.client(users).call(nodeAddr(node), method, path, body, 5_000, reply -> {
            boolean settled = false;
            if (reply.outcome() == Http.Outcome.ANSWERED) {
                JsonNode n = Json.parse(reply.body());
                String state =
                        n == null || !n.has("status") ? "" : n.get("status").textValue();
                rules.answered(id, what, askedAt, reply.status(), state);
                if (what.equals("submit") && reply.status() / 100 == 2) {
                    admissions.accepted(id, sim.now);
                }
                if (tries > 0 && !what.equals("poll") && reply.status() / 100 == 2) {
                    look(id);
                }
                settled = reply.status() / 100 == 2 || reply.status() == 400 || reply.status() == 422;
            }
            if (tries == 0) {
                return;
            }
            if (!settled && tries > 1) {
                users.after(1_000, () -> ask(id, what, method, path, body, tries - 1));
            } else if (what.equals("submit") && settled || what.equals("poll")) {
                String told = rules.told.get(id);
                if (!"done".equals(told) && !"cancelled".equals(told)) {
                    users.after(2_000, () -> poll(id));
                }
            }
        });
    }

    /**
     * Jobs that ended before the history, with a key each, as every version has left them; every seventh is cancelled.
     *
     * @param step distance between the numbers of two ids
     */
    void ended(int first, int count, int step) {
        for (int i = 0; i < count; i++) {
            JobSpec spec = job(first + i * step, "blue", false, 1 + i % 3, 1, 1);
            boolean cancelled = i % 7 == 0;
            ObjectNode value =
                    Json.object().put("ended", cancelled ? "CANCELLED" : "DONE").put("takes", spec.tasks());
            if (cancelled) {
                value.set("spec", spec.json());
                rules.cancelAsked.add(spec.id());
                rules.cancelledAt.put(spec.id(), 0L);
            }
            state.seed(Keys.JOBS + spec.id(), value);
            rules.specs.put(spec.id(), spec);
            rules.told.put(spec.id(), cancelled ? "cancelled" : "done");
            for (int t = 0; t < spec.tasks(); t++) {
                rules.completed.add(spec.id() + "/" + t);
            }
        }
    }

    /** Jobs that ended and moved into the history before: their numbers follow each other, every seventh is cancelled. */
    static void past(EmulatedStateService state, int first, int count) {
        Map<Integer, TerminatedJob> jobs = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            String id = id(first + i);
            SegmentAddress place = SegmentAddress.of(id);
            jobs.put(
                    place.offset(),
                    i % 7 == 0
                            ? new TerminatedJob(Job.Status.CANCELLED, 0)
                            : new TerminatedJob(Job.Status.DONE, 1 + i % 100));
            if (i == count - 1 || place.offset() == Segment.JOBS - 1) {
                state.seed(place.key(), Segment.EMPTY.with(jobs).json());
                jobs.clear();
            }
        }
    }

    static String id(int number) {
        return String.format("job-%06d", number);
    }

    /** Asks for a job once: a poll, a late retry of its submission, or a cancellation. */
    void askOnce(String id, String what) {
        askOnce(id, what, sim.random.nextInt(controllers));
    }

    void askOnce(String id, String what, int node) {
        switch (what) {
            case "poll" -> ask(node, id, "poll", "GET", "/api/jobs/" + id, null, 0);
            case "submit" ->
                ask(
                        node,
                        id,
                        "submit",
                        "POST",
                        "/api/jobs",
                        Json.bytes(rules.specs.get(id).json()),
                        0);
            default -> {
                if (!"done".equals(rules.told.get(id))) {
                    rules.cancelAsked.add(id);
                }
                ask(node, id, "cancel", "POST", "/api/jobs/" + id + "/cancel", new byte[0], 0);
            }
        }
    }

    /** A counter of a controller, as it serves it. */
    int metric(ControllerNode node, String name) {
        return get(node, "/metrics")
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
        get(node, "/metrics").lines().filter(l -> l.startsWith(start)).forEach(l -> {
            int space = l.indexOf(' ');
            parts.put(l.substring(start.length(), space), Long.parseLong(l.substring(space + 1)));
        });
        return parts;
    }

    /** What a controller says of itself. */
    JsonNode status(ControllerNode node) {
        return Json.parse(get(node, "/api/status").getBytes(StandardCharsets.UTF_8));
    }

    /** Submits this body to a controller; the status of its answer. */
    int post(ControllerNode node, byte[] body) {
        int[] status = new int[1];
        sim.client(users)
                .call(nodeAddr(node.index), "POST", "/api/jobs", body, 5_000, reply -> status[0] = reply.status());
        for (long until = sim.now + 5_000; status[0] == 0 && sim.now < until; ) {
            sim.run(sim.now + 10);
        }
        return status[0];
    }

    private static String get(ControllerNode node, String path) {
        String[] text = new String[1];
        node.controller.serve(new Http.Exchange() {
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

    void at(long ms, Runnable what) {
        users.after(ms - sim.now, what);
    }

    long over(String how) {
        return rules.told.values().stream().filter(how::equals).count();
    }

    boolean running(String id, int tasks) {
        return rules.places.keySet().stream()
                        .filter(t -> t.startsWith(id + "/"))
                        .count()
                == tasks;
    }
}
