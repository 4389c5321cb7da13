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
    private static final long READINESS_TIMEOUT_MS = 4_000;
    /** Time after the start at which the process accepts connections even if it has not read the state yet. */
    private static final long MAX_OPEN_DELAY_MS = 2_000;
    /** Delays the announcement of capabilities after a start: workers' leases and users' changes are more urgent. */
    private static final long CAPABILITIES_DELAY_MS = 6_000;
    /** Share of the state service's write rate that the leader's documents may use. */
    private static final double DOCUMENT_WRITE_SHARE = 0.5;
    /** Number of announcements that a new leader makes within {@link LeaderView}'s limit for its first message. */
    private static final int INITIAL_ANNOUNCEMENTS = 4;

    private final EventLoop loop;
    private final Settings settings;
    private final WatchCache watchCache;
    private final JobTable jobTable;
    private final History history;
    private final Capabilities capabilities;
    private final Metrics metrics;
    private final IncidentReport incidents;
    private final EventLog eventLog;
    private final JobService jobService;
    private final ConfigurationView configurationView;
    private final ConfigurationService configurationService;
    private final Leadership leadership;
    private final CloudClient cloudClient;
    private final LeaderContext leaderContext;
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    private final LeaderDocuments leaderDocuments;
    private final HeartbeatForwarder forwarder;
    private final LeaderView leaderView;
    private final HeartbeatReceiver heartbeatReceiver;
    private final RunningCountsExchange runningCounts;
    private final RequestRouter requestRouter;
    /** Null while this controller does not lead. */
    private LeaderTerm leaderTerm;

    private boolean probePending;

    public Controller(
            EventLoop loop,
            Http http,
            PeerTransport transport,
            RandomGenerator random,
            Settings settings,
            Policy policy) {
        this.loop = loop;
        this.settings = settings;
        this.incidents = new IncidentReport(loop);
        this.eventLog = new EventLog(loop);
        this.metrics = new Metrics(loop::nanos);
        StateClient stateClient = new StateClient(http, settings.state());
        int controllerCount = settings.peers().size() + 1;
        // A third of the requests go to watches and a third to barriers; the rest is for renewals and writes.
        long watchPauseMs = Math.max(
                20,
                Math.round(1000 * 3.0 * controllerCount / settings.stateLimits().rps()));
        // Watches more keys than it reads at the start: the changes of the history too.
        String watchedPrefix = Keys.ROOT.substring(0, Keys.ROOT.length() - 1);
        watchCache = new WatchCache(
                stateClient, loop, Keys.ROOT, watchedPrefix, watchPauseMs, metrics.busy, new WatchListener());
        jobTable = new JobTable(loop::now, id -> watchCache.forget(Keys.JOBS + id));
        history = new History(stateClient, watchCache, metrics);
        leaderDocuments = new LeaderDocuments(loop);
        List<String> others = settings.peers().stream().map(Settings.Peer::host).toList();
        capabilities = new Capabilities(stateClient, watchCache, loop, settings.host(), others);
        forwarder = new HeartbeatForwarder(loop, transport, random, settings.host(), maxWaitingHeartbeats());
        long holdMs = Math.round(policy.leaderHoldS() * 1000);
        StoreAccess storeAccess = new StoreAccess(stateClient, watchCache, loop);
        PeerGroup peerGroup = new PeerGroup(settings.host(), others, transport);
        long freshnessMs = ElectionSettings.freshnessLimitMs(
                settings.workers().cancelS(), settings.workers().leaseS(), holdMs);
        ElectionSettings electionSettings = new ElectionSettings(Keys.LEADER, holdMs, freshnessMs);
        leadership = new Leadership(storeAccess, random, peerGroup, electionSettings, jobTable.cancellations(), this);
        BatchWriter writer = new BatchWriter(
                storeAccess,
                settings.stateLimits(),
                DOCUMENT_WRITE_SHARE,
                Keys.LEADER,
                leadership::writeGuard,
                metrics.busy);
        cloudClient = new CloudClient(
                http, loop, settings.cloud(), settings.cloudLimits().rps());
        JobLookup jobLookup = new JobLookup(stateClient, watchCache, jobTable, history);
        configurationView = new ConfigurationView(settings.teams());
        configurationService = new ConfigurationService(
                stateClient, watchCache, loop, configurationView, settings.host(), settings.stateLimits());
        jobService = new JobService(
                new JobService.Dependencies(stateClient, watchCache, loop, jobTable, jobLookup, metrics),
                configurationView,
                settings,
                machineTypes,
                () -> capabilities.isSupportedByAll(Capabilities.Feature.PIPELINES));
        leaderContext = new LeaderContext(
                new LeaderContext.Environment(loop, http, random),
                new LeaderContext.StartupConfiguration(settings, policy),
                new LeaderContext.StateServiceAccess(stateClient, watchCache, writer),
                leadership,
                new LeaderContext.CloudAccess(cloudClient, machineTypes),
                new LeaderContext.Jobs(jobTable, history, jobLookup),
                capabilities,
                configurationView,
                new LeaderContext.Observability(metrics, incidents, eventLog));
        leaderView = new LeaderView(loop, leadership, watchCache, forwarder, settings.host());
        heartbeatReceiver = new HeartbeatReceiver(
                loop, leadership, leaderView, forwarder, () -> leaderTerm, metrics, maxWaitingHeartbeats());
        runningCounts = new RunningCountsExchange(
                () -> leaderTerm, jobTable, jobService, writer, transport, settings.host(), others);
        requestRouter = new RequestRouter(
                heartbeatReceiver, jobService, configurationService, metrics, this::isReady, this::status);
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
        leadership.start();
        refreshMachineTypes();
        probeStateService();
        announceEverySecond();
        logActivity();
        openWhenInformed(open, loop.now() + MAX_OPEN_DELAY_MS);
    }

    /**
     * Accepts connections once the state has been read, a leader's message has arrived, or the time {@code latestOpenAt} has
     * come. After a crash of all controllers hundreds of workers try to connect while the state is being read; to refuse each
     * request costs more than a closed port, and delays the election.
     */
    private void openWhenInformed(Runnable open, long latestOpenAt) {
        if (watchCache.isFollowing() || forwarder.reachableLeader() != null || loop.now() >= latestOpenAt) {
            open.run();
            leadership.claimIfPossible();
            loop.after(CAPABILITIES_DELAY_MS, capabilities::announce);
        } else {
            loop.after(20, () -> openWhenInformed(open, latestOpenAt));
        }
    }

    /** Handles a message of another controller. */
    public void handleMessage(PeerMessage message) {
        if (message instanceof PeerMessage.PromiseRequest ask) {
            leadership.answerPromiseRequest(ask);
        } else if (message instanceof PeerMessage.Promise grant) {
            leadership.applyPromise(grant);
        } else if (message instanceof PeerMessage.PromiseRefusal refusal) {
            leadership.handleRefusal(refusal);
        } else if (message instanceof PeerMessage.HandOver handOver) {
            leadership.handleHandOver(handOver);
        } else if (message instanceof PeerMessage.RunningCounts counts) {
            receiveRunningCounts(counts);
        } else if (message instanceof PeerMessage.ForwardedHeartbeat heartbeat) {
            receiveForwardedHeartbeat(heartbeat);
        } else if (message instanceof PeerMessage.HeartbeatAnswer answer) {
            forwarder.receiveAnswer(answer);
        }
    }

    private void receiveRunningCounts(PeerMessage.RunningCounts message) {
        // A delayed message of an earlier leader must not replace the current leader, whose messages arrive.
        if (!leaderView.hasReachableLeaderOtherThan(message.sender())) {
            forwarder.recordLeaderMessage(message.sender());
            jobService.handleLeaderHeartbeat(message.writesStarved());
            metrics.busy.during(Part.STATUS, () -> runningCounts.receive(message));
        }
    }

    private void receiveForwardedHeartbeat(PeerMessage.ForwardedHeartbeat message) {
        Http.Exchange exchange = forwarder.exchangeFor(message);
        if (leaderTerm != null && leadership.mayAct()) {
            metrics.busy.during(Part.FORWARDED_HEARTBEATS, () -> heartbeatReceiver.receive(exchange));
        } else {
            exchange.answer(503, new byte[0]);
        }
    }

    private void announceEverySecond() {
        if (leaderTerm != null && leadership.mayAct()) {
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
                jobTable.keyChanged(key.substring(Keys.JOBS.length()), value, version);
            } else if (key.startsWith(SegmentAddress.ROOT)) {
                history.segmentChanged(key, value, version);
            } else if (key.startsWith(Capabilities.ROOT)) {
                capabilities.announcementChanged(key, value);
            } else if (key.startsWith(ConfigurationView.ROOT)) {
                configurationChanged(key, value);
            } else if (key.equals(Keys.LEADER)) {
                String previousLeader = leadership.leaderHost();
                leadership.leaderKeyChanged(value, version);
                leaderView.leaderKeyChanged(previousLeader);
            } else if (key.equals(Keys.LAST_LEADER)) {
                leadership.lastLeaderChanged(value);
            } else {
                leaderDocumentChanged(key, value);
            }
        }

        @Override
        public void changesMissed() {
            history.reset();
        }
    }

    private void configurationChanged(String key, JsonNode value) {
        configurationView.documentChanged(key, value);
        if (leaderTerm != null) {
            leaderTerm.requestSchedulingCycle();
        }
    }

    private void leaderDocumentChanged(String key, JsonNode value) {
        leaderDocuments.update(key, value);
        if (key.startsWith(Keys.ROOT + CompletionStore.PREFIX)) {
            CompletionStore.markFinishedTasks(value, jobTable);
        }
    }

    @Override
    public void elected(long token) {
        if (machineTypes.isEmpty()) {
            // A leader term needs the machine types to decide on machines; waits for the cloud's answer.
            loop.after(200, () -> {
                if (leadership.leads() && leadership.token() == token) {
                    elected(token);
                }
            });
            return;
        }
        leaderTerm = new LeaderTerm(leaderContext, leaderDocuments.valuesByKey(), leaderDocuments.receivedAtByKey());
        jobTable.setListener(leaderTerm);
        announceNewLeader();
        heartbeatReceiver.releaseParked();
    }

    /**
     * Announces the new leader several times, as messages may be lost: the other controllers redirect workers to it until its
     * first message arrives, and forward heartbeats from then on.
     */
    private void announceNewLeader() {
        long intervalMs = LeaderView.FIRST_MESSAGE_TIMEOUT_MS / INITIAL_ANNOUNCEMENTS;
        for (long delayMs = 0; delayMs < LeaderView.FIRST_MESSAGE_TIMEOUT_MS; delayMs += intervalMs) {
            loop.after(delayMs, () -> {
                if (leaderTerm != null && leadership.mayAct()) {
                    runningCounts.announce();
                }
            });
        }
    }

    @Override
    public void leadershipEnded() {
        incidents.record("this controller no longer leads");
        jobTable.setListener(null);
        if (leaderTerm != null) {
            leaderTerm.close();
            leaderTerm = null;
        }
    }

    @Override
    public void cancellationReported(String job, long revision) {
        jobTable.cancellationReported(job, revision);
    }

    private void refreshMachineTypes() {
        cloudClient.readMachineTypes(listed -> {
            if (listed != null && !listed.isEmpty()) {
                machineTypes.clear();
                listed.forEach(type -> machineTypes.put(type.name(), type));
            }
            loop.after(machineTypes.isEmpty() ? 500 : 60_000, this::refreshMachineTypes);
        });
    }

    /** Sends a request to the state service if the watch has had no answer recently: readiness depends on the last answer. */
    private void probeStateService() {
        if (!probePending
                && watchCache.isFollowing()
                && loop.now() - watchCache.lastAnswerAt() > READINESS_TIMEOUT_MS / 4) {
            probePending = true;
            watchCache.readBarrier(() -> probePending = false, () -> probePending = false);
        }
        loop.after(READINESS_TIMEOUT_MS / 4, this::probeStateService);
    }

    private boolean isReady() {
        return watchCache.isFollowing()
                && !machineTypes.isEmpty()
                && loop.now() - watchCache.lastAnswerAt() < READINESS_TIMEOUT_MS;
    }

    /** Serves one request of a user, a worker or the load balancer. */
    public void serve(Http.Exchange exchange) {
        requestRouter.serve(exchange);
    }

    /** Each waiting heartbeat holds a connection; at most half of the connections may be held in this way. */
    private int maxWaitingHeartbeats() {
        return settings.machine().maxConnections() / 2;
    }

    private byte[] status() {
        ObjectNode status = Json.object();
        status.put("host", settings.host())
                .put("leadership", leadership.state().name())
                .put("leader", leadership.leaderHost())
                .put("token", leadership.leads() ? leadership.token() : 0)
                .put("configuration", configurationView.current().number())
                .put("ready", isReady())
                .put("revision", watchCache.revision())
                .put("jobs", jobTable.size())
                .put("activeJobs", jobTable.activeJobs().size());
        if (leaderTerm != null) {
            leaderTerm.describe(status);
        }
        incidents.write(status.putArray("incidents"));
        return Json.bytes(status);
    }
}
