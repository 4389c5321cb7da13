package org.landingridge.controller.reign;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.config.Policy;
import org.landingridge.controller.config.Settings;
import org.landingridge.controller.fleet.Attempt;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.LiveJob;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.fleet.Roster;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.history.Compactor;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.lead.Leadership;
import org.landingridge.controller.obs.Busy.Part;
import org.landingridge.controller.ops.Operation;
import org.landingridge.controller.ops.Operations;
import org.landingridge.controller.progress.Cancellations;
import org.landingridge.controller.progress.Progress;
import org.landingridge.controller.recovery.Picture;
import org.landingridge.controller.sched.Scheduler;
import org.landingridge.controller.store.GroupWriter;
import org.landingridge.controller.store.Keys;
import org.landingridge.net.Http;
import org.landingridge.net.Loop;
import org.landingridge.wire.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One time in the lead: everything that the leader knows and does, built anew from the state service and from reports
 * at each election and dropped whole when the lead ends.
 */
public final class Reign
        implements Fleet.Events, Operations.Events, Progress.Events, JobTable.Listener, Compactor.Reign {
    private static final Logger LOG = LoggerFactory.getLogger(Reign.class);
    private static final long PASS_MS = 25;
    /** A pass looks at every machine and job: the pause before it grows by a millisecond for so many of them. */
    private static final int PASS_STEP = 25;
    /** Beyond a report's time a new leader waits so long at most before it rents. */
    private static final long GATHER_MS = 1_500;

    private final Parts parts;
    private final Loop loop;
    private final Leadership lead;
    private final GroupWriter writer;
    private final Settings settings;
    private final Policy policy;
    private final JobTable table;
    private final Fleet fleet;
    private final Roster roster;
    private final Progress progress;
    private final Cancellations cancellations;
    private final Operations operations;
    private final Compactor compactor;
    private final Expectations expectations;
    private final Pass pass;
    private final Inventory inventory;
    private final Picture picture;
    private final Recovery recovery;
    private boolean passDue;
    private boolean closed;

    /**
     * @param stored the leader's documents
     * @param seenAt when, by the loop's clock, each came to be known here in its present form
     */
    public Reign(Parts parts, Map<String, JsonNode> stored, Map<String, Long> seenAt) {
        this.parts = parts;
        this.loop = parts.loop();
        this.lead = parts.lead();
        this.writer = parts.writer();
        this.settings = parts.settings();
        this.policy = parts.policy();
        this.table = parts.table();
        String root = Keys.ROOT;
        expectations = new Expectations(settings.objectives(), policy);
        fleet = new Fleet(
                loop,
                parts.http(),
                lead,
                settings.workers(),
                parts.types()::get,
                id -> {
                    Job job = table.get(id);
                    return job == null ? null : job.spec();
                },
                policy,
                settings.machine().maxConnections(),
                parts.metrics(),
                parts.incidents(),
                parts.chronicle(),
                this);
        parts.metrics().takeovers.increment();
        parts.incidents().say("this controller took the lead under token " + lead.token());
        roster = new Roster(root, writer, fleet, settings.stateLimits().valueBytes());
        progress = new Progress(root, Keys.JOBS, writer, settings.stateLimits().valueBytes(), this);
        cancellations = new Cancellations(writer, table);
        operations = new Operations(
                loop,
                parts.random(),
                parts.cloud(),
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
            if (key.startsWith(root + Roster.PREFIX)) {
                roster.takeOver(key, value, seenAt.get(key), lead.previous());
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
                            fleet.leaving(m);
                        }
                    });
                }
            }
        });
        fleet.jobs().forEach(progress::takeOver);
        roster.splitOversized();
        progress.splitOversized();
        compactor = new Compactor(
                parts.client(),
                parts.mirror(),
                loop,
                table,
                parts.history(),
                parts.capabilities(),
                parts.metrics(),
                this,
                lead::writeGuard,
                settings.stateLimits(),
                policy.historyShare());
        picture = new Picture(loop.now(), Math.round(settings.workers().reportS() * 1250) + GATHER_MS);
        recovery = new Recovery(fleet, picture, parts.chronicle(), loop.now());
        pass = new Pass(parts, fleet, operations, expectations, picture);
        inventory = new Inventory(parts, fleet, operations, this::givenBack, picture::listed);
        LOG.info(
                "leading under token {}: {} jobs, {} machines on the roster",
                lead.token(),
                table.active().size(),
                fleet.size());
        parts.chronicle()
                .tell(
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

    public void report(Report r, Http.Exchange exchange) {
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
        expectations.ended(job.id());
        LiveJob live = fleet.job(job.id());
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
                    parts.metrics().busy.during(Part.PASS, pass::run);
                    recovery.look(loop.now());
                }
            });
        }
    }

    @Override
    public void completed(Attempt attempt) {
        if (attempt.runningSince() > 0) {
            expectations.completed(attempt.spec(), (loop.now() - attempt.runningSince()) / 1000.0);
        }
    }

    @Override
    public void finished(Task task) {
        progress.finished(task);
    }

    @Override
    public void roster(Machine machine) {
        roster.add(machine);
    }

    @Override
    public void unreadableOver() {
        roster.dropUnreadable();
    }

    @Override
    public void newcomer() {
        picture.newcomer(loop.now());
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
            parts.incidents()
                    .say(job.id() + " (" + job.spec().jobClass() + ") missed its deadline: done after "
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
        parts.metrics().escalated.increment();
        parts.incidents()
                .say(op.name() + " (" + op.kind() + ") has had no clear outcome for long: it counts as"
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
            roster.remove(id);
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
            parts.lookup().resolveAll();
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
