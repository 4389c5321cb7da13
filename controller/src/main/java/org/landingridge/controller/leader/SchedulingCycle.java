package org.landingridge.controller.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.cloud.Operation;
import org.landingridge.controller.cloud.Operations;
import org.landingridge.controller.fleet.ActiveJob;
import org.landingridge.controller.fleet.Attempt;
import org.landingridge.controller.fleet.Fleet;
import org.landingridge.controller.fleet.Machine;
import org.landingridge.controller.fleet.Task;
import org.landingridge.controller.liveconfig.Configuration;
import org.landingridge.controller.liveconfig.ConfiguredTeam;
import org.landingridge.controller.recovery.ObservationWindow;
import org.landingridge.controller.scheduling.CandidateNode;
import org.landingridge.controller.scheduling.ExcessWork;
import org.landingridge.controller.scheduling.Scheduler;
import org.landingridge.controller.scheduling.SchedulingPlan;
import org.landingridge.controller.scheduling.TaskGroup;
import org.landingridge.controller.scheduling.Team;
import org.landingridge.controller.scheduling.WindowedMaximum;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.MachineType;

/**
 * The scheduler's pass, wired to what the leader term knows: describes machines, jobs and teams to the scheduler, and carries
 * out what it decides.
 */
final class SchedulingCycle {
    private final LeaderContext context;
    private final Fleet fleet;
    private final Operations operations;
    private final RuntimeForecast forecast;
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
    private final WindowedMaximum standing = new WindowedMaximum();
    private final ObservationWindow observationWindow;
    private final long began;

    SchedulingCycle(
            LeaderContext context,
            Fleet fleet,
            Operations operations,
            RuntimeForecast forecast,
            ObservationWindow observationWindow) {
        this.context = context;
        this.fleet = fleet;
        this.operations = operations;
        this.forecast = forecast;
        this.observationWindow = observationWindow;
        this.began = context.loop().now();
    }

    /** The cloud had less than was asked for in this pool. */
    void noCapacity(String pool) {
        int times = refusals.merge(pool, 1, Integer::sum);
        noCapacityUntil.put(pool, context.loop().now() + Math.min(20_000, 3_000L << Math.min(3, times - 1)));
    }

    /** The cloud gave all that was asked for in this pool. */
    void capacity(String pool) {
        refusals.remove(pool);
    }

    void run() {
        if (!context.lead().mayAct() || context.types().isEmpty()) {
            return;
        }
        long now = context.loop().now();
        List<Team> teams = teams();
        if (mayHaveChanged(now)) {
            return;
        }
        PriorityInheritance inheritance = PriorityInheritance.of(
                context.table().active(), forecast, now, context.loop().timeOfDay());
        Map<String, TaskGroup> groups = new LinkedHashMap<>();
        for (ActiveJob job : fleet.jobs()) {
            int team = teamIndex.getOrDefault(job.spec().team(), -1);
            if (team < 0 || !job.job().ready()) {
                // A job that waits for others takes no part in limits, guarantees, turns and forecasts.
                continue;
            }
            int placeable = fleet.placeable(job);
            boolean broken = job.health() == ActiveJob.Health.BROKEN;
            int most = broken ? job.count(Task.State.ON_MACHINE) == 0 ? 1 : 0 : placeable;
            TaskGroup group = new TaskGroup(
                    inheritance.spec(job.spec()),
                    job,
                    job.job().created(),
                    team,
                    job.notBefore() <= now ? Math.min(placeable, most) : 0);
            group.probing = broken;
            group.held = job.count(Task.State.PENDING) - placeable;
            forecast.fill(group, job.job(), now, context.loop().timeOfDay());
            inheritance.apply(group, job.id());
            groups.put(job.id(), group);
        }
        List<CandidateNode> nodes = nodes(now, teams, groups);
        JobSpec service = null;
        int services = 0;
        for (TaskGroup g : groups.values()) {
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
                        Math.ceil(services * context.policy().spareShare())));
        long idleMs = forecast.idleMs(context.types().values());
        // What an earlier leader may have started cannot be placed during the census: that it does not ask for room now
        // says nothing, and machines given back then were rented again a minute later.
        double kept = standing.most(now, demand(teams, groups.values()), idleMs);
        // Nor does a fresh leader know what was asked for in the time that counts: a fleet that stood at a first start
        // was
        // given back within seconds, and rented again.
        boolean fresh = now - began < Math.round(context.policy().idleS() * 1000);
        SchedulingPlan plan = Scheduler.plan(new Scheduler.Input(
                now,
                nodes,
                List.copyOf(groups.values()),
                teams,
                List.copyOf(context.types().values()),
                closedPools(now),
                spare,
                idleMs,
                fresh || fleet.unaccounted() > 0 ? Double.MAX_VALUE : kept));
        apply(plan);
        giveUpExcess(now, nodes, teams);
    }

    /** The teams as they are configured, all by the same change; a pass looks at the configuration here only. */
    private List<Team> teams() {
        Configuration now = context.configuration().current();
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
        long age = now - context.lead().known();
        if (age > ASK_AGAIN_MS && !asking) {
            asking = true;
            context.watchCache().barrier(() -> asking = false, () -> asking = false);
        }
        return age > IN_FORCE_MS;
    }

    /** Work beyond limits that were lowered. */
    private void giveUpExcess(long now, List<CandidateNode> nodes, List<Team> teams) {
        if (configuration.number() == 0 || now < nextExcessStep) {
            return;
        }
        List<CandidateNode.Running> stops = ExcessWork.step(nodes, teams);
        if (!stops.isEmpty()) {
            nextExcessStep = now + ExcessWork.STEP_MS;
            stops.forEach(this::stop);
            fleet.flush();
        }
    }

    private void stop(CandidateNode.Running r) {
        Attempt a = (Attempt) r.attempt;
        fleet.stop(a, a.spec().checkpointS() > 0 && !r.atOnce ? a.spec().saveS() : 0);
    }

    /** Processors that the teams ask for within their guarantees; all that they ask for where they have none. */
    private static double demand(List<Team> teams, Collection<TaskGroup> groups) {
        double[] asked = new double[teams.size()];
        for (TaskGroup g : groups) {
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
                for (String type : context.types().keySet()) {
                    closed.put(Scheduler.pool(type, zone, true), now + 1);
                    closed.put(Scheduler.pool(type, zone, false), now + 1);
                }
            }
        });
        return closed;
    }

    private List<CandidateNode> nodes(long now, List<Team> teams, Map<String, TaskGroup> groups) {
        List<CandidateNode> nodes = new ArrayList<>();
        if (fleet.anyUnreadable()) {
            teams.forEach(t -> t.hold(Double.MAX_VALUE, Double.MAX_VALUE));
        }
        for (Machine m : fleet.machines()) {
            boolean usable = fleet.usable(m, now);
            if (fleet.unaccounted(m)) {
                // It may hold tasks of any team that nobody has reported, as many as fit: they count within the limits.
                teams.forEach(t -> t.hold(m.kind().cpus(), m.kind().gpus()));
            }
            CandidateNode node = new CandidateNode(m.kind(), m.zone(), m.spot(), m, usable, m.images());
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
                TaskGroup of = groups.get(a.jobId());
                JobSpec spec = of == null ? a.spec() : of.spec;
                CandidateNode.Running running = new CandidateNode.Running(spec, team, a, a.since(), a.stopWanted());
                running.ranS = a.runningSince() > 0 ? (now - a.runningSince()) / 1000.0 : 0;
                running.leftS = a.spec() == null ? 0 : forecast.leftS(a.spec(), running.ranS);
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
                MachineType type = context.types().get(op.request().path("rig").asText());
                for (int i = 0; type != null && i < op.request().path("count").asInt(); i++) {
                    nodes.add(new CandidateNode(
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

    private void apply(SchedulingPlan plan) {
        for (SchedulingPlan.Placement p : plan.placements) {
            Task task = fleet.nextPlaceable((ActiveJob) p.group().job);
            if (task != null) {
                fleet.place(task, (Machine) p.node().machine);
            }
        }
        plan.stops.forEach(this::stop);
        plan.vacated.forEach(n -> fleet.drain((Machine) n.machine));
        fleet.flush();
        boolean known = observationWindow.state(context.loop().now()) == ObservationWindow.State.COMPLETE;
        for (SchedulingPlan.Rent r : plan.rents) {
            if (known && !operations.renting(r.type(), r.zone(), r.spot())) {
                operations.rent(r.type(), r.zone(), r.spot(), r.count());
            }
        }
        List<String> back = new ArrayList<>();
        for (CandidateNode n : plan.idle) {
            Machine m = (Machine) n.machine;
            fleet.markLeaving(m);
            back.add(m.id());
        }
        operations.giveBack(back);
    }
}
