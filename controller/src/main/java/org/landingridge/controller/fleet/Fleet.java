package org.landingridge.controller.fleet;

import java.util.Set;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;

/**
 * The machines and what is or may be on them, for one leader term of this controller. Starts are written nowhere: a new
 * leader term rebuilds them from heartbeats, and places no task that an earlier leader could have started before every machine
 * of the registry is fenced, lapsed or gone. Times are the event loop's, in milliseconds.
 */
public final class Fleet {
    /** What the fleet has the rest of the leader term know. */
    public interface Events {
        /** Something that scheduling depends on has changed. */
        void changed();

        /** The task has ended with a result, which is to be stored. */
        void finished(Task task);

        /** An attempt that this leader saw from its start to its completion. */
        void completed(Attempt attempt);

        /** The machine's row in the registry must be written again. */
        void registry(Machine machine);

        /** A machine has sent a heartbeat that nobody knew of. */
        void newcomer();

        /** The machines of registry pages that cannot be read hold nothing any more. */
        void unreadableOver();
    }

    /** How long a machine that is being vacated takes no work if there is other room. */
    private static final long DRAIN_MS = 30_000;

    private final FleetContext context;
    private final ActiveJobs jobs;
    private final UnverifiedMachines unverifiedMachines;
    private final MachineTable machines;
    private final PlaceableTasks tasks;
    private final AttemptTracker attempts;
    private final CommandDispatcher dispatcher;
    private final MachineProbe probe;
    private final HealthMonitor healthMonitor;
    private final MachineReadiness readiness;
    private final HeartbeatEndpoint endpoint;
    private final RegistryHooks registryHooks;
    private final FleetCycle cycle;

    /** A fleet without machines and jobs; it does nothing before {@link #start}. */
    public Fleet(FleetParameters parameters, Events events) {
        context = FleetContext.of(parameters, events);
        jobs = new ActiveJobs(context);
        unverifiedMachines = new UnverifiedMachines(context);
        machines = new MachineTable(context, parameters.types(), unverifiedMachines);
        tasks = new PlaceableTasks(jobs, unverifiedMachines);
        attempts =
                new AttemptTracker(context, jobs, parameters.endedSpecs(), new FailureAttribution(context, machines));
        BootTimes boots = new BootTimes();
        HeartbeatHandler heartbeats = new HeartbeatHandler(context, attempts, unverifiedMachines, boots);
        CommandComposer composer = new CommandComposer(context, jobs);
        dispatcher = new CommandDispatcher(context, heartbeats, composer, parameters.maxConnections());
        probe = new MachineProbe(context, heartbeats, parameters.maxConnections());
        healthMonitor = new HealthMonitor(
                context,
                unverifiedMachines,
                boots,
                Math.round(parameters.policy().bootMarginS() * 1000),
                parameters.policy().settleShare());
        readiness = new MachineReadiness(context, unverifiedMachines, boots, healthMonitor);
        LeaseExpiry leaseExpiry = new LeaseExpiry(context, attempts, unverifiedMachines);
        endpoint = new HeartbeatEndpoint(context, machines, heartbeats, composer, probe, leaseExpiry, healthMonitor);
        registryHooks = new RegistryHooks(context, machines, unverifiedMachines, endpoint);
        cycle = new FleetCycle(
                context,
                new FleetCycle.Parts(
                        machines, unverifiedMachines, tasks, healthMonitor, leaseExpiry, endpoint, probe, dispatcher));
    }

    /** From now on machines are watched. */
    public void start() {
        cycle.start();
    }

    /** Nothing is sent or concluded any more. */
    public void close() {
        cycle.close();
        dispatcher.close();
        probe.close();
    }

    // ---- machines ----

    /** All machines, in the order in which they were heard of. */
    public Iterable<Machine> machines() {
        return machines.all();
    }

    /** Number of machines. */
    public int size() {
        return machines.size();
    }

    /** The machine of that name, or null. */
    public Machine machine(String id) {
        return machines.get(id);
    }

    /** Number of machines that may hold tasks nobody has reported to this leader. */
    public int unaccounted() {
        return unverifiedMachines.left();
    }

    /** True if the machine may hold tasks that nobody has reported to this leader: no more than fit on it. */
    public boolean unaccounted(Machine machine) {
        return machine.unverified();
    }

    /** True while machines that nobody knows may hold tasks of any team, nobody knows how many. */
    public boolean anyUnreadable() {
        return unverifiedMachines.unreadable();
    }

    /** True if tasks may be started on the machine now. */
    public boolean usable(Machine machine, long now) {
        return readiness.usable(machine, now);
    }

    /** True if the machine boots, or only has to be fenced and registered. */
    public boolean coming(Machine machine, long now) {
        return readiness.coming(machine, now);
    }

    /** True if it boots longer than is usual, and so do all like it. */
    public boolean lateWithAll(Machine machine, long now) {
        return readiness.lateWithAll(machine, now);
    }

    /** True if its first heartbeat to this leader is due and many others' are. */
    public boolean unheard(Machine machine, long now) {
        return readiness.unheard(machine, now);
    }

    /** For how many milliseconds nothing has taken room on the machine. */
    public long idleMs(Machine machine, long now) {
        return now - machine.idleSince();
    }

    /** The machine takes no work for a while if there is other room, so that it can be returned to the cloud. */
    public void drain(Machine machine) {
        machine.drainUntil(context.now() + DRAIN_MS);
    }

    /** True while the machine takes no work if there is other room. */
    public boolean draining(Machine machine, long now) {
        return machine.draining(now);
    }

    /** What the evidence says of the machine. */
    public Decision judge(Machine machine, long now) {
        return healthMonitor.judge(machine, now);
    }

    /** When the machine's lease is certainly over. */
    public long leaseEnds(Machine machine) {
        return healthMonitor.leaseEnds(machine);
    }

    /** True if a machine of that name was returned to the cloud lately. */
    public boolean wasReleased(String id) {
        return machines.wasReturned(id);
    }

    /** Adds a machine that was listed; null if its type is not known or it was returned to the cloud. */
    public Machine appeared(String id, String address, String type, String zone, boolean spot) {
        return machines.addIfAbsent(id, address, type, zone, spot);
    }

    /** Adds a machine that has just been rented: its boot is measured. */
    public void rented(String id, String type, String zone, boolean spot) {
        machines.addRented(id, type, zone, spot);
    }

    /** The cloud lists the machine as failed: it stopped on its own. */
    public void failed(Machine machine) {
        machine.listFailed();
    }

    /** The machine is to be returned to the cloud, for that reason: it gets no more starts. */
    public void scaleIn(Machine machine, Decision why) {
        if (why.reason() == Decision.Reason.SETTLED_BY_RETURN) {
            healthMonitor.returned(machine, context.now());
        }
        markLeaving(machine);
    }

    /** The cloud is asked to take the machine back: it gets no more starts. */
    public void markLeaving(Machine machine) {
        if (machine.state() != Machine.State.LEAVING && machine.state() != Machine.State.GONE) {
            machine.to(Machine.State.LEAVING);
        }
    }

    /** The cloud says that the machine and everything on it is gone. */
    public void gone(String id) {
        Machine machine = machines.remove(id);
        if (machine != null) {
            attempts.releaseAll(machine, "the machine is gone");
            unverifiedMachines.accounted(machine);
            context.events().changed();
        }
    }

    /** Answers a worker's heartbeat; the caller has checked that this process leads. */
    public void report(Heartbeat heartbeat, Http.Exchange exchange) {
        endpoint.receive(heartbeat, exchange);
    }

    // ---- jobs and tasks ----

    /** All jobs that are worked on, in the order of their acceptance. */
    public Iterable<ActiveJob> jobs() {
        return jobs.all();
    }

    /** The job of that name, or null if it is not worked on. */
    public ActiveJob job(String id) {
        return jobs.get(id);
    }

    /** Names of the jobs of which an attempt is or may be on a machine. */
    public Set<String> jobsOnMachines() {
        return ActiveJobs.idsOn(machines);
    }

    /** A job is accepted, or was when this leader term began. */
    public void jobAccepted(Job job) {
        jobs.accept(job);
    }

    /** A job is done or cancelled: nothing of it may stay on a machine. */
    public void jobEnded(Job job) {
        jobs.end(job, machines, dispatcher);
    }

    /** Number of tasks that wait for a place. */
    public int waiting() {
        return tasks.waiting();
    }

    /** Number of the job's tasks that wait for a place and are certainly on no machine. */
    public int placeable(ActiveJob job) {
        return tasks.placeable(job);
    }

    /** The job's next waiting task that may be placed, or null. */
    public Task nextPlaceable(ActiveJob job) {
        return tasks.next(job);
    }

    /** Number of tasks that wait until the machines that may hold them are accounted for. */
    public int blocked() {
        return tasks.blocked();
    }

    /** Places a task: its start goes straight to the machine with the next {@link #flush}. */
    public void place(Task task, Machine machine) {
        attempts.place(task, machine);
        dispatcher.touch(machine);
    }

    /** Stops an attempt so that its room is freed; the task becomes pending once it is certainly off. */
    public void stop(Attempt attempt, double graceS) {
        attempts.stop(attempt, graceS);
        dispatcher.touch(attempt.machine());
    }

    /** Sends what has been decided, straight to the machines that need it; what can't be sent now waits for a tick. */
    public void flush() {
        dispatcher.flush();
    }

    /** The finished task is stored: the machine may forget it. */
    public void stored(Task task) {
        if (task.state() == Task.State.FINISHED) {
            task.done();
        }
    }

    RegistryHooks registryHooks() {
        return registryHooks;
    }
}
