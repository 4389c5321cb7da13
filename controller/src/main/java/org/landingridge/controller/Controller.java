package org.landingridge.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.landingridge.controller.api.JobLookup;
import org.landingridge.controller.api.JobService;
import org.landingridge.controller.cloud.CloudClient;
import org.landingridge.controller.election.ElectionSettings;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.history.History;
import org.landingridge.controller.history.SegmentAddress;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.leader.LeaderContext;
import org.landingridge.controller.leader.LeaderTerm;
import org.landingridge.controller.liveconfig.ConfigurationService;
import org.landingridge.controller.liveconfig.ConfigurationView;
import org.landingridge.controller.observability.ActivityTimer.Part;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.observability.IncidentReport;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.peer.HeartbeatForwarder;
import org.landingridge.controller.peer.PeerGroup;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.peer.PeerTransport;
import org.landingridge.controller.progress.Progress;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StoreAccess;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.controller.upgrade.Capabilities;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: the parts that every controller runs, and the leader term while it leads. */
public final class Controller implements Leadership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final long READY_MS = 4_000;
    private static final long STALE_MS = 2_500;
    private static final long OPEN_MS = 2_000;
    /** After a start the leases of hundreds of workers come first, and users' changes. */
    private static final long ANNOUNCE_MS = 6_000;
    /** Of the state service's changes a second, what the leader's documents may use. */
    private static final double WRITER_SHARE = 0.5;
    /** A report waits so long for a leader to be known; the worker gives up after 4 s. */
    private static final long PARK_MS = 1_500;

    private static final int MOST_PARKED_BYTES = 8 << 20;
    /** A new leader is heard over {@code back} so soon, or there is no way to it. */
    private static final long HEAR_MS = 1_000;

    private final EventLoop loop;
    private final Settings settings;
    private final WatchCache watchCache;
    private final JobTable table;
    private final History history;
    private final Capabilities capabilities;
    private final Metrics metrics;
    private final IncidentReport incidents;
    private final EventLog eventLog;
    private final JobService jobs;
    private final ConfigurationView configuration;
    private final ConfigurationService configurations;
    private final Leadership lead;
    private final CloudClient cloud;
    private final LeaderContext parts;
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    /** Values of the leader's documents as the state service has them: the roster, finished tasks, operations. */
    private final Map<String, JsonNode> documents = new TreeMap<>();
    /** When each of them came to be known in its present form. */
    private final Map<String, Long> seenAt = new TreeMap<>();

    private final PeerTransport peers;
    private final List<String> others;
    private final HeartbeatForwarder relay;
    private final Deque<Parked> parked = new ArrayDeque<>();
    private int parkedBytes;
    private LeaderTerm leaderTerm;
    private boolean probing;
    private long leaderSince = Long.MIN_VALUE / 2;

    /** A report that came while no leader was known. */
    private record Parked(Http.Exchange exchange, long until) {}

    public Controller(
            EventLoop loop, Http http, PeerTransport peers, RandomGenerator random, Settings settings, Policy policy) {
        this.loop = loop;
        this.settings = settings;
        this.incidents = new IncidentReport(loop);
        this.eventLog = new EventLog(loop);
        this.metrics = new Metrics(loop::nanos);
        StateClient client = new StateClient(http, settings.state());
        int nodes = settings.peers().size() + 1;
        // A third of the requests go to watches and a third to barriers; the rest is for renewals and writes.
        long pause = Math.max(
                20, Math.round(1000 * 3.0 * nodes / settings.stateLimits().rps()));
        // Wider than what is read at the start: it brings the changes of the history too.
        String watched = Keys.ROOT.substring(0, Keys.ROOT.length() - 1);
        watchCache = new WatchCache(client, loop, Keys.ROOT, watched, pause, metrics.busy, new News());
        table = new JobTable(loop::now, id -> watchCache.forget(Keys.JOBS + id));
        history = new History(client, watchCache, metrics);
        this.peers = peers;
        others = settings.peers().stream().map(Settings.Peer::host).toList();
        capabilities = new Capabilities(client, watchCache, loop, settings.host(), others);
        relay = new HeartbeatForwarder(loop, peers, random, settings.host(), mostReports());
        long holdMs = Math.round(policy.leaderHoldS() * 1000);
        StoreAccess store = new StoreAccess(client, watchCache, loop);
        lead = new Leadership(
                store,
                random,
                new PeerGroup(settings.host(), others, peers),
                new ElectionSettings(
                        Keys.LEADER,
                        holdMs,
                        ElectionSettings.freshnessMs(
                                settings.workers().cancelS(), settings.workers().leaseS(), holdMs)),
                table.endings(),
                this);
        BatchWriter writer = new BatchWriter(
                store, settings.stateLimits(), WRITER_SHARE, Keys.LEADER, lead::writeGuard, metrics.busy);
        cloud = new CloudClient(
                http, loop, settings.cloud(), settings.cloudLimits().rps());
        JobLookup lookup = new JobLookup(client, watchCache, table, history);
        configuration = new ConfigurationView(settings.teams());
        configurations = new ConfigurationService(
                client, watchCache, loop, configuration, settings.host(), settings.stateLimits());
        jobs = new JobService(
                client,
                watchCache,
                loop,
                table,
                lookup,
                configuration,
                settings,
                types,
                () -> capabilities.all(Capabilities.Feature.PIPELINES),
                metrics);
        parts = new LeaderContext(
                loop,
                http,
                random,
                settings,
                policy,
                client,
                watchCache,
                lead,
                writer,
                cloud,
                table,
                history,
                lookup,
                capabilities,
                configuration,
                types,
                metrics,
                incidents,
                eventLog);
    }

    /** What tells of this controller's recoveries. */
    public EventLog eventLog() {
        return eventLog;
    }

    /** Starts everything; {@code open} lets users and workers in, once there is something to tell them. */
    public void start(Runnable open) {
        watchCache.start();
        lead.start();
        refreshTypes();
        probe();
        tellRunning();
        logBusy();
        open(open, loop.now() + OPEN_MS);
    }

    /**
     * While a fresh process reads the state, hundreds of workers may be at its door after a crash of all controllers.
     * To turn each away costs it more than to let them find the door closed, and it would lead later for it.
     */
    private void open(Runnable open, long latest) {
        if (watchCache.following() || relay.heard() != null || loop.now() >= latest) {
            open.run();
            lead.consider();
            loop.after(ANNOUNCE_MS, capabilities::announce);
        } else {
            loop.after(20, () -> open(open, latest));
        }
    }

    /** A record of another controller. */
    public void received(PeerMessage message) {
        if (message instanceof PeerMessage.Ask m) {
            lead.asked(m);
        } else if (message instanceof PeerMessage.Grant m) {
            lead.granted(m);
        } else if (message instanceof PeerMessage.Refuse m) {
            lead.refused(m);
        } else if (message instanceof PeerMessage.HandOver m) {
            lead.handedOver(m);
        } else if (message instanceof PeerMessage.RunningCounts m) {
            // The sign of life of a leader of the past may come late: it may not hide the one that is heard.
            if (!otherIsHeard(m.host())) {
                relay.heard(m.host());
                jobs.leaderHeard(m.writesStarved());
                metrics.busy.during(Part.DISPLAY, () -> showRunning(m.counts()));
            }
        } else if (message instanceof PeerMessage.ForwardedHeartbeat m) {
            Http.Exchange exchange = relay.carried(m);
            if (leaderTerm != null && lead.mayAct()) {
                metrics.busy.during(Part.CARRIED, () -> report(exchange));
            } else {
                exchange.answer(503, new byte[0]);
            }
        } else if (message instanceof PeerMessage.Answer m) {
            relay.answered(m);
        }
    }

    /** The counts are for display: users poll any controller, only the leader knows what runs. */
    private void tellRunning() {
        if (leaderTerm != null && lead.mayAct()) {
            metrics.busy.during(Part.DISPLAY, this::announce);
        }
        loop.after(1_000, this::tellRunning);
    }

    private void announce() {
        Map<String, Integer> counts = leaderTerm.running();
        showRunning(counts);
        boolean comesShort = parts.writer().starved();
        jobs.leaderHeard(comesShort);
        for (String other : others) {
            peers.send(other, new PeerMessage.RunningCounts(settings.host(), counts, comesShort));
        }
    }

    private void logBusy() {
        metrics.busy.log();
        loop.after(10_000, this::logBusy);
    }

    private void showRunning(Map<String, Integer> counts) {
        for (Job job : table.active()) {
            job.running(counts.getOrDefault(job.id(), 0));
        }
    }

    /** What the mirror brings. */
    private final class News implements WatchCache.Listener {
        @Override
        public void changed(String key, JsonNode value, long version) {
            Controller.this.changed(key, value, version);
        }

        @Override
        public void lost() {
            history.reset();
        }
    }

    private void changed(String key, JsonNode value, long version) {
        if (key.startsWith(Keys.JOBS)) {
            table.changed(key.substring(Keys.JOBS.length()), value, version);
        } else if (key.startsWith(SegmentAddress.ROOT)) {
            history.changed(key, value, version);
        } else if (key.startsWith(Capabilities.ROOT)) {
            capabilities.changed(key, value);
        } else if (key.startsWith(ConfigurationView.ROOT)) {
            configuration.changed(key, value);
            if (leaderTerm != null) {
                leaderTerm.changed();
            }
        } else if (key.equals(Keys.LEADER)) {
            String before = lead.leaderHost();
            lead.keyChanged(value, version);
            if (!Objects.equals(before, lead.leaderHost())) {
                leaderSince = loop.now();
            }
        } else if (key.equals(Keys.LEADER_LAST)) {
            lead.lastLeaderChanged(value);
        } else {
            if (value == null) {
                documents.remove(key);
                seenAt.remove(key);
            } else {
                documents.put(key, value);
                seenAt.put(key, loop.now());
            }
            if (key.startsWith(Keys.ROOT + Progress.PREFIX)) {
                Progress.read(value, table);
            }
        }
    }

    @Override
    public void elected(long token) {
        if (types.isEmpty()) {
            // Without the machine types no machine can be judged: they come with the next answer of the cloud.
            loop.after(200, () -> {
                if (lead.leads() && lead.token() == token) {
                    elected(token);
                }
            });
            return;
        }
        leaderTerm = new LeaderTerm(parts, documents, seenAt);
        table.listener(leaderTerm);
        // The others carry reports from the moment they hear of it, instead of sending every worker here.
        for (long at = 0; at < HEAR_MS; at += HEAR_MS / 4) {
            loop.after(at, () -> {
                if (leaderTerm != null && lead.mayAct()) {
                    announce();
                }
            });
        }
        settleParked();
    }

    @Override
    public void deposed() {
        incidents.record("this controller no longer leads");
        table.listener(null);
        if (leaderTerm != null) {
            leaderTerm.close();
            leaderTerm = null;
        }
    }

    @Override
    public void cancelled(String job, long revision) {
        table.cancelled(job, revision);
    }

    private void refreshTypes() {
        cloud.types(all -> {
            if (all != null && !all.isEmpty()) {
                types.clear();
                all.forEach(t -> types.put(t.name(), t));
            }
            loop.after(types.isEmpty() ? 500 : 60_000, this::refreshTypes);
        });
    }

    /** Asks the state service for a sign of life where the watch has brought none: readiness hangs on it. */
    private void probe() {
        if (!probing && watchCache.following() && loop.now() - watchCache.lastAnswer() > READY_MS / 4) {
            probing = true;
            watchCache.barrier(() -> probing = false, () -> probing = false);
        }
        loop.after(READY_MS / 4, this::probe);
    }

    private boolean ready() {
        return watchCache.following() && !types.isEmpty() && loop.now() - watchCache.lastAnswer() < READY_MS;
    }

    /** Serves one request of a user, a worker or the load balancer. */
    public void serve(Http.Exchange exchange) {
        String path = exchange.path();
        String method = exchange.method();
        if (path.equals("/hello")) {
            only("POST", method, exchange, () -> metrics.busy.during(Part.REPORTS, () -> report(exchange)));
        } else if (path.equals("/ready")) {
            only(
                    "GET",
                    method,
                    exchange,
                    () -> exchange.answer(
                            ready() ? 200 : 503, Json.bytes(Json.object().put("ready", ready()))));
        } else if (path.equals("/api/jobs")) {
            only("POST", method, exchange, () -> user(() -> jobs.submit(exchange)));
        } else if (path.equals("/metrics")) {
            only(
                    "GET",
                    method,
                    exchange,
                    () -> exchange.answer(200, metrics.text().getBytes(StandardCharsets.UTF_8)));
        } else if (path.equals("/api/config/history")) {
            only("GET", method, exchange, () -> configurations.history(exchange));
        } else if (path.equals("/api/config") && method.equals("POST")) {
            user(() -> configurations.change(exchange));
        } else if (path.equals("/api/config")) {
            only("GET", method, exchange, () -> configurations.show(exchange));
        } else if (path.equals("/api/status")) {
            only("GET", method, exchange, () -> exchange.answer(200, status()));
        } else if (path.startsWith("/api/jobs/")) {
            String rest = path.substring("/api/jobs/".length());
            if (rest.endsWith("/cancel") && rest.length() > "/cancel".length()) {
                String id = rest.substring(0, rest.length() - "/cancel".length());
                only("POST", method, exchange, () -> user(() -> jobs.cancel(exchange, id)));
            } else if (rest.indexOf('/') < 0) {
                only("GET", method, exchange, () -> user(() -> jobs.poll(exchange, rest)));
            } else {
                notFound(exchange);
            }
        } else {
            notFound(exchange);
        }
    }

    private void user(Runnable request) {
        metrics.busy.during(Part.USERS, request);
    }

    private static void only(String wanted, String method, Http.Exchange exchange, Runnable served) {
        if (wanted.equals(method)) {
            served.run();
        } else {
            exchange.answer(405, Json.bytes(Json.object().put("error", "only " + wanted + " is served here")));
        }
    }

    private static void notFound(Http.Exchange exchange) {
        exchange.answer(404, Json.bytes(Json.object().put("error", "no such path")));
    }

    private void report(Http.Exchange exchange) {
        metrics.reports.increment();
        if (leaderTerm != null && lead.mayAct()) {
            try {
                leaderTerm.report(Heartbeat.parse(Json.parse(exchange.body())), exchange);
            } catch (InvalidMessageException e) {
                metrics.malformed.increment();
                LOG.warn("dropping a report: {}", e.getMessage());
                exchange.answer(400, Json.bytes(Json.object().put("error", e.getMessage())));
            }
            return;
        }
        if (otherLeads()) {
            relay.report(leader(), exchange);
        } else if (leaderTerm == null && parked.size() < mostReports() && parkedBytes < MOST_PARKED_BYTES) {
            // Sent away, the worker would try the next controller a second later, which may know as little. And sent
            // to a leader that was elected a moment ago, hundreds would all be served by that one processor.
            parked.addLast(new Parked(exchange, loop.now() + PARK_MS));
            parkedBytes += exchange.body().length;
            if (parked.size() == 1) {
                loop.after(100, this::settleParked);
            }
        } else {
            exchange.answer(421, Json.bytes(Json.object()));
        }
    }

    /** Reports that wait hold a connection each: half of those that there are may. */
    private int mostReports() {
        return settings.machine().maxConnections() / 2;
    }

    /** True if another controller leads and reports can be carried, or sent, to it. */
    private boolean otherLeads() {
        String leader = leader();
        return leader != null
                && !leader.equals(settings.host())
                && (leader.equals(relay.heard()) || loop.now() - leaderSince > HEAR_MS);
    }

    private boolean otherIsHeard(String host) {
        String leader = leader();
        return leader != null && !leader.equals(host) && leader.equals(relay.heard());
    }

    /**
     * The leader by its key. A process that began in an outage of the state service knows it by its word only; and where the
     * state service has not answered lately, as one that is refused alone, the key may name a leader of the past, to which
     * workers would be sent round and round.
     */
    private String leader() {
        String heard = relay.heard();
        boolean current = watchCache.following() && loop.now() - watchCache.lastAnswer() < STALE_MS;
        return !current && heard != null ? heard : lead.leaderHost();
    }

    private void settleParked() {
        boolean known = leaderTerm != null || otherLeads();
        for (int left = parked.size(); left > 0; left--) {
            Parked p = parked.pollFirst();
            if (!known && loop.now() < p.until) {
                parked.addLast(p);
                continue;
            }
            parkedBytes -= p.exchange.body().length;
            if (known) {
                report(p.exchange);
            } else {
                p.exchange.answer(421, Json.bytes(Json.object()));
            }
        }
        if (!parked.isEmpty()) {
            loop.after(100, this::settleParked);
        }
    }

    private byte[] status() {
        ObjectNode n = Json.object();
        n.put("host", settings.host())
                .put("leadership", lead.state().name())
                .put("leader", lead.leaderHost())
                .put("token", lead.leads() ? lead.token() : 0)
                .put("configuration", configuration.current().number())
                .put("ready", ready())
                .put("revision", watchCache.revision())
                .put("jobs", table.size())
                .put("activeJobs", table.active().size());
        if (leaderTerm != null) {
            leaderTerm.describe(n);
        }
        incidents.write(n.putArray("incidents"));
        return Json.bytes(n);
    }
}
