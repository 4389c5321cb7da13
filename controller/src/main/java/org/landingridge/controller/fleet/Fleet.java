package org.landingridge.controller.fleet;

import java.util.Set;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.net.Http;
import org.landingridge.wire.Heartbeat;

/**
 * The machines and the attempts that are or may be on them, for one leader term of this controller. Starts are not stored: a new
 * leader term rebuilds them from heartbeats. A task that an earlier leader could have started is not placed until every machine
 * of the registry that may hold it is fenced, expired or gone. Times are in milliseconds on the event loop's clock.
 */
public final class Fleet {
    /** Callbacks to the rest of the leader term. */
    public interface Events {
        /** Called when something that scheduling depends on has changed. */
        void changed();

        /** Called when the task has ended with a result, which is to be stored. */
        void taskFinished(Task task);

        /** Called when an attempt completes that this leader has observed since its start. */
        void attemptCompleted(Attempt attempt);

        /** Called when the machine's row in the registry must be written again. */
        void registryRowChanged(Machine machine);

        /** Called when a heartbeat of an unknown machine arrives. */
        void unknownMachineReported();

        /** Called when the leases of the machines of unreadable registry pages have expired. */
        void unreadablePagesExpired();
    }

    /** Duration of a drain request. */
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

    /** Creates a fleet without machines and jobs; it does nothing before {@link #start}. */
    public Fleet(FleetParameters parameters, Events events) {
        context = FleetContext.of(parameters, events);
        jobs = new ActiveJobs(context);
        unverifiedMachines = new UnverifiedMachines(context);
        machines = new MachineTable(context, parameters.types(), unverifiedMachines);
        tasks = new PlaceableTasks(jobs, unverifiedMachines);
        attempts =
                new AttemptTracker(context, jobs, parameters.endedSpecs(), new FailureAttribution(context, machines));
        BootTimes bootTimes = new BootTimes();
        HeartbeatHandler heartbeatHandler = new HeartbeatHandler(context, attempts, unverifiedMachines, bootTimes);
        CommandComposer composer = new CommandComposer(context, jobs);
        dispatcher = new CommandDispatcher(context, heartbeatHandler, composer, parameters.maxConnections());
        probe = new MachineProbe(context, heartbeatHandler, parameters.maxConnections());
        healthMonitor = new HealthMonitor(
                context,
                unverifiedMachines,
                bootTimes,
                Math.round(parameters.policy().bootMarginS() * 1000),
                parameters.policy().settleShare());
        readiness = new MachineReadiness(context, unverifiedMachines, bootTimes, healthMonitor);
        LeaseExpiry leaseExpiry = new LeaseExpiry(context, attempts, unverifiedMachines);
        endpoint =
                new HeartbeatEndpoint(context, machines, heartbeatHandler, composer, probe, leaseExpiry, healthMonitor);
        registryHooks = new RegistryHooks(context, machines, unverifiedMachines, endpoint);
        cycle = new FleetCycle(
                context,
                new FleetCycle.Parts(
                        machines, unverifiedMachines, tasks, healthMonitor, leaseExpiry, endpoint, probe, dispatcher));
    }

    /** Starts the periodic pass over the machines. */
    public void start() {
        cycle.start();
    }

    /** Stops all calls to machines and the periodic pass. */
    public void close() {
        cycle.close();
        dispatcher.close();
        probe.close();
    }

    // ---- machines ----

    /** Returns all machines in the order of their addition. */
    public Iterable<Machine> machines() {
        return machines.all();
    }

    /** Returns the number of machines. */
    public int size() {
        return machines.size();
    }

    /** Returns the machine with that identifier, or null. */
    public Machine machine(String id) {
        return machines.get(id);
    }

    /** Returns the number of machines that may hold tasks that no heartbeat has shown to this leader. */
    public int unverified() {
        return unverifiedMachines.remaining();
    }

    /** Returns true if the machine may hold tasks, up to its capacity, that no heartbeat has shown to this leader. */
    public boolean unverified(Machine machine) {
        return machine.unverified();
    }

    /** Returns true while machines of unreadable registry pages may hold an unknown number of tasks of any team. */
    public boolean hasUnreadablePages() {
        return unverifiedMachines.hasUnreadablePages();
    }

    /** Returns true if tasks may be started on the machine now. */
    public boolean isUsable(Machine machine, long now) {
        return readiness.isUsable(machine, now);
    }

    /** Returns true if the machine is booting, or is up and only has to be fenced and registered. */
    public boolean isComingUp(Machine machine, long now) {
        return readiness.isComingUp(machine, now);
    }

    /** Returns true if the machine, and all machines of its kind, take unusually long to boot. */
    public boolean isLateWithPool(Machine machine, long now) {
        return readiness.isLateWithPool(machine, now);
    }

    /** Returns true if the machine's first heartbeat to this leader is due and many other machines' are too. */
    public boolean awaitsFirstHeartbeat(Machine machine, long now) {
        return readiness.awaitsFirstHeartbeat(machine, now);
    }

    /** Returns the time for which no task has occupied resources on the machine, in milliseconds. */
    public long idleMs(Machine machine, long now) {
        return now - machine.idleSince();
    }

    /** Drains the machine for a while: it gets no tasks if other machines have capacity, so that it can be returned. */
    public void drain(Machine machine) {
        machine.drainUntil(context.now() + DRAIN_MS);
    }

    /** Returns true while the machine is drained. */
    public boolean draining(Machine machine, long now) {
        return machine.draining(now);
    }

    /** Returns the decision on the machine from the present evidence. */
    public Decision decide(Machine machine, long now) {
        return healthMonitor.decide(machine, now);
    }

    /** Returns the time after which the machine's lease has expired for certain. */
    public long leaseExpiresAt(Machine machine) {
        return healthMonitor.leaseExpiresAt(machine);
    }

    /** Returns true if the machine with that identifier was returned to the cloud within the last 15 minutes. */
    public boolean wasReturned(String id) {
        return machines.wasReturned(id);
    }

    /** Adds a machine that the cloud lists; returns null if its type is unknown or it has been returned. */
    public Machine addListed(String id, String address, String type, String zone, boolean spot) {
        return machines.addIfAbsent(id, address, type, zone, spot);
    }

    /** Adds a machine that has just been rented, and measures its boot time. */
    public void addRented(String id, String type, String zone, boolean spot) {
        machines.addRented(id, type, zone, spot);
    }

    /** Records that the cloud lists the machine as failed: it stopped on its own. */
    public void markListedFailed(Machine machine) {
        machine.markListedFailed();
    }

    /** Records the decision to return the machine to the cloud: no more tasks are started on it. */
    public void recordReturnDecision(Machine machine, Decision decision) {
        if (decision.reason() == Decision.Reason.SETTLED_BY_RETURN) {
            healthMonitor.recordReturn(machine, context.now());
        }
        markLeaving(machine);
    }

    /** Records that the return of the machine to the cloud has been requested: no more tasks are started on it. */
    public void markLeaving(Machine machine) {
        if (machine.state() != Machine.State.LEAVING && machine.state() != Machine.State.GONE) {
            machine.transitionTo(Machine.State.LEAVING);
        }
    }

    /** Removes a machine that, according to the cloud, is gone with everything on it. */
    public void removeGone(String id) {
        Machine machine = machines.remove(id);
        if (machine != null) {
            attempts.releaseAll(machine, "the machine is gone");
            unverifiedMachines.markVerified(machine);
            context.events().changed();
        }
    }

    /** Handles a worker's heartbeat; the caller has checked that this process is the leader. */
    public void receiveHeartbeat(Heartbeat heartbeat, Http.Exchange exchange) {
        endpoint.receive(heartbeat, exchange);
    }

    // ---- jobs and tasks ----

    /** Returns all active jobs in the order of their acceptance. */
    public Iterable<ActiveJob> jobs() {
        return jobs.all();
    }

    /** Returns the active job with that identifier, or null. */
    public ActiveJob job(String id) {
        return jobs.get(id);
    }

    /** Returns the identifiers of the jobs with an attempt that is or may be on a machine. */
    public Set<String> jobsOnMachines() {
        return ActiveJobs.jobIdsOn(machines);
    }

    /** Adds a job that was accepted now or in an earlier leader term. */
    public void jobAccepted(Job job) {
        jobs.add(job);
    }

    /** Ends a job that is done or cancelled: its attempts are removed from all machines. */
    public void jobEnded(Job job) {
        jobs.end(job, machines, dispatcher);
    }

    /** Returns the number of pending tasks. */
    public int pendingTasks() {
        return tasks.pendingCount();
    }

    /** Returns the number of the job's pending tasks that are certainly on no machine. */
    public int placeableTasks(ActiveJob job) {
        return tasks.placeableCount(job);
    }

    /** Returns the job's next pending task that may be placed, or null. */
    public Task nextPlaceable(ActiveJob job) {
        return tasks.nextPlaceable(job);
    }

    /** Returns the number of pending tasks that an unverified machine may hold. */
    public int blockedTasks() {
        return tasks.blockedCount();
    }

    /** Places a task: the next {@link #flush} sends its start to the machine by a direct call. */
    public void place(Task task, Machine machine) {
        attempts.place(task, machine);
        dispatcher.enqueue(machine);
    }

    /** Stops an attempt, with time for saving its state; the task becomes pending once the attempt has certainly ended. */
    public void stop(Attempt attempt, double graceS) {
        attempts.stop(attempt, graceS);
        dispatcher.enqueue(attempt.machine());
    }

    /** Sends the pending commands to their machines by direct calls; those that cannot be sent now wait for the next tick. */
    public void flush() {
        dispatcher.flush();
    }

    /** Records that the task's result is stored: its machine may drop the attempt. */
    public void resultStored(Task task) {
        if (task.state() == Task.State.FINISHED) {
            task.markDone();
        }
    }

    RegistryHooks registryHooks() {
        return registryHooks;
    }
}
