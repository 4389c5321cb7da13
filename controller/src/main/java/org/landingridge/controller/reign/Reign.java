package org.landingridge.controller.reign;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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
import org.landingridge.controller.history.Segment;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.lead.Leadership;
import org.landingridge.controller.obs.Busy.Part;
import org.landingridge.controller.ops.CloudClient;
import org.landingridge.controller.ops.Operation;
import org.landingridge.controller.ops.Operations;
import org.landingridge.controller.progress.Progress;
import org.landingridge.controller.sched.Group;
import org.landingridge.controller.sched.Node;
import org.landingridge.controller.sched.Peak;
import org.landingridge.controller.sched.Plan;
import org.landingridge.controller.sched.Scheduler;
import org.landingridge.controller.sched.Team;
import org.landingridge.controller.store.GroupWriter;
import org.landingridge.controller.store.Keys;
import org.landingridge.net.Http;
import org.landingridge.net.Loop;
import org.landingridge.wire.CloudMachine;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One time in the lead: everything that the leader knows and does, built anew from the state service and from reports
 * at each election and dropped whole when the lead ends.
 */
public final class Reign implements Fleet.Events, Operations.Events, Progress.Events, JobTable.Listener,
        Compactor.Reign {
    private static final Logger LOG = LoggerFactory.getLogger(Reign.class);
    private static final long PASS_MS = 25;
    private final Parts parts;
    private final Loop loop;
    private final Leadership lead;
    private final GroupWriter writer;
    private final CloudClient cloud;
    private final Settings settings;
    private final Policy policy;
    private final JobTable table;
    private final Fleet fleet;
    private final Roster roster;
    private final Progress progress;
    private final Operations operations;
    private final Compactor compactor;
    private final Expectations expectations;
    private final Map<String, Integer> teamIndex = new HashMap<>();
    private final Map<String, Long> noCapacityUntil = new HashMap<>();
    private final Map<String, Integer> refusals = new HashMap<>();
    private final Map<String, Long> listedAt = new HashMap<>();
    private final Peak standing = new Peak();
    private boolean passDue;
    private boolean listing;
    private long nextList;
    private boolean closed;

    public Reign(Parts parts, Map<String, JsonNode> stored) {
        this.parts = parts;
        this.loop = parts.loop();
        this.lead = parts.lead();
        this.writer = parts.writer();
        this.cloud = parts.cloud();
        this.settings = parts.settings();
        this.policy = parts.policy();
        this.table = parts.table();
        for (String team : settings.teams().keySet()) {
            teamIndex.put(team, teamIndex.size());
        }
        String root = Keys.ROOT;
        expectations = new Expectations(settings.objectives(), policy);
        fleet = new Fleet(loop, parts.http(), lead, settings.workers(), parts.types()::get,
                id -> {
                    Job job = table.get(id);
                    return job == null ? null : job.spec();
                }, parts.metrics(), parts.incidents(), this);
        parts.metrics().takeovers.increment();
        parts.incidents().say("this controller took the lead under token " + lead.token());
        roster = new Roster(root, writer, fleet, settings.stateLimits().valueKb());
        progress = new Progress(root, Keys.JOBS, writer, settings.stateLimits().valueKb(), this);
        operations = new Operations(loop, parts.random(), cloud, writer, root, lead.token(), policy.queryLimitS(),
                this);
        // A fresh process has read the finished tasks before it read their jobs, for such is the order of the keys: unless
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
                roster.takeOver(key, value);
            } else if (key.startsWith(root + Progress.PREFIX)) {
                progress.takeOver(key, value, table);
            }
        });
        stored.forEach((key, value) -> {
            if (key.startsWith(root + Operation.PREFIX)) {
                Operation op = operations.takeOver(key.substring((root + Operation.PREFIX).length()), value);
                if (op.open() && op.kind() == Operation.Kind.GIVE_BACK) {
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
        compactor = new Compactor(parts.client(), parts.mirror(), loop, table, parts.history(), parts.roll(),
                parts.metrics(), this, lead::writeGuard, settings.stateLimits().txnOps(),
                settings.stateLimits().writeRps(), historyShare());
        LOG.info("leading under token {}: {} jobs, {} machines on the roster", lead.token(), table.active().size(),
                fleet.size());
        fleet.start();
        compactor.start();
        tick();
    }

    /** Nothing is moved where a segment might not fit the state service's values. */
    private double historyShare() {
        if (settings.stateLimits().valueKb() * 1024 < Segment.MOST_BYTES) {
            LOG.warn("ended jobs are not moved: the state service's values are smaller than {} bytes",
                    Segment.MOST_BYTES);
            return 0;
        }
        return policy.historyShare();
    }

    public void close() {
        closed = true;
        compactor.close();
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
    }

    @Override
    public void changed() {
        if (!passDue && !closed) {
            passDue = true;
            loop.after(PASS_MS, () -> {
                passDue = false;
                if (!closed) {
                    parts.metrics().busy.during(Part.PASS, this::pass);
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
    public void stored(Task task) {
        fleet.stored(task);
    }

    @Override
    public void done(Job job, long revision) {
        Double within = job.spec() == null ? null : job.spec().deadlineS();
        long tookS = (loop.timeOfDay() - job.submittedAt()) / 1000;
        LOG.debug("{} is done after {} s", job.id(), tookS);
        if (within != null && tookS > within) {
            parts.incidents().say(job.id() + " (" + job.spec().jobClass() + ") missed its deadline: done after "
                    + tookS + " s instead of " + Math.round(within) + " s, with " + fleet.waiting()
                    + " tasks of all jobs waiting for room now");
        }
        table.end(job, Job.Status.DONE, job.tasks(), true);
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
            refusals.remove(Scheduler.pool(type, zone, spot));
        }
        changed();
    }

    @Override
    public void escalated(Operation op) {
        parts.metrics().escalated.increment();
        parts.incidents().say(op.name() + " (" + op.kind() + ") has had no clear outcome for long: it counts as"
                + " unsettled room and is asked about now and then");
    }

    @Override
    public void noCapacity(Operation op) {
        String pool = Scheduler.pool(op.request().path("rig").asText(), op.request().path("yard").asText(),
                op.request().path("standby").asBoolean());
        int times = refusals.merge(pool, 1, Integer::sum);
        noCapacityUntil.put(pool, loop.now() + Math.min(20_000, 3_000L << Math.min(3, times - 1)));
        changed();
    }

    @Override
    public void givenBack(List<String> machines) {
        for (String id : machines) {
            fleet.gone(id);
            roster.remove(id);
            listedAt.remove(id);
        }
        changed();
    }

    @Override
    public boolean busy() {
        return fleet.unaccounted() > 0 || !writer.idle();
    }

    @Override
    public Set<String> onMachines() {
        return fleet.jobsOnMachines();
    }

    // ---- the scheduler's pass ----

    private void pass() {
        if (!lead.mayAct() || parts.types().isEmpty()) {
            return;
        }
        long now = loop.now();
        List<Team> teams = new ArrayList<>();
        settings.teams().values().forEach(t -> teams.add(new Team(t.cpus(), t.cpusMax(), t.gpus(), t.gpusMax())));
        Map<String, Group> groups = new LinkedHashMap<>();
        for (LiveJob job : fleet.jobs()) {
            int team = teamIndex.getOrDefault(job.spec().team(), -1);
            if (team < 0) {
                continue;
            }
            Group group = new Group(job.spec(), job, job.job().created(), team,
                    job.notBefore() <= now ? fleet.placeable(job) : 0);
            expectations.fill(group, job.job(), now, loop.timeOfDay());
            groups.put(job.id(), group);
        }
        List<Node> nodes = nodes(now, teams, groups);
        JobSpec service = null;
        int services = 0;
        for (Group g : groups.values()) {
            if (g.spec.service()) {
                services += g.spec.tasks();
                if (service == null || g.spec.cpus() > service.cpus()) {
                    service = g.spec;
                }
            }
        }
        Scheduler.Spare spare = service == null ? null
                : new Scheduler.Spare(service, Math.max(2, (int) Math.ceil(services * policy.spareShare())));
        long idleMs = expectations.idleMs(parts.types().values());
        // What an earlier leader may have started cannot be placed during the census: that it does not ask for room now
        // says nothing, and machines given back then were rented again a minute later.
        double kept = standing.most(now, demand(teams, groups.values()), idleMs);
        Plan plan = Scheduler.plan(new Scheduler.Input(now, nodes, List.copyOf(groups.values()), teams,
                List.copyOf(parts.types().values()), closedPools(now), spare,
                idleMs, fleet.unaccounted() > 0 ? Double.MAX_VALUE : kept));
        apply(plan);
    }

    /** Processors that the teams ask for within their guarantees; all that they ask for where they have none. */
    private static double demand(List<Team> teams, Collection<Group> groups) {
        double[] asked = new double[teams.size()];
        for (Group g : groups) {
            asked[g.team] += g.waiting * g.spec.cpus();
        }
        double sum = 0;
        for (int t = 0; t < asked.length; t++) {
            sum += teams.get(t).guaranteed(asked[t]);
        }
        return sum;
    }

    /**
     * Pools in which nothing is to be had, by what the cloud said, or in which it would be of no use: where most
     * machines of a zone have fallen silent the zone is cut off, and new ones there could not be reached either.
     */
    private Map<String, Long> closedPools(long now) {
        Map<String, Integer> silent = new HashMap<>();
        for (Machine m : fleet.machines()) {
            if (m.state() == Machine.State.UP || m.state() == Machine.State.LAPSED) {
                silent.merge(m.zone(), m.state() == Machine.State.LAPSED ? 1 : -1, Integer::sum);
            }
        }
        Map<String, Long> closed = new HashMap<>(noCapacityUntil);
        silent.forEach((zone, more) -> {
            if (more > 0) {
                for (String type : parts.types().keySet()) {
                    closed.put(Scheduler.pool(type, zone, true), now + 1);
                    closed.put(Scheduler.pool(type, zone, false), now + 1);
                }
            }
        });
        return closed;
    }

    private List<Node> nodes(long now, List<Team> teams, Map<String, Group> groups) {
        List<Node> nodes = new ArrayList<>();
        for (Machine m : fleet.machines()) {
            boolean usable = fleet.usable(m, now);
            if (fleet.unaccounted(m)) {
                // It may hold tasks of any team that nobody has reported, as many as fit: they count within the limits.
                teams.forEach(t -> t.hold(m.kind().cpus(), m.kind().gpus()));
            }
            Node node = new Node(m.kind(), m.zone(), m.spot(), m, usable, m.images());
            node.idleMs = fleet.idleMs(m, now);
            node.draining = fleet.draining(m, now);
            for (Attempt a : m.attempts().values()) {
                if (!a.live()) {
                    continue;
                }
                if (a.state() == Attempt.State.SENT || a.state() == Attempt.State.FETCHING) {
                    node.fetching++;
                }
                int team = a.spec() == null ? 0 : teamIndex.getOrDefault(a.spec().team(), 0);
                Node.Running running = new Node.Running(a.spec(), team, a, a.since(), a.stopWanted());
                running.ranS = a.runningSince() > 0 ? (now - a.runningSince()) / 1000.0 : 0;
                running.leftS = a.spec() == null ? 0 : expectations.leftS(a.spec(), running.ranS);
                node.add(running);
                if (a.spec() != null) {
                    teams.get(team).usedCpus += a.spec().cpus();
                    teams.get(team).usedGpus += a.spec().gpus();
                    if (a.stopWanted()) {
                        teams.get(team).stopping(a.spec());
                    }
                }
                Group g = groups.get(a.jobId());
                if (g != null) {
                    g.perZone.merge(m.zone(), 1, Integer::sum);
                }
            }
            // What neither takes tasks nor is on its way counts for nothing.
            if (usable || fleet.coming(m, now)) {
                nodes.add(node);
            }
        }
        for (Operation op : operations.all()) {
            if (op.open() && op.kind() == Operation.Kind.RENT && op.state() != Operation.State.ESCALATED) {
                MachineType type = parts.types().get(op.request().path("rig").asText());
                for (int i = 0; type != null && i < op.request().path("count").asInt(); i++) {
                    nodes.add(new Node(type, op.request().path("yard").asText(),
                            op.request().path("standby").asBoolean(), null, false, Set.of()));
                }
            }
        }
        return nodes;
    }

    private void apply(Plan plan) {
        for (Plan.Placement p : plan.placements) {
            Task task = fleet.nextPlaceable((LiveJob) p.group().job);
            if (task != null) {
                fleet.place(task, (Machine) p.node().machine);
            }
        }
        for (Node.Running r : plan.stops) {
            Attempt a = (Attempt) r.attempt;
            fleet.stop(a, a.spec().checkpointS() > 0 ? a.spec().saveS() : 0);
        }
        plan.vacated.forEach(n -> fleet.drain((Machine) n.machine));
        fleet.flush();
        for (Plan.Rent r : plan.rents) {
            if (!operations.renting(r.type(), r.zone(), r.spot())) {
                operations.rent(r.type(), r.zone(), r.spot(), r.count());
            }
        }
        List<String> back = new ArrayList<>();
        for (Node n : plan.idle) {
            Machine m = (Machine) n.machine;
            fleet.leaving(m);
            back.add(m.id());
        }
        giveBack(back);
    }

    private void giveBack(List<String> machines) {
        for (int i = 0; i < machines.size(); i += 100) {
            operations.giveBack(machines.subList(i, Math.min(machines.size(), i + 100)));
        }
    }

    // ---- time ----

    private void tick() {
        if (closed) {
            return;
        }
        long now = loop.now();
        if (lead.mayAct()) {
            overdue(now);
            if (!listing && now >= nextList) {
                list();
            }
            changed();
        }
        loop.after(500, this::tick);
    }

    /** Machines that never came up, or have been silent for long, go back. */
    private void overdue(long now) {
        List<String> back = new ArrayList<>();
        for (Machine m : fleet.machines()) {
            if (fleet.overdue(m, now, Math.round(policy.bootMarginS() * 1000))) {
                LOG.info("{} is silent or never came up: giving it back", m.id());
                parts.incidents().say(m.id() + (m.state() == Machine.State.BOOTING ? " never came up"
                        : m.state() == Machine.State.LAPSED ? " stays silent" : " fails its tasks") + ": given back");
                fleet.leaving(m);
                back.add(m.id());
            }
        }
        giveBack(back);
    }

    private void list() {
        listing = true;
        long asked = loop.now();
        long lag = Math.round(settings.cloudLimits().listLagS() * 1000);
        cloud.list(machines -> {
            listing = false;
            nextList = loop.now() + Math.max(2_000, lag / 2);
            if (closed || machines == null || !lead.mayAct()) {
                return;
            }
            for (CloudMachine c : machines) {
                listedAt.putIfAbsent(c.id(), asked);
                Machine m = fleet.machine(c.id());
                if (m == null && !fleet.wasReturned(c.id()) && !c.status().equals("failed")) {
                    // Nobody claims it: a rent that succeeded late, or there before us. It is used, or goes back idle.
                    LOG.info("{} is listed and nobody's: taking it in", c.id());
                    fleet.appeared(c.id(), c.addr(), c.type(), c.zone(), c.spot());
                } else if (m != null && c.status().equals("failed")) {
                    fleet.failed(m);
                }
            }
            absent(machines, asked, lag);
        });
    }

    /**
     * A machine that was listed and is absent is gone, unless the list is older than the one that showed it: lists lag
     * by up to twice the usual and run backwards. Only silent machines are judged by it.
     */
    private void absent(List<CloudMachine> machines, long asked, long lag) {
        Set<String> present = new HashSet<>();
        machines.forEach(c -> present.add(c.id()));
        List<String> gone = new ArrayList<>();
        for (Machine m : fleet.machines()) {
            Long first = listedAt.get(m.id());
            if (first != null && !present.contains(m.id()) && asked - first > 2 * lag + 2_000
                    && m.state() == Machine.State.LAPSED) {
                gone.add(m.id());
            }
        }
        if (!gone.isEmpty()) {
            LOG.info("no longer listed: {}", gone);
            parts.incidents().say("taken by the cloud: " + String.join(", ", gone));
            givenBack(gone);
        }
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
        var unsettled = n.putArray("unsettledOperations");
        for (Operation op : operations.all()) {
            if (op.open()) {
                unsettled.addObject().put("key", op.name()).put("kind", op.kind().name())
                        .put("state", op.state().name()).put("seen", op.seen()).put("since", op.dispatchedAt());
            }
        }
        return n;
    }
}
