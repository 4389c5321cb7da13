package org.landingridge.controller.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.cloud.Operation;
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
import org.landingridge.controller.progress.Cancellations;
import org.landingridge.controller.progress.Progress;
import org.landingridge.controller.recovery.ObservationWindow;
import org.landingridge.controller.scheduling.Scheduler;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.Keys;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One time in the lead: everything that the leader knows and does, built anew from the state service and from reports
 * at each election and dropped whole when the lead ends.
 */
public final class LeaderTerm
        implements Fleet.Events, Operations.Events, Progress.Events, JobTable.Listener, Compactor.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private static final long PASS_MS = 25;
    /** A pass looks at every machine and job: the pause before it grows by a millisecond for so many of them. */
    private static final int PASS_STEP = 25;
    /** Beyond a report's time a new leader waits so long at most before it rents. */
    private static final long GATHER_MS = 1_500;

    private final LeaderContext context;
    private final EventLoop loop;
    private final Leadership lead;
    private final BatchWriter writer;
    private final Settings settings;
    private final Policy policy;
    private final JobTable table;
    private final Fleet fleet;
    private final MachineRegistry registry;
    private final Progress progress;
    private final Cancellations cancellations;
    private final Operations operations;
    private final Compactor compactor;
    private final RuntimeForecast forecast;
    private final SchedulingCycle pass;
    private final InstanceReconciler inventory;
    private final ObservationWindow observationWindow;
    private final FailoverProgress recovery;
    private boolean passDue;
    private boolean closed;

    /**
     * @param stored the leader's documents
     * @param seenAt when, by the loop's clock, each came to be known here in its present form
     */
    public LeaderTerm(LeaderContext context, Map<String, JsonNode> stored, Map<String, Long> seenAt) {
        this.context = context;
        this.loop = context.loop();
        this.lead = context.lead();
        this.writer = context.writer();
        this.settings = context.settings();
        this.policy = context.policy();
        this.table = context.table();
        String root = Keys.ROOT;
        forecast = new RuntimeForecast(settings.objectives(), policy);
        fleet = new Fleet(
                new FleetParameters(
                        loop,
                        context.http(),
                        lead,
                        settings.workers(),
                        context.types()::get,
                        id -> {
                            Job job = table.get(id);
                            return job == null ? null : job.spec();
                        },
                        policy,
                        settings.machine().maxConnections(),
                        context.metrics(),
                        context.incidents(),
                        context.eventLog()),
                this);
        context.metrics().takeovers.increment();
        context.incidents().record("this controller took the lead under token " + lead.token());
        registry =
                new MachineRegistry(root, writer, fleet, settings.stateLimits().valueBytes());
        progress = new Progress(root, Keys.JOBS, writer, settings.stateLimits().valueBytes(), this);
        cancellations = new Cancellations(writer, table);
        operations = new Operations(
                loop,
                context.random(),
                context.cloud(),
                writer,
                root,
                lead.token(),
                policy.queryLimitS(),
                settings.stateLimits().valueBytes(),
                this);
        // A fresh process has read the finished tasks before it read their jobs, for such is the order of the keys:
        // unless
        // they are looked at once more, it starts all of a job's tasks again.
        stored.forEach((key, value) -> {
            if (key.startsWith(root + Progress.PREFIX)) {
                Progress.read(value, table);
            }
        });
        for (Job job : table.active()) {
            fleet.jobAccepted(job);
        }
        stored.forEach((key, value) -> {
            if (key.startsWith(root + MachineRegistry.PREFIX)) {
                registry.takeOver(key, value, seenAt.get(key), lead.previous());
            } else if (key.startsWith(root + Progress.PREFIX)) {
                progress.takeOver(key, value, table);
            }
        });
        stored.forEach((key, value) -> {
            if (key.startsWith(root + Operation.PREFIX)) {
                Operation op = operations.takeOver(key.substring((root + Operation.PREFIX).length()), value);
                if (op != null && op.open() && op.kind() == Operation.Kind.GIVE_BACK) {
                    op.request().path("boxes").forEach(b -> {
                        Machine m = fleet.machine(b.asText());
                        if (m != null) {
                            fleet.markLeaving(m);
                        }
                    });
                }
            }
        });
        fleet.jobs().forEach(progress::takeOver);
        registry.splitOversized();
        progress.splitOversized();
        compactor = new Compactor(
                context.client(),
                context.watchCache(),
                loop,
                table,
                context.history(),
                context.capabilities(),
                context.metrics(),
                this,
                lead::writeGuard,
                settings.stateLimits(),
                policy.historyShare());
        observationWindow =
                new ObservationWindow(loop.now(), Math.round(settings.workers().reportS() * 1250) + GATHER_MS);
        recovery = new FailoverProgress(fleet, observationWindow, context.eventLog(), loop.now());
        pass = new SchedulingCycle(context, fleet, operations, forecast, observationWindow);
        inventory = new InstanceReconciler(context, fleet, operations, this::givenBack, observationWindow::listed);
        LOG.info(
                "leading under token {}: {} jobs, {} machines on the roster",
                lead.token(),
                table.active().size(),
                fleet.size());
        context.eventLog()
                .emit(
                        "elected",
                        "token",
                        lead.token(),
                        "jobs",
                        table.active().size(),
                        "machines",
                        fleet.size(),
                        "asked",
                        fleet.unaccounted());
        fleet.start();
        compactor.start();
        tick();
    }

    public void close() {
        closed = true;
        compactor.close();
        inventory.close();
        fleet.close();
        operations.close();
        writer.clear();
    }

    public void report(Heartbeat r, Http.Exchange exchange) {
        fleet.report(r, exchange);
    }

    Fleet fleet() {
        return fleet;
    }

    Operations operations() {
        return operations;
    }

    // ---- events ----

    @Override
    public void jobAccepted(Job job) {
        compactor.noted();
        fleet.jobAccepted(job);
    }

    @Override
    public void jobEnded(Job job) {
        compactor.noted();
        forecast.ended(job.id());
        ActiveJob live = fleet.job(job.id());
        if (live != null) {
            progress.ended(live);
        }
        fleet.jobEnded(job);
        cancellations.write();
    }

    @Override
    public void jobReady(Job job) {
        changed();
    }

    @Override
    public void changed() {
        if (!passDue && !closed) {
            passDue = true;
            loop.after(Math.max(PASS_MS, (fleet.size() + table.active().size()) / PASS_STEP), () -> {
                passDue = false;
                if (!closed) {
                    context.metrics().busy.during(Part.PASS, pass::run);
                    recovery.look(loop.now());
                }
            });
        }
    }

    @Override
    public void completed(Attempt attempt) {
        if (attempt.runningSince() > 0) {
            forecast.completed(attempt.spec(), (loop.now() - attempt.runningSince()) / 1000.0);
        }
    }

    @Override
    public void finished(Task task) {
        progress.finished(task);
    }

    @Override
    public void registry(Machine machine) {
        registry.add(machine);
    }

    @Override
    public void unreadableOver() {
        registry.dropUnreadable();
    }

    @Override
    public void newcomer() {
        observationWindow.newcomer(loop.now());
    }

    @Override
    public void stored(Task task) {
        fleet.stored(task);
    }

    @Override
    public void done(Job job, long revision) {
        Double within = job.spec() == null ? null : job.spec().deadlineS();
        long tookS = (loop.timeOfDay() - job.submittedAt()) / 1000;
        LOG.debug("{} is done after {} s", job.id(), tookS);
        if (within != null && tookS > within) {
            context.incidents()
                    .record(job.id() + " (" + job.spec().jobClass() + ") missed its deadline: done after "
                            + tookS + " s instead of " + Math.round(within) + " s, with " + fleet.waiting()
                            + " tasks of all jobs waiting for room now");
        }
        table.end(job, Job.Status.DONE, job.tasks(), revision, true);
    }

    @Override
    public boolean mayAct() {
        return lead.mayAct();
    }

    @Override
    public void rented(Operation op, List<String> machines) {
        String type = op.request().path("rig").asText();
        String zone = op.request().path("yard").asText();
        boolean spot = op.request().path("standby").asBoolean();
        for (String id : machines) {
            fleet.rented(id, type, zone, spot);
        }
        if (machines.size() < op.request().path("count").asInt()) {
            noCapacity(op);
        } else {
            pass.capacity(Scheduler.pool(type, zone, spot));
        }
        changed();
    }

    @Override
    public void escalated(Operation op) {
        context.metrics().escalated.increment();
        context.incidents()
                .record(op.name() + " (" + op.kind() + ") has had no clear outcome for long: it counts as"
                        + " unsettled room and is asked about now and then");
    }

    @Override
    public void noCapacity(Operation op) {
        pass.noCapacity(Scheduler.pool(
                op.request().path("rig").asText(),
                op.request().path("yard").asText(),
                op.request().path("standby").asBoolean()));
        changed();
    }

    @Override
    public void givenBack(List<String> machines) {
        for (String id : machines) {
            fleet.gone(id);
            registry.remove(id);
            inventory.forget(id);
        }
        changed();
    }

    @Override
    public boolean busy() {
        return fleet.unaccounted() > 0 || !writer.idle();
    }

    @Override
    public Set<String> needed() {
        Set<String> ids = fleet.jobsOnMachines();
        table.active().forEach(job -> ids.addAll(job.spec().awaits()));
        table.unstored().forEach(job -> ids.addAll(job.spec().awaits()));
        return ids;
    }

    // ---- time ----

    private void tick() {
        if (closed) {
            return;
        }
        if (lead.mayAct()) {
            inventory.giveBack(loop.now());
            inventory.list();
            context.lookup().resolveAll();
            cancellations.write();
            changed();
        }
        loop.after(500, this::tick);
    }

    /** Tasks seen running, by job. */
    public Map<String, Integer> running() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (Machine m : fleet.machines()) {
            for (Attempt a : m.attempts().values()) {
                if (a.state() == Attempt.State.RUNNING) {
                    counts.merge(a.jobId(), 1, Integer::sum);
                }
            }
        }
        return counts;
    }

    public ObjectNode describe(ObjectNode n) {
        Map<String, Integer> states = new LinkedHashMap<>();
        for (Machine m : fleet.machines()) {
            states.merge(m.state().name().toLowerCase(Locale.ROOT), 1, Integer::sum);
        }
        ObjectNode machines = n.putObject("machines");
        states.forEach(machines::put);
        n.put("unaccounted", fleet.unaccounted());
        recovery.describe(n.putObject("recovery"), loop.now());
        var unsettled = n.putArray("unsettledOperations");
        for (Operation op : operations.all()) {
            if (op.open()) {
                unsettled
                        .addObject()
                        .put("key", op.name())
                        .put("kind", op.kind().name())
                        .put("state", op.state().name())
                        .put("seen", op.seen())
                        .put("since", op.dispatchedAt());
            }
        }
        return n;
    }
}
