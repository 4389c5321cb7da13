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
import org.landingridge.net.Http;
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
    private static final long TICK_MS = 500;
    /** Longest wait of a new leader before it scales out, beyond the assumed heartbeat interval, in milliseconds. */
    private static final long OBSERVATION_MARGIN_MS = 1_500;
    /** Assumed heartbeat interval in milliseconds per configured second; a quarter longer, since heartbeats can be late. */
    private static final double HEARTBEAT_MS_PER_S = 1250;

    private final LeaderContext context;
    private final EventLoop loop;
    private final Leadership lead;
    private final BatchWriter writer;
    private final Settings settings;
    private final JobTable table;
    private final SchedulingTrigger trigger;
    private final RuntimeForecast forecast;
    private final Fleet fleet;
    private final MachineRegistry registry;
    private final CompletionStore progress;
    private final CancellationWriter cancellations;
    private final Operations operations;
    private final Compactor compactor;
    private final ObservationWindow observationWindow;
    private final FailoverProgress failover;
    private final SchedulingCycle cycle;
    private final InstanceReconciler reconciler;
    private final LeaderStatus status;
    private boolean closed;

    /**
     * Loads the stored documents and starts the term.
     *
     * @param stored the documents that earlier leaders stored, by key
     * @param seenAt when this process first saw the current version of each document, by key and the event loop's clock
     */
    public LeaderTerm(LeaderContext context, Map<String, JsonNode> stored, Map<String, Long> seenAt) {
        this.context = context;
        this.loop = context.loop();
        this.lead = context.lead();
        this.writer = context.writer();
        this.settings = context.settings();
        this.table = context.table();
        trigger = new SchedulingTrigger(loop, this::visits, this::schedule);
        forecast = new RuntimeForecast(settings.objectives(), context.policy());
        fleet = createFleet();
        context.metrics().takeovers.increment();
        context.incidents().record("this controller took the lead under token " + lead.token());
        int valueBytes = settings.stateLimits().valueBytes();
        registry = new MachineRegistry(Keys.ROOT, writer, fleet, valueBytes);
        progress = new CompletionStore(Keys.ROOT, Keys.JOBS, writer, valueBytes, new ProgressEvents(context, fleet));
        cancellations = new CancellationWriter(writer, table);
        PoolCapacity capacity = new PoolCapacity(loop);
        ListedMachines listedMachines = new ListedMachines();
        OperationEvents operationEvents =
                new OperationEvents(context, fleet, registry, capacity, listedMachines, trigger);
        operations = createOperations(operationEvents);
        new StoredDocumentLoader(context, fleet, registry, progress, operations).load(stored, seenAt);
        compactor = createCompactor();
        observationWindow = createObservationWindow();
        failover = new FailoverProgress(fleet, observationWindow, context.eventLog(), loop.now());
        cycle = new SchedulingCycle(context, fleet, operations, forecast, capacity, observationWindow);
        reconciler = new InstanceReconciler(
                context, fleet, operations, listedMachines, operationEvents::returned, observationWindow::listed);
        status = new LeaderStatus(fleet, operations, failover);
        announce();
        fleet.start();
        compactor.start();
        tick();
    }

    private Fleet createFleet() {
        return new Fleet(
                new FleetParameters(
                        loop,
                        context.http(),
                        lead,
                        settings.workers(),
                        context.types()::get,
                        this::knownSpec,
                        context.policy(),
                        settings.machine().maxConnections(),
                        context.metrics(),
                        context.incidents(),
                        context.eventLog()),
                new FleetEvents());
    }

    private JobSpec knownSpec(String jobId) {
        Job job = table.get(jobId);
        return job == null ? null : job.spec();
    }

    private Operations createOperations(Operations.Events events) {
        Operations.Scope scope = new Operations.Scope(
                Keys.ROOT,
                lead.token(),
                context.policy().queryLimitS(),
                settings.stateLimits().valueBytes());
        return new Operations(loop, context.random(), context.cloud(), writer, scope, events);
    }

    private Compactor createCompactor() {
        return new Compactor(
                new Compactor.Dependencies(
                        context.client(),
                        context.watchCache(),
                        loop,
                        table,
                        context.history(),
                        context.capabilities(),
                        context.metrics()),
                new CompactionOwner(context, fleet),
                lead::writeGuard,
                settings.stateLimits(),
                context.policy().historyShare());
    }

    private ObservationWindow createObservationWindow() {
        long heartbeatMs = Math.round(settings.workers().reportS() * HEARTBEAT_MS_PER_S);
        return new ObservationWindow(loop.now(), heartbeatMs + OBSERVATION_MARGIN_MS);
    }

    private void announce() {
        int jobs = table.active().size();
        LOG.info("leader term began, token={} jobs={} machines={}", lead.token(), jobs, fleet.size());
        context.eventLog()
                .emit(
                        "elected",
                        "token",
                        lead.token(),
                        "jobs",
                        jobs,
                        "machines",
                        fleet.size(),
                        "asked",
                        fleet.unaccounted());
    }

    /** Ends the term. Nothing more is written or sent on its behalf. */
    public void close() {
        closed = true;
        trigger.close();
        compactor.close();
        reconciler.close();
        fleet.close();
        operations.close();
        writer.clear();
    }

    /** Processes a worker's heartbeat. The exchange may be answered after this method has returned. */
    public void report(Heartbeat heartbeat, Http.Exchange exchange) {
        fleet.report(heartbeat, exchange);
    }

    /** Requests a scheduling cycle after a change that affects scheduling. */
    public void changed() {
        trigger.changed();
    }

    /** Returns the number of running tasks by job id, according to the latest heartbeats. */
    public Map<String, Integer> running() {
        return status.running();
    }

    /** Adds the leader's part of {@code /api/status} to the node. */
    public void describe(ObjectNode node) {
        status.describe(node, loop.now());
    }

    @Override
    public void jobAccepted(Job job) {
        compactor.noted();
        fleet.jobAccepted(job);
    }

    @Override
    public void jobEnded(Job job) {
        compactor.noted();
        forecast.ended(job.id());
        ActiveJob active = fleet.job(job.id());
        if (active != null) {
            progress.ended(active);
        }
        fleet.jobEnded(job);
        cancellations.write();
    }

    @Override
    public void jobReady(Job job) {
        trigger.changed();
    }

    /** Returns the number of machines and jobs that a scheduling cycle visits. */
    private int visits() {
        return fleet.size() + table.active().size();
    }

    private void schedule() {
        context.metrics().busy.during(Part.SCHEDULING, cycle::run);
        failover.update(loop.now());
    }

    private void tick() {
        if (closed) {
            return;
        }
        if (lead.mayAct()) {
            reconciler.returnUseless(loop.now());
            reconciler.list();
            context.lookup().resolveAll();
            cancellations.write();
            trigger.changed();
        }
        loop.after(TICK_MS, this::tick);
    }

    /** Forwards events of the fleet. An inner class, since the fleet is created before the components that handle them. */
    private final class FleetEvents implements Fleet.Events {
        @Override
        public void changed() {
            trigger.changed();
        }

        @Override
        public void finished(Task task) {
            progress.finished(task);
        }

        @Override
        public void completed(Attempt attempt) {
            if (attempt.runningSince() > 0) {
                forecast.completed(attempt.spec(), (loop.now() - attempt.runningSince()) / 1000.0);
            }
        }

        @Override
        public void registry(Machine machine) {
            registry.add(machine);
        }

        @Override
        public void newcomer() {
            observationWindow.newcomer(loop.now());
        }

        @Override
        public void unreadableOver() {
            registry.dropUnreadable();
        }
    }
}
