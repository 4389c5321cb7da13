package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.landingridge.controller.election.Leadership;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.observability.EventLog;
import org.landingridge.controller.observability.IncidentReport;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.recovery.Action;
import org.landingridge.controller.recovery.Decision;
import org.landingridge.controller.recovery.HeartbeatEvidence;
import org.landingridge.controller.recovery.HeartbeatEvidence.Token;
import org.landingridge.controller.recovery.Reconciliation;
import org.landingridge.controller.recovery.TaskEvidence;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.Commands;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines and what is or may be on them, for one leader term of this controller. Starts are written nowhere: a new
 * leader term rebuilds them from heartbeats, and places no task that an earlier leader could have started before every machine
 * of the roster is fenced, lapsed or gone.
 */
public final class Fleet {
    /** What the fleet tells the rest of the leader term. */
    public interface Events {
        void changed();

        void finished(Task task);

        /** A run that this leader saw from its start to its completion. */
        void completed(Attempt attempt);

        /** The machine's row in the roster must be written anew. */
        void registry(Machine machine);

        /** A machine has reported that nobody knew of. */
        void newcomer();

        /** What pages of the roster that cannot be read told of holds nothing any more. */
        void unreadableOver();
    }

    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    /** How long a machine that is being vacated takes no work if there is other room. */
    private static final long DRAIN_MS = 30_000;
    /** So long a machine that was given back is known as such. */
    private static final long RETURNED_MS = 900_000;

    private static final long TICK_MS = 500;
    /** A tick that comes so much later than it is due was held up by the whole process. */
    private static final long STOOD_STILL_MS = 1_000;
    /** An older report so long after the last word may be the first of a new life; sooner, it has crossed an answer. */
    private static final long DOUBT_MS = 1_000;
    /** A higher token costs a change and a report of every machine. */
    private static final long RAISE_MS = 10_000;

    private static final long RAISE_ANEW_MS = 1_000;
    /** So long, or until there are so many, ended attempts stay on a machine that a copy of their start could run again. */
    private static final long RAISE_KEPT_MS = 60_000;

    private static final int MOST_KEPT = 100;
    /** One in so many machines without a report are many. */
    private static final int MANY = 4;

    private final EventLoop loop;
    private final Leadership lead;
    private final long fencingToken;
    private final Function<String, MachineType> types;
    private final Metrics metrics;
    private final IncidentReport incidents;
    private final EventLog eventLog;
    private final Events events;
    private final long leaseMs;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    /** Machines that were given back, with the time; the oldest first. */
    private final Map<String, Long> returned = new LinkedHashMap<>();

    private final BootTimes boots = new BootTimes();
    private final UnverifiedMachines unverifiedMachines;
    private final AttemptTracker attempts;
    private final HeartbeatHandler heartbeats;
    private final CommandDispatcher dispatcher;
    private final HealthMonitor healthMonitor;
    private long tokenRaised;
    private long ticked;
    private boolean closed;

    /** @param endedSpecs what the tasks of ended jobs take, null where that is not known any more */
    public Fleet(
            EventLoop loop,
            Http http,
            Leadership lead,
            Settings.Workers workers,
            Function<String, MachineType> types,
            Function<String, JobSpec> endedSpecs,
            Policy policy,
            int maxConnections,
            Metrics metrics,
            IncidentReport incidents,
            EventLog eventLog,
            Events events) {
        this.loop = loop;
        this.lead = lead;
        this.fencingToken = lead.token();
        this.types = types;
        this.metrics = metrics;
        this.incidents = incidents;
        this.eventLog = eventLog;
        this.events = events;
        // Clocks differ by 0.05 % and our 200 was written after the report was sent: both err on the safe side.
        this.leaseMs = (long) (workers.leaseS() * 1000 * 1.002) + 250;
        FleetContext context = new FleetContext(
                loop,
                http,
                lead,
                fencingToken,
                metrics,
                incidents,
                eventLog,
                events,
                leaseMs,
                Math.round(workers.reportS() * 1000));
        unverifiedMachines = new UnverifiedMachines(context);
        attempts = new AttemptTracker(context, jobs, endedSpecs, new FailureAttribution(context, machines::get));
        heartbeats = new HeartbeatHandler(context, attempts, unverifiedMachines, boots);
        dispatcher = new CommandDispatcher(context, jobs, heartbeats, maxConnections);
        healthMonitor = new HealthMonitor(
                context, unverifiedMachines, boots, Math.round(policy.bootMarginS() * 1000), policy.settleShare());
    }

    public void start() {
        healthMonitor.awake(loop.now());
        ticked = loop.now();
        tokenRaised = loop.now();
        tick();
    }

    public void close() {
        closed = true;
        dispatcher.close();
    }

    public Iterable<Machine> machines() {
        return machines.values();
    }

    public int size() {
        return machines.size();
    }

    public Machine machine(String id) {
        return machines.get(id);
    }

    public Iterable<ActiveJob> jobs() {
        return jobs.values();
    }

    public ActiveJob job(String id) {
        return jobs.get(id);
    }

    /** Tasks that wait for a place. */
    public int waiting() {
        int sum = 0;
        for (ActiveJob j : jobs.values()) {
            sum += j.job().ready() ? j.count(Task.State.PENDING) : 0;
        }
        return sum;
    }

    public int unaccounted() {
        return unverifiedMachines.left();
    }

    /**
     * Tasks that wait for a place and are certainly on no machine. An earlier leader had each task in one place at most:
     * what this leader term has seen on a fenced machine and then lost is accounted for, whatever other machines may hold.
     */
    public int placeable(ActiveJob job) {
        if (!job.job().ready()) {
            return 0;
        }
        boolean held = unverifiedMachines.mayHold(job.spec());
        if (placeable(job, false, held)) {
            return job.count(Task.State.PENDING);
        }
        int n = 0;
        for (Task t : job.touched()) {
            n += t.state() == Task.State.PENDING && placeable(job, t.accounted, held) ? 1 : 0;
        }
        return n;
    }

    private static boolean placeable(ActiveJob job, boolean accounted, boolean held) {
        return Reconciliation.task(new TaskEvidence(job.own, accounted, held)).is(Action.PLACE);
    }

    /** True if the machine may hold tasks that nobody has reported to this leader: no more than fit on it. */
    public boolean unaccounted(Machine m) {
        return m.unverified;
    }

    /** Jobs of which an attempt is or may be on a machine. */
    public Set<String> jobsOnMachines() {
        Set<String> ids = new HashSet<>();
        for (Machine m : machines.values()) {
            for (Attempt a : m.attempts.values()) {
                ids.add(a.job);
            }
        }
        return ids;
    }

    /**
     * True if tasks may be started on the machine now. One that answers calls and whose heartbeats do not come keeps nothing for
     * longer than its lease, which a call does not renew.
     */
    public boolean usable(Machine m, long now) {
        return m.state() == Machine.State.UP
                && m.fenced
                && m.written
                && m.noticeS == null
                && now >= m.avoidUntil
                && now - m.reported < leaseMs / 2;
    }

    /** True if the machine is on its way, or only has to be fenced and written. */
    public boolean coming(Machine m, long now) {
        // One that does not come up while others do is replaced before it is given up.
        return m.state() == Machine.State.BOOTING && m.noticeS == null && !boots.left(m, now)
                || m.state() == Machine.State.UP && !(m.fenced && m.written) && m.noticeS == null;
    }

    /** True if it boots longer than is usual, and so do all like it. */
    public boolean lateWithAll(Machine m, long now) {
        return m.state() == Machine.State.BOOTING && m.rented && boots.allLate(m, now);
    }

    /**
     * True if its first report to this leader is due and many others' are. Once most have come in, who is missing has
     * likely lost what it held.
     */
    public boolean unheard(Machine m, long now) {
        return m.unverified
                && unverifiedMachines.left() * MANY > unverifiedMachines.asked()
                && healthMonitor.judge(m, now).reason() == Decision.Reason.REPORT_DUE;
    }

    /** For how long a machine on which nothing takes room has been so. */
    public long idleMs(Machine m, long now) {
        return now - m.idleSince;
    }

    /** The machine's tasks move elsewhere, so that it can be given back. */
    public void drain(Machine m) {
        m.drainUntil = loop.now() + DRAIN_MS;
    }

    public boolean draining(Machine m, long now) {
        return now < m.drainUntil;
    }

    /** What the evidence says of the machine. */
    public Decision judge(Machine m, long now) {
        return healthMonitor.judge(m, now);
    }

    /** The machine is to go back, by its judgement: it gets no more starts. */
    public void giveBack(Machine m, Decision why) {
        if (why.reason() == Decision.Reason.SETTLED_BY_RETURN) {
            healthMonitor.returned(m, loop.now());
            metrics.settled.increment();
            eventLog.emit("settled", "machine", m.id, "zone", m.zone, "silentMs", silentMs(m), "held", m.live());
        }
        leaving(m);
    }

    /** The cloud lists the machine as failed: it stopped on its own. */
    public void failed(Machine m) {
        m.listedFailed = true;
    }

    /** The job's next waiting task that may be placed, or null. */
    public Task nextPlaceable(ActiveJob job) {
        // The one door to every start: whatever asks, nothing of a job begins before all that it needs is stored as
        // done.
        if (!job.job().ready()) {
            return null;
        }
        boolean held = unverifiedMachines.mayHold(job.spec());
        boolean clear = placeable(job, false, held);
        for (int tried = 0; tried < job.size(); tried++) {
            int index = job.next;
            job.next = (index + 1) % job.size();
            if (job.untouched(index)) {
                if (clear) {
                    return job.task(index);
                }
            } else {
                Task t = job.task(index);
                if (t.state() == Task.State.PENDING && placeable(job, t.accounted, held)) {
                    return t;
                }
            }
        }
        return null;
    }

    public boolean wasReleased(String id) {
        return returned.containsKey(id);
    }

    // ---- what the leader term tells the fleet ----

    /**
     * Adds a machine of the roster, as read at the election.
     *
     * @param silentSince no earlier leader has answered its heartbeats since then, by the loop's clock
     */
    public void fromRoster(String id, String addr, String type, String zone, boolean spot, long silentSince) {
        MachineType kind = types.apply(type);
        Machine m = new Machine(id, addr, kind, zone, spot, loop.now());
        if (addr != null) {
            m.written = true;
            m.answered = Math.min(silentSince, lead.quiescentSince());
            m.answeredBefore = m.answered;
            unverifiedMachines.add(m);
        }
        machines.put(id, m);
    }

    /** A page of the roster cannot be read: machines that nobody knows may hold anything, for as long as a lease lasts. */
    void unreadable() {
        unverifiedMachines.unreadable(lead.quiescentSince() + leaseMs);
    }

    /** True while machines that nobody knows may hold tasks of any team, nobody knows how many. */
    public boolean anyUnreadable() {
        return unverifiedMachines.unreadable();
    }

    boolean knows(String type) {
        return types.apply(type) != null;
    }

    /** Adds a machine that was rented, listed or heard of; the caller has it written before anything is started. */
    public Machine appeared(String id, String addr, String type, String zone, boolean spot) {
        MachineType kind = types.apply(type);
        if (kind == null || returned.containsKey(id)) {
            return null;
        }
        Machine known = machines.get(id);
        if (known != null) {
            if (known.addr == null) {
                known.addr = addr;
            }
            return known;
        }
        Machine m = new Machine(id, addr, kind, zone, spot, loop.now());
        machines.put(id, m);
        events.registry(m);
        return m;
    }

    /** Adds a machine that a rent has just brought: its boot is measured. */
    public void rented(String id, String type, String zone, boolean spot) {
        boolean known = machines.containsKey(id);
        Machine m = appeared(id, null, type, zone, spot);
        if (m != null && !known) {
            m.rented = true;
        }
    }

    /** Milliseconds since one of its heartbeats was answered last. */
    long silentMs(Machine m) {
        return loop.now() - m.answered;
    }

    /** The token under which this leader term began. */
    long token() {
        return fencingToken;
    }

    public void written(Machine m) {
        m.written = true;
        events.changed();
    }

    /** Marks a machine as being given back: it gets no more starts. */
    public void leaving(Machine m) {
        if (m.state() != Machine.State.LEAVING && m.state() != Machine.State.GONE) {
            m.to(Machine.State.LEAVING);
        }
    }

    /** The cloud says that the machine and everything on it is gone. */
    public void gone(String id) {
        returned.put(id, loop.now());
        Machine m = machines.remove(id);
        if (m != null) {
            m.to(Machine.State.GONE);
            attempts.releaseAll(m, "the machine is gone");
            unverifiedMachines.accounted(m);
            events.changed();
        }
    }

    public void jobAccepted(Job job) {
        jobs.put(job.id(), new ActiveJob(job, job.created() > fencingToken, loop.now()));
        events.changed();
    }

    /** A job is done or cancelled: nothing of it may stay on a machine. */
    public void jobEnded(Job job) {
        jobs.remove(job.id());
        for (Machine m : machines.values()) {
            boolean some = false;
            for (Attempt a : m.attempts.values()) {
                if (a.job.equals(job.id())) {
                    attempts.disown(a);
                    // Its user may have been told at any time since all cancellations were known last.
                    a.offBy = job.status() == Job.Status.CANCELLED ? lead.freshnessDeadline() : a.offBy;
                    some = true;
                }
            }
            if (some) {
                dispatcher.callDirect(m);
            }
        }
        events.changed();
    }

    /** Places a task: its start goes out at once, straight to the machine. */
    public void place(Task task, Machine m) {
        attempts.place(task, m);
        dispatcher.touch(m);
    }

    /** Stops an attempt so that its room is freed; the task becomes pending once it is certainly off. */
    public void stop(Attempt a, double graceS) {
        attempts.stop(a, graceS);
        dispatcher.touch(a.machine);
    }

    /** Sends what has been decided, straight to the machines that need it; what can't be sent now waits for a tick. */
    public void flush() {
        dispatcher.flush();
    }

    /** The finished task is stored: the machine may forget it. */
    public void stored(Task task) {
        if (task.state() == Task.State.FINISHED) {
            task.to(Task.State.DONE, null, loop.now());
        }
    }

    // ---- heartbeats ----

    /** Answers a worker's report; the caller has checked that this process leads. */
    public void report(Heartbeat r, Http.Exchange exchange) {
        Machine known = machines.get(r.machine());
        Decision decision = Reconciliation.heartbeat(new HeartbeatEvidence(
                returned.containsKey(r.machine()),
                known == null || HeartbeatHandler.newer(known, r),
                Token.of(r.token(), lead.token())));
        if (decision.is(Action.ASK)) {
            // The worker would drop our 200, and its lease would run out while it stays with us.
            lead.suspect();
        }
        if (decision.is(Action.ASK) || decision.reason() == Decision.Reason.GIVEN_BACK) {
            exchange.answer(503, error(decision.reason().text()));
            return;
        }
        Machine m = appeared(r.machine(), r.addr(), r.type(), r.zone(), r.spot());
        if (known == null && m != null) {
            events.newcomer();
        }
        if (m == null) {
            exchange.answer(503, error("unknown machine type"));
            return;
        }
        boolean news = heartbeats.merge(m, r, true);
        if (news && m.unverified && !m.fenced) {
            hasNotHeardUs(m, r.session());
        }
        if (!news && (m.older > 1 || loop.now() - m.heard > DOUBT_MS)) {
            // Its answer tells a late report from a machine that has begun anew.
            dispatcher.ask(m);
        }
        if (m.contact() != Machine.Contact.HEARD) {
            // A later leader may count its lease from before: it must read first that this one is answered again.
            if (m.waiting != null) {
                m.waiting.answer(503, error("a newer report has come"));
            }
            m.waiting = exchange;
            return;
        }
        if (dispatcher.mustLapse(m, loop.now())) {
            // A start that is held up on the way, of a job that is cancelled: only the end of the session stops it now.
            exchange.answer(503, error("a start of a cancelled job may still arrive here"));
            return;
        }
        answer(m, news ? dispatcher.commands(m, r.seq()) : new Commands(), exchange);
    }

    /**
     * A machine of the registry sends heartbeats and shows no token of ours. A worker has one report in flight and drops late answers, so
     * whatever we answered before has not reached it: its lease is that of the earlier leader. Without this one that is deaf,
     * and whose heartbeats all come, would count as alive with what it held for as long as it is so.
     */
    private void hasNotHeardUs(Machine m, long session) {
        m.answered = m.answeredBefore;
        if (loop.now() > leaseEnds(m)) {
            lapse(m);
            // Nothing that it said so far counts any more; what it says once it has heard us does.
            m.lifeAbove = Math.max(m.lifeAbove, fencingToken - 1);
            m.session = session;
        }
    }

    private void answer(Machine m, Commands commands, Http.Exchange exchange) {
        // The right is checked last: a 200 renews the lease, so it may only be given by the leader.
        if (!lead.mayAct()) {
            exchange.answer(503, error("not entitled to act"));
            return;
        }
        m.answered = loop.now();
        exchange.answer(200, commands.answer(lead.token()));
    }

    /** A silent machine's row is to tell for how long it has been so, before a later leader needs to know. */
    private void mute(Machine m) {
        if (m.contact() != Machine.Contact.MUTED
                && m.written
                && (m.state() == Machine.State.UP || m.unverified)
                && lead.state() == Leadership.State.LEADING) {
            m.to(Machine.Contact.MUTED);
            events.registry(m);
        }
    }

    /** The row is stored without a silence: the machine is answered again. */
    void speaks(Machine m) {
        m.to(Machine.Contact.HEARD);
        m.told = false;
        if (m.waiting != null) {
            Http.Exchange waiting = m.waiting;
            m.waiting = null;
            answer(m, new Commands(), waiting);
        }
    }

    private static byte[] error(String text) {
        return Json.bytes(Json.object().put("error", text));
    }

    // ---- time ----

    private void tick() {
        if (closed) {
            return;
        }
        long now = loop.now();
        boolean stuck = false;
        boolean anew = false;
        int kept = 0;
        // A process that stood still while its clocks ran on has heard nobody: that says nothing of the machines.
        if (now - ticked > TICK_MS + STOOD_STILL_MS) {
            LOG.info("stood still for {} ms", now - ticked - TICK_MS);
            incidents.record("this controller stood still for " + (now - ticked - TICK_MS) + " ms");
            healthMonitor.awake(now);
        }
        ticked = now;
        if (unverifiedMachines.unreadableOver(now)) {
            events.unreadableOver();
        }
        healthMonitor.look(machines.values(), unverifiedMachines.left() > 0 && anyHeld(), now);
        for (Machine m : new ArrayList<>(machines.values())) {
            switch (healthMonitor.judge(m, now).action()) {
                case PLACE -> lapse(m);
                case ASK -> {
                    dispatcher.ask(m);
                    if (m.unanswered > 0) {
                        mute(m);
                    }
                }
                default -> {}
            }
            stuck |= m.state() == Machine.State.UP && dispatcher.withdrawn(m, now);
            kept = Math.max(kept, dispatcher.kept(m));
            // One whose lease ran out unheard is not asked: it may well be gone for good, and says when it is back.
            if (m.life() == Machine.Incarnation.ANEW && (m.state() != Machine.State.LAPSED || m.older > 0)) {
                anew |= lead.token() <= m.lifeAbove;
                dispatcher.ask(m);
            }
            dispatcher.callDirect(m);
        }
        // Lists lag, and heartbeats may come minutes late: after that a name that was given back is not heard of any
        // more.
        Iterator<Long> returns = returned.values().iterator();
        while (returns.hasNext() && now - returns.next() > RETURNED_MS) {
            returns.remove();
        }
        if ((stuck || kept > MOST_KEPT) && now - tokenRaised > RAISE_MS
                || kept > 0 && now - tokenRaised > RAISE_KEPT_MS
                || anew && now - tokenRaised > RAISE_ANEW_MS) {
            tokenRaised = now;
            lead.raiseToken();
        }
        loop.after(TICK_MS, this::tick);
    }

    /** True if tasks of earlier leaders' jobs wait. */
    private boolean anyHeld() {
        for (ActiveJob job : jobs.values()) {
            if (!job.own && job.job().ready() && job.count(Task.State.PENDING) > 0) {
                return true;
            }
        }
        return false;
    }

    /** Tasks that wait until the machines that may hold them are accounted for. */
    public int held() {
        int sum = 0;
        for (ActiveJob job : jobs.values()) {
            sum += unverifiedMachines.left() == 0 || !job.job().ready()
                    ? 0
                    : job.count(Task.State.PENDING) - placeable(job);
        }
        return sum;
    }

    /** When, by the loop's clock, the machine's lease is certainly over. */
    public long leaseEnds(Machine m) {
        return healthMonitor.leaseEnds(m);
    }

    private void lapse(Machine m) {
        // One that this leader never heard is no machine on its way either: counted as such, nothing was rented in its
        // place.
        if (m.state() == Machine.State.UP || m.unverified && m.state() == Machine.State.BOOTING) {
            LOG.info("{} is silent: its lease has run out", m.id);
            metrics.lapses.increment();
            int held = m.live();
            eventLog.emit("lapsed", "machine", m.id, "zone", m.zone, "held", held);
            incidents.record(m.id + " fell silent and its lease ran out"
                    + (held > 0 ? "; " + held + " tasks are started elsewhere" : ""));
            m.to(Machine.State.LAPSED);
            if (!m.everHeard()) {
                // Which session ended nobody knows. What was reported in it may still arrive, after the first word of a
                // life that
                // began since: only a higher token tells them apart.
                m.to(Machine.Incarnation.ANEW);
                m.lifeAbove = lead.token();
                m.older = 0;
            }
            // What is still reported under the old session was sent before the lease ran out.
            m.session++;
            m.seq = -1;
        }
        unverifiedMachines.accounted(m);
        if (m.written) {
            // From here on it holds nothing; it must be written anew before it is given anything again.
            m.written = false;
            m.to(Machine.Contact.HEARD);
            m.told = false;
            if (m.waiting != null) {
                m.waiting.answer(503, error("its lease is over"));
                m.waiting = null;
            }
            events.registry(m);
        }
        if (!m.attempts.isEmpty()) {
            attempts.releaseAll(m, "its lease ran out");
        }
        events.changed();
    }
}
