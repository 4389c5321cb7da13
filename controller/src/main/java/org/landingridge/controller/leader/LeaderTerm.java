package org.landingridge.controller.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.fleet.ActiveJob;
import org.landingridge.controller.fleet.Attempt;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.FleetParameters;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.fleet.MachineRegistry;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.history.Compactor;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.observability.ActivityTimer.Part;
import org.landingridge.controller.progress.CancellationWriter;
import org.landingridge.controller.progress.CompletionStore;
import org.landingridge.controller.recovery.ObservationWindow;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.Keys;
import org.landingridge.net.EventLoop;
import org.landingridge.net.GuardedTask;
import org.landingridge.net.Http;
import org.landingridge.net.PeriodicTask;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state and the components of one leader term. They are rebuilt from the state service and from heartbeats after each
 * election, and discarded together when the leadership ends.
 */
public final class LeaderTerm implements JobTable.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private static final long TICK_INTERVAL_MS = 500;
    /** Longest wait of a new leader before it scales out, beyond the assumed heartbeat interval, in milliseconds. */
    private static final long OBSERVATION_MARGIN_MS = 1_500;
    /** Assumed heartbeat interval in milliseconds per configured second; a quarter longer, since heartbeats can be late. */
    private static final double ASSUMED_HEARTBEAT_MS_PER_S = 1250;

    private final LeaderContext context;
    private final EventLoop loop;
    private final Leadership leadership;
    private final BatchWriter writer;
    private final Settings settings;
    private final JobTable jobTable;
    private final SchedulingTrigger trigger;
    private final RuntimeForecast forecast;
    private final Fleet fleet;
    private final MachineRegistry machineRegistry;
    private final CompletionStore completionStore;
    private final CancellationWriter cancellationWriter;
    private final Operations operations;
    private final Compactor compactor;
    private final ObservationWindow observationWindow;
    private final FailoverProgress failoverProgress;
    private final SchedulingCycle schedulingCycle;
    private final InstanceReconciler instanceReconciler;
    private final LeaderStatus leaderStatus;
    private final PeriodicTask timer;

    /**
     * Loads the stored documents and starts the term.
     *
     * @param documents   the documents that earlier leaders stored, by key
     * @param seenAt when this process first saw the current version of each document, by key and the event loop's clock
     */
    public LeaderTerm(LeaderContext context, Map<String, JsonNode> documents, Map<String, Long> seenAt) {
        this.context = context;
        this.loop = context.loop();
        this.leadership = context.leadership();
        this.writer = context.writer();
        this.settings = context.settings();
        this.jobTable = context.jobTable();
        trigger = new SchedulingTrigger(loop, this::visitCount, guarded("scheduling cycle", this::schedule));
        timer = new PeriodicTask(loop, "leader term's timer", TICK_INTERVAL_MS, this::tick, leadership::resign);
        forecast = new RuntimeForecast(settings.objectives(), context.policy());
        fleet = createFleet();
        context.metrics().takeovers.increment();
        context.incidents().record("this controller became the leader, fencing token " + leadership.token());
        int valueBytes = settings.stateLimits().valueBytes();
        machineRegistry = new MachineRegistry(Keys.ROOT, writer, fleet, valueBytes);
        completionStore =
                new CompletionStore(Keys.ROOT, Keys.JOBS, writer, valueBytes, new CompletionEvents(context, fleet));
        cancellationWriter = new CancellationWriter(writer, jobTable);
        PoolCapacity poolCapacity = new PoolCapacity(loop);
        ListedMachines listedMachines = new ListedMachines();
        OperationEvents operationEvents =
                new OperationEvents(context, fleet, machineRegistry, poolCapacity, listedMachines, trigger);
        operations = createOperations(operationEvents);
        new StoredDocumentLoader(context, fleet, machineRegistry, completionStore, operations).load(documents, seenAt);
        compactor = createCompactor();
        observationWindow = createObservationWindow();
        failoverProgress = new FailoverProgress(fleet, observationWindow, context.eventLog(), loop.now());
        schedulingCycle = new SchedulingCycle(context, fleet, operations, forecast, poolCapacity, observationWindow);
        instanceReconciler = new InstanceReconciler(
                context,
                fleet,
                operations,
                listedMachines,
                operationEvents::machinesReturned,
                observationWindow::recordMachineList);
        leaderStatus = new LeaderStatus(fleet, operations, failoverProgress);
        reportStart();
        start();
    }

    private void start() {
        fleet.start();
        compactor.start();
        timer.start();
    }

    private GuardedTask guarded(String name, Runnable task) {
        return new GuardedTask(name, task, leadership::resign);
    }

    private Fleet createFleet() {
        return new Fleet(
                new FleetParameters(
                        loop,
                        context.http(),
                        leadership,
                        settings.workers(),
                        context.machineTypes()::get,
                        this::specOrNull,
                        context.policy(),
                        settings.machine().maxConnections(),
                        context.metrics(),
                        context.incidents(),
                        context.eventLog()),
                new FleetEvents());
    }

    private JobSpec specOrNull(String jobId) {
        Job job = jobTable.get(jobId);
        return job == null ? null : job.spec();
    }

    private Operations createOperations(Operations.Events events) {
        Operations.TermParameters scope = new Operations.TermParameters(
                Keys.ROOT,
                leadership.token(),
                context.policy().queryLimitS(),
                settings.stateLimits().valueBytes());
        return new Operations(loop, context.random(), context.cloudClient(), writer, scope, events);
    }

    private Compactor createCompactor() {
        return new Compactor(
                new Compactor.Dependencies(
                        context.stateClient(),
                        context.watchCache(),
                        loop,
                        jobTable,
                        context.history(),
                        context.capabilities(),
                        context.metrics()),
                new CompactionOwner(context, fleet),
                leadership::writeGuard,
                settings.stateLimits(),
                context.policy().historyShare());
    }

    private ObservationWindow createObservationWindow() {
        long heartbeatMs = Math.round(settings.workers().reportS() * ASSUMED_HEARTBEAT_MS_PER_S);
        return new ObservationWindow(loop.now(), heartbeatMs + OBSERVATION_MARGIN_MS);
    }

    private void reportStart() {
        int activeJobs = jobTable.activeJobs().size();
        LOG.info("leader term began, token={} jobs={} machines={}", leadership.token(), activeJobs, fleet.size());
        context.eventLog()
                .emit(
                        "elected",
                        "token",
                        leadership.token(),
                        "jobs",
                        activeJobs,
                        "machines",
                        fleet.size(),
                        "asked",
                        fleet.unverified());
    }

    /** Ends the term. Nothing more is written or sent on its behalf. */
    public void close() {
        timer.stop();
        trigger.close();
        compactor.close();
        instanceReconciler.close();
        fleet.close();
        operations.close();
        writer.reset();
    }

    /** Processes a worker's heartbeat. The exchange may be answered after this method has returned. */
    public void handleHeartbeat(Heartbeat heartbeat, Http.Exchange exchange) {
        fleet.receiveHeartbeat(heartbeat, exchange);
    }

    /** Requests a scheduling cycle after a change that affects scheduling. */
    public void requestSchedulingCycle() {
        trigger.requestCycle();
    }

    /** Returns the number of running tasks by job id, according to the latest heartbeats. */
    public Map<String, Integer> runningTasksByJob() {
        return leaderStatus.runningTasksByJob();
    }

    /** Adds the leader's part of {@code /api/status} to the node. */
    public void describe(ObjectNode node) {
        leaderStatus.describe(node, loop.now());
    }

    @Override
    public void jobAccepted(Job job) {
        compactor.recordUserWrite();
        fleet.jobAccepted(job);
    }

    @Override
    public void jobEnded(Job job) {
        compactor.recordUserWrite();
        forecast.recordJobEnded(job.id());
        ActiveJob activeJob = fleet.job(job.id());
        if (activeJob != null) {
            completionStore.dropChunks(activeJob);
        }
        fleet.jobEnded(job);
        cancellationWriter.markUnpersisted();
    }

    @Override
    public void jobReady(Job job) {
        trigger.requestCycle();
    }

    /** Returns the number of machines and jobs that a scheduling cycle visits. */
    private int visitCount() {
        return fleet.size() + jobTable.activeJobs().size();
    }

    private void schedule() {
        context.metrics().busy.during(Part.SCHEDULING, schedulingCycle::run);
        failoverProgress.update(loop.now());
    }

    private void tick() {
        if (leadership.mayAct()) {
            instanceReconciler.returnUnusableMachines(loop.now());
            instanceReconciler.requestList();
            context.jobLookup().resolveAwaitedJobs();
            cancellationWriter.markUnpersisted();
            trigger.requestCycle();
        }
    }

    /** Forwards events of the fleet. An inner class, since the fleet is created before the components that handle them. */
    private final class FleetEvents implements Fleet.Events {
        @Override
        public void changed() {
            trigger.requestCycle();
        }

        @Override
        public void taskFinished(Task task) {
            completionStore.recordFinished(task);
        }

        @Override
        public void attemptCompleted(Attempt attempt) {
            if (attempt.runningSince() > 0) {
                forecast.recordCompletedTask(attempt.spec(), (loop.now() - attempt.runningSince()) / 1000.0);
            }
        }

        @Override
        public void registryRowChanged(Machine machine) {
            machineRegistry.add(machine);
        }

        @Override
        public void unknownMachineReported() {
            observationWindow.recordUnknownMachine(loop.now());
        }

        @Override
        public void unreadablePagesExpired() {
            machineRegistry.dropUnreadable();
        }
    }
}
