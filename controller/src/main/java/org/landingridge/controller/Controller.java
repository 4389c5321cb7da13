package org.landingridge.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.landingridge.controller.api.JobLookup;
import org.landingridge.controller.api.JobService;
import org.landingridge.controller.cloud.CloudClient;
import org.landingridge.controller.election.ElectionSettings;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.history.History;
import org.landingridge.controller.history.SegmentAddress;
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
import org.landingridge.controller.progress.CompletionStore;
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
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;

/** One controller process: the components that every controller runs, and the leader term while this controller leads. */
public final class Controller implements Leadership.Listener {
    /** Time without an answer from the state service after which this controller is not ready. */
    private static final long READY_MS = 4_000;
    /** Time after the start at which the process accepts connections even if it has not read the state yet. */
    private static final long OPEN_MS = 2_000;
    /** Delays the announcement of capabilities after a start: workers' leases and users' changes are more urgent. */
    private static final long ANNOUNCE_MS = 6_000;
    /** Share of the state service's write rate that the leader's documents may use. */
    private static final double WRITER_SHARE = 0.5;
    /** Number of announcements that a new leader makes within {@link LeaderView}'s limit for its first message. */
    private static final int FIRST_ANNOUNCEMENTS = 4;

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
    private final LeaderDocuments documents;
    private final HeartbeatForwarder forwarder;
    private final LeaderView leaderView;
    private final HeartbeatReceiver heartbeats;
    private final RunningCountsExchange runningCounts;
    private final RequestRouter requests;
    /** Null while this controller does not lead. */
    private LeaderTerm leaderTerm;

    private boolean probing;

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
        // Watches more keys than it reads at the start: the changes of the history too.
        String watched = Keys.ROOT.substring(0, Keys.ROOT.length() - 1);
        watchCache = new WatchCache(client, loop, Keys.ROOT, watched, pause, metrics.busy, new WatchListener());
        table = new JobTable(loop::now, id -> watchCache.forget(Keys.JOBS + id));
        history = new History(client, watchCache, metrics);
        documents = new LeaderDocuments(loop);
        List<String> others = settings.peers().stream().map(Settings.Peer::host).toList();
        capabilities = new Capabilities(client, watchCache, loop, settings.host(), others);
        forwarder = new HeartbeatForwarder(loop, peers, random, settings.host(), maxWaitingHeartbeats());
        long holdMs = Math.round(policy.leaderHoldS() * 1000);
        StoreAccess store = new StoreAccess(client, watchCache, loop);
        PeerGroup group = new PeerGroup(settings.host(), others, peers);
        long freshnessMs = ElectionSettings.freshnessMs(
                settings.workers().cancelS(), settings.workers().leaseS(), holdMs);
        ElectionSettings election = new ElectionSettings(Keys.LEADER, holdMs, freshnessMs);
        lead = new Leadership(store, random, group, election, table.endings(), this);
        BatchWriter writer = new BatchWriter(
                store, settings.stateLimits(), WRITER_SHARE, Keys.LEADER, lead::writeGuard, metrics.busy);
        cloud = new CloudClient(
                http, loop, settings.cloud(), settings.cloudLimits().rps());
        JobLookup lookup = new JobLookup(client, watchCache, table, history);
        configuration = new ConfigurationView(settings.teams());
        configurations = new ConfigurationService(
                client, watchCache, loop, configuration, settings.host(), settings.stateLimits());
        jobs = new JobService(
                new JobService.Dependencies(client, watchCache, loop, table, lookup, metrics),
                configuration,
                settings,
                types,
                () -> capabilities.all(Capabilities.Feature.PIPELINES));
        parts = new LeaderContext(
                new LeaderContext.Environment(loop, http, random),
                new LeaderContext.Configured(settings, policy),
                new LeaderContext.Store(client, watchCache, writer),
                lead,
                new LeaderContext.Cloud(cloud, types),
                new LeaderContext.Jobs(table, history, lookup),
                capabilities,
                configuration,
                new LeaderContext.Observability(metrics, incidents, eventLog));
        leaderView = new LeaderView(loop, lead, watchCache, forwarder, settings.host());
        heartbeats = new HeartbeatReceiver(
                loop, lead, leaderView, forwarder, () -> leaderTerm, metrics, maxWaitingHeartbeats());
        runningCounts =
                new RunningCountsExchange(() -> leaderTerm, table, jobs, writer, peers, settings.host(), others);
        requests = new RequestRouter(heartbeats, jobs, configurations, metrics, this::ready, this::status);
    }

    /** Returns the log of this controller's structured events. */
    public EventLog eventLog() {
        return eventLog;
    }

    /**
     * Starts this controller.
     *
     * @param open starts to accept connections of users and workers; called once their requests can be served
     */
    public void start(Runnable open) {
        watchCache.start();
        lead.start();
        refreshTypes();
        probe();
        announceEverySecond();
        logActivity();
        open(open, loop.now() + OPEN_MS);
    }

    /**
     * Accepts connections once the state has been read, a leader's message has arrived or the time {@code latest} has come.
     * After a crash of all controllers hundreds of workers try to connect while the state is being read; to refuse each
     * request costs more than a closed port, and delays the election.
     */
    private void open(Runnable open, long latest) {
        if (watchCache.following() || forwarder.heard() != null || loop.now() >= latest) {
            open.run();
            lead.consider();
            loop.after(ANNOUNCE_MS, capabilities::announce);
        } else {
            loop.after(20, () -> open(open, latest));
        }
    }

    /** Handles a message of another controller. */
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
            runningCountsReceived(m);
        } else if (message instanceof PeerMessage.ForwardedHeartbeat m) {
            forwardedHeartbeatReceived(m);
        } else if (message instanceof PeerMessage.Answer m) {
            forwarder.answered(m);
        }
    }

    private void runningCountsReceived(PeerMessage.RunningCounts message) {
        // A delayed message of an earlier leader must not replace the current leader, whose messages arrive.
        if (!leaderView.otherIsHeard(message.host())) {
            forwarder.heard(message.host());
            jobs.leaderHeard(message.writesStarved());
            metrics.busy.during(Part.STATUS, () -> runningCounts.show(message.counts()));
        }
    }

    private void forwardedHeartbeatReceived(PeerMessage.ForwardedHeartbeat message) {
        Http.Exchange exchange = forwarder.carried(message);
        if (leaderTerm != null && lead.mayAct()) {
            metrics.busy.during(Part.FORWARDED_HEARTBEATS, () -> heartbeats.receive(exchange));
        } else {
            exchange.answer(503, new byte[0]);
        }
    }

    private void announceEverySecond() {
        if (leaderTerm != null && lead.mayAct()) {
            metrics.busy.during(Part.STATUS, runningCounts::announce);
        }
        loop.after(1_000, this::announceEverySecond);
    }

    private void logActivity() {
        metrics.busy.log();
        loop.after(10_000, this::logActivity);
    }

    /** Passes each change from the watch to the component that holds this kind of key. */
    private final class WatchListener implements WatchCache.Listener {
        @Override
        public void changed(String key, JsonNode value, long version) {
            if (key.startsWith(Keys.JOBS)) {
                table.changed(key.substring(Keys.JOBS.length()), value, version);
            } else if (key.startsWith(SegmentAddress.ROOT)) {
                history.changed(key, value, version);
            } else if (key.startsWith(Capabilities.ROOT)) {
                capabilities.changed(key, value);
            } else if (key.startsWith(ConfigurationView.ROOT)) {
                configurationChanged(key, value);
            } else if (key.equals(Keys.LEADER)) {
                String before = lead.leaderHost();
                lead.keyChanged(value, version);
                leaderView.leaderKeyChanged(before);
            } else if (key.equals(Keys.LEADER_LAST)) {
                lead.lastLeaderChanged(value);
            } else {
                leaderDocumentChanged(key, value);
            }
        }

        @Override
        public void lost() {
            history.reset();
        }
    }

    private void configurationChanged(String key, JsonNode value) {
        configuration.changed(key, value);
        if (leaderTerm != null) {
            leaderTerm.changed();
        }
    }

    private void leaderDocumentChanged(String key, JsonNode value) {
        documents.changed(key, value);
        if (key.startsWith(Keys.ROOT + CompletionStore.PREFIX)) {
            CompletionStore.read(value, table);
        }
    }

    @Override
    public void elected(long token) {
        if (types.isEmpty()) {
            // A leader term needs the machine types to decide on machines; waits for the cloud's answer.
            loop.after(200, () -> {
                if (lead.leads() && lead.token() == token) {
                    elected(token);
                }
            });
            return;
        }
        leaderTerm = new LeaderTerm(parts, documents.values(), documents.seenAt());
        table.listener(leaderTerm);
        announceOften();
        heartbeats.releaseParked();
    }

    /** Announces the new leader early and often: from its first message on the others forward heartbeats to it, not redirect. */
    private void announceOften() {
        long pause = LeaderView.HEARD_WITHIN_MS / FIRST_ANNOUNCEMENTS;
        for (long at = 0; at < LeaderView.HEARD_WITHIN_MS; at += pause) {
            loop.after(at, () -> {
                if (leaderTerm != null && lead.mayAct()) {
                    runningCounts.announce();
                }
            });
        }
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

    /** Sends a request to the state service if the watch has had no answer recently: readiness depends on the last answer. */
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
        requests.serve(exchange);
    }

    /** Each waiting heartbeat holds a connection; at most half of the connections may be held in this way. */
    private int maxWaitingHeartbeats() {
        return settings.machine().maxConnections() / 2;
    }

    private byte[] status() {
        ObjectNode status = Json.object();
        status.put("host", settings.host())
                .put("leadership", lead.state().name())
                .put("leader", lead.leaderHost())
                .put("token", lead.leads() ? lead.token() : 0)
                .put("configuration", configuration.current().number())
                .put("ready", ready())
                .put("revision", watchCache.revision())
                .put("jobs", table.size())
                .put("activeJobs", table.active().size());
        if (leaderTerm != null) {
            leaderTerm.describe(status);
        }
        incidents.write(status.putArray("incidents"));
        return Json.bytes(status);
    }
}
