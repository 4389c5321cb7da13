package org.landingridge.controller.reign;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.config.Settings;
import org.landingridge.controller.configuration.Configuration;
import org.landingridge.controller.configuration.ConfiguredTeam;
import org.landingridge.controller.fleet.Attempt;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.LiveJob;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.ops.Operation;
import org.landingridge.controller.ops.Operations;
import org.landingridge.controller.recovery.Picture;
import org.landingridge.controller.sched.ExcessWork;
import org.landingridge.controller.sched.Group;
import org.landingridge.controller.sched.Node;
import org.landingridge.controller.sched.Peak;
import org.landingridge.controller.sched.Plan;
import org.landingridge.controller.sched.Scheduler;
import org.landingridge.controller.sched.Team;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * The scheduler's pass, wired to what the reign knows: describes machines, jobs and teams to the scheduler, and carries
 * out what it decides.
 */
final class Pass {
    private final Parts parts;
    private final Fleet fleet;
    private final Operations operations;
    private final Expectations expectations;
    /** A change is in force within 7 s wherever it was made: beyond that less what a command takes, nothing is started. */
    private static final long IN_FORCE_MS = 6_000;
    /** After so long without news of the state service it is asked whether there are any. */
    private static final long ASK_AGAIN_MS = 2_500;

    private final Map<String, Integer> teamIndex = new HashMap<>();
    private Configuration configuration;
    private boolean asking;
    private long nextExcessStep;
    /** Pools that had nothing to give, until when nothing is asked of them. */
    private final Map<String, Long> noCapacityUntil = new HashMap<>();

    private final Map<String, Integer> refusals = new HashMap<>();
    private final Peak standing = new Peak();
    private final Picture picture;
    private final long began;

    Pass(Parts parts, Fleet fleet, Operations operations, Expectations expectations, Picture picture) {
        this.parts = parts;
        this.fleet = fleet;
        this.operations = operations;
        this.expectations = expectations;
        this.picture = picture;
        this.began = parts.loop().now();
    }

    /** The cloud had less than was asked for in this pool. */
    void noCapacity(String pool) {
        int times = refusals.merge(pool, 1, Integer::sum);
        noCapacityUntil.put(pool, parts.loop().now() + Math.min(20_000, 3_000L << Math.min(3, times - 1)));
    }

    /** The cloud gave all that was asked for in this pool. */
    void capacity(String pool) {
        refusals.remove(pool);
    }

    void run() {
        if (!parts.lead().mayAct() || parts.types().isEmpty()) {
            return;
        }
        long now = parts.loop().now();
        List<Team> teams = teams();
        if (mayHaveChanged(now)) {
            return;
        }
        Inheritance inheritance = Inheritance.of(
                parts.table().active(), expectations, now, parts.loop().timeOfDay());
        Map<String, Group> groups = new LinkedHashMap<>();
        for (LiveJob job : fleet.jobs()) {
            int team = teamIndex.getOrDefault(job.spec().team(), -1);
            if (team < 0 || !job.job().ready()) {
                // A job that waits for others takes no part in limits, guarantees, turns and forecasts.
                continue;
            }
            int placeable = fleet.placeable(job);
            boolean broken = job.health() == LiveJob.Health.BROKEN;
            int most = broken ? job.count(Task.State.ON_MACHINE) == 0 ? 1 : 0 : placeable;
            Group group = new Group(
                    inheritance.spec(job.spec()),
                    job,
                    job.job().created(),
                    team,
                    job.notBefore() <= now ? Math.min(placeable, most) : 0);
            group.probing = broken;
            group.held = job.count(Task.State.PENDING) - placeable;
            expectations.fill(group, job.job(), now, parts.loop().timeOfDay());
            inheritance.apply(group, job.id());
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
        Scheduler.Spare spare = service == null
                ? null
                : new Scheduler.Spare(service, Math.max(2, (int)
                        Math.ceil(services * parts.policy().spareShare())));
        long idleMs = expectations.idleMs(parts.types().values());
        // What an earlier leader may have started cannot be placed during the census: that it does not ask for room now
        // says nothing, and machines given back then were rented again a minute later.
        double kept = standing.most(now, demand(teams, groups.values()), idleMs);
        // Nor does a fresh leader know what was asked for in the time that counts: a fleet that stood at a first start
        // was
        // given back within seconds, and rented again.
        boolean fresh = now - began < Math.round(parts.policy().idleS() * 1000);
        Plan plan = Scheduler.plan(new Scheduler.Input(
                now,
                nodes,
                List.copyOf(groups.values()),
                teams,
                List.copyOf(parts.types().values()),
                closedPools(now),
                spare,
                idleMs,
                fresh || fleet.unaccounted() > 0 ? Double.MAX_VALUE : kept));
        apply(plan);
        giveUpExcess(now, nodes, teams);
    }

    /** The teams as they are configured, all by the same change; a pass looks at the configuration here only. */
    private List<Team> teams() {
        Configuration now = parts.configuration().current();
        if (now != configuration) {
            configuration = now;
            teamIndex.clear();
            now.teams().keySet().forEach(name -> teamIndex.put(name, teamIndex.size()));
        }
        List<Team> teams = new ArrayList<>();
        for (ConfiguredTeam team : now.teams().values()) {
            Settings.Team t = team.limits();
            teams.add(new Team(t.cpus(), t.cpusMax(), t.gpus(), t.gpusMax()));
        }
        return teams;
    }

    /**
     * True while this leader may lack a change that others could have made: it starts nothing that may be forbidden by now.
     * In an outage nobody can make one, and the promises of all others say so. Where nothing was ever configured, nothing is asked.
     */
    private boolean mayHaveChanged(long now) {
        if (configuration.number() == 0) {
            return false;
        }
        long age = now - parts.lead().known();
        if (age > ASK_AGAIN_MS && !asking) {
            asking = true;
            parts.mirror().barrier(() -> asking = false, () -> asking = false);
        }
        return age > IN_FORCE_MS;
    }

    /** Work beyond limits that were lowered. */
    private void giveUpExcess(long now, List<Node> nodes, List<Team> teams) {
        if (configuration.number() == 0 || now < nextExcessStep) {
            return;
        }
        List<Node.Running> stops = ExcessWork.step(nodes, teams);
        if (!stops.isEmpty()) {
            nextExcessStep = now + ExcessWork.STEP_MS;
            stops.forEach(this::stop);
            fleet.flush();
        }
    }

    private void stop(Node.Running r) {
        Attempt a = (Attempt) r.attempt;
        fleet.stop(a, a.spec().checkpointS() > 0 && !r.atOnce ? a.spec().saveS() : 0);
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
        Map<String, Long> closed = new HashMap<>(noCapacityUntil);
        boolean lapsed = false;
        for (Machine m : fleet.machines()) {
            lapsed |= m.state() == Machine.State.LAPSED;
            // Where machines boot late together, more of them would come as late: others are asked first.
            if (fleet.lateWithAll(m, now)) {
                closed.put(Scheduler.pool(m.kind().name(), m.zone(), m.spot()), now + 1);
            }
        }
        for (Machine m : lapsed ? fleet.machines() : List.<Machine>of()) {
            if (m.state() == Machine.State.UP || m.state() == Machine.State.LAPSED) {
                silent.merge(m.zone(), m.state() == Machine.State.LAPSED ? 1 : -1, Integer::sum);
            }
        }
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
        if (fleet.anyUnreadable()) {
            teams.forEach(t -> t.hold(Double.MAX_VALUE, Double.MAX_VALUE));
        }
        for (Machine m : fleet.machines()) {
            boolean usable = fleet.usable(m, now);
            if (fleet.unaccounted(m)) {
                // It may hold tasks of any team that nobody has reported, as many as fit: they count within the limits.
                teams.forEach(t -> t.hold(m.kind().cpus(), m.kind().gpus()));
            }
            Node node = new Node(m.kind(), m.zone(), m.spot(), m, usable, m.images());
            node.draining = fleet.draining(m, now);
            node.unheard = fleet.unheard(m, now);
            boolean idle = true;
            boolean unknown = false;
            for (Attempt a : m.attempts().values()) {
                if (!a.live()) {
                    continue;
                }
                idle = false;
                if (a.state() == Attempt.State.SENT || a.state() == Attempt.State.FETCHING) {
                    node.fetching++;
                }
                int team =
                        a.spec() == null ? 0 : teamIndex.getOrDefault(a.spec().team(), 0);
                Group of = groups.get(a.jobId());
                JobSpec spec = of == null ? a.spec() : of.spec;
                Node.Running running = new Node.Running(spec, team, a, a.since(), a.stopWanted());
                running.ranS = a.runningSince() > 0 ? (now - a.runningSince()) / 1000.0 : 0;
                running.leftS = a.spec() == null ? 0 : expectations.leftS(a.spec(), running.ranS);
                node.add(running);
                if (a.spec() != null) {
                    teams.get(team).usedCpus += a.spec().cpus();
                    teams.get(team).usedGpus += a.spec().gpus();
                    if (a.stopWanted()) {
                        teams.get(team).stopping(a.spec());
                    }
                } else if (!unknown) {
                    // Nobody here remembers its job: what it takes is unknown, and so is its team.
                    unknown = true;
                    teams.forEach(t -> t.hold(m.kind().cpus(), m.kind().gpus()));
                }
                if (of != null) {
                    of.perZone.merge(m.zone(), 1, Integer::sum);
                }
            }
            node.idleMs = idle ? fleet.idleMs(m, now) : 0;
            // What neither takes tasks nor is on its way counts for nothing.
            if (usable || fleet.coming(m, now)) {
                nodes.add(node);
            }
        }
        for (Operation op : operations.all()) {
            if (op.open() && op.kind() == Operation.Kind.RENT && op.state() != Operation.State.ESCALATED) {
                MachineType type = parts.types().get(op.request().path("rig").asText());
                for (int i = 0; type != null && i < op.request().path("count").asInt(); i++) {
                    nodes.add(new Node(
                            type,
                            op.request().path("yard").asText(),
                            op.request().path("standby").asBoolean(),
                            null,
                            false,
                            Set.of()));
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
        plan.stops.forEach(this::stop);
        plan.vacated.forEach(n -> fleet.drain((Machine) n.machine));
        fleet.flush();
        boolean known = picture.state(parts.loop().now()) == Picture.State.COMPLETE;
        for (Plan.Rent r : plan.rents) {
            if (known && !operations.renting(r.type(), r.zone(), r.spot())) {
                operations.rent(r.type(), r.zone(), r.spot(), r.count());
            }
        }
        List<String> back = new ArrayList<>();
        for (Node n : plan.idle) {
            Machine m = (Machine) n.machine;
            fleet.leaving(m);
            back.add(m.id());
        }
        operations.giveBack(back);
    }
}
