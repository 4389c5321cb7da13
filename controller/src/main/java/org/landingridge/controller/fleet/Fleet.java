package org.landingridge.controller.fleet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.landingridge.controller.config.Settings;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.lead.Leadership;
import org.landingridge.controller.obs.IncidentReport;
import org.landingridge.controller.obs.Metrics;
import org.landingridge.net.Http;
import org.landingridge.net.Loop;
import org.landingridge.wire.BadMessage;
import org.landingridge.wire.Commands;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines and what is or may be on them, for one reign of this controller. Starts are written nowhere: a new
 * reign rebuilds them from reports, and places no task that an earlier leader could have started before every machine
 * of the roster is fenced, lapsed or gone.
 */
public final class Fleet {
    /** What the fleet tells the rest of the reign. */
    public interface Events {
        void changed();

        void finished(Task task);

        /** A run that this leader saw from its start to its completion. */
        void completed(Attempt attempt);

        /** The machine's row in the roster must be written anew. */
        void roster(Machine machine);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final long CALL_MS = 1_500;
    /** How long a machine that is being vacated takes no work if there is other room. */
    private static final long DRAIN_MS = 30_000;
    /**
     * Census calls at a time. At a takeover every worker reports by itself within a report or two, and those answers
     * save leases: calls to hundreds of machines at once would keep the thread from them for seconds.
     */
    private static final int CENSUS_CALLS = 12;
    private final Loop loop;
    private final Http http;
    private final Leadership lead;
    private final long reignToken;
    private final Function<String, MachineType> types;
    private final Metrics metrics;
    private final IncidentReport incidents;
    private final Events events;
    private final long leaseMs;
    private final long reportMs;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, LiveJob> jobs = new LinkedHashMap<>();
    private final Set<Machine> touched = new LinkedHashSet<>();
    private final Set<String> returned = new HashSet<>();
    private final BootTimes boots = new BootTimes();
    private Function<String, JobSpec> endedSpecs = id -> null;
    private int census;
    /** Census calls that are out. */
    private int calling;
    private long began;
    private long attempts;
    private long tokenRaised = Long.MIN_VALUE / 2;
    private boolean closed;

    public Fleet(Loop loop, Http http, Leadership lead, Settings.Workers workers, Function<String, MachineType> types,
            Metrics metrics, IncidentReport incidents, Events events) {
        this.loop = loop;
        this.http = http;
        this.lead = lead;
        this.reignToken = lead.token();
        this.types = types;
        this.metrics = metrics;
        this.incidents = incidents;
        this.events = events;
        // Clocks differ by 0.05 % and our 200 was written after the report was sent: both err on the safe side.
        this.leaseMs = (long) (workers.leaseS() * 1000 * 1.002) + 250;
        this.reportMs = Math.round(workers.reportS() * 1000);
    }

    public void start() {
        began = loop.now();
        tick();
    }

    public void close() {
        closed = true;
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

    public Iterable<LiveJob> jobs() {
        return jobs.values();
    }

    public LiveJob job(String id) {
        return jobs.get(id);
    }

    /** Tasks that wait for a place. */
    public int waiting() {
        int sum = 0;
        for (LiveJob j : jobs.values()) {
            sum += j.count(Task.State.PENDING);
        }
        return sum;
    }

    public int unaccounted() {
        return census;
    }

    /**
     * Tasks that wait for a place and are certainly on no machine. An earlier leader had each task in one place at most:
     * what this reign has seen on a fenced machine and then lost is accounted for, whatever other machines may hold.
     */
    public int placeable(LiveJob job) {
        if (job.own || census == 0) {
            return job.count(Task.State.PENDING);
        }
        int n = 0;
        for (Task t : job.touched()) {
            n += placeable(t) ? 1 : 0;
        }
        return n;
    }

    private boolean placeable(Task t) {
        return t.state() == Task.State.PENDING && (t.accounted || t.job.own || census == 0);
    }

    /** True if the machine may hold tasks that nobody has reported to this leader: no more than fit on it. */
    public boolean unaccounted(Machine m) {
        return m.inCensus;
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

    /** How to learn what the tasks of an ended job take. */
    public void endedSpecs(Function<String, JobSpec> lookup) {
        endedSpecs = lookup;
    }

    /** True if tasks may be started on the machine now. */
    public boolean usable(Machine m, long now) {
        return m.state() == Machine.State.UP && m.fenced && m.written && m.noticeS == null && now >= m.avoidUntil
                && now - m.heard < leaseMs / 2;
    }

    /** True if the machine is on its way, or only has to be fenced and written. */
    public boolean coming(Machine m, long now) {
        return m.state() == Machine.State.BOOTING && m.noticeS == null
                || m.state() == Machine.State.UP && !(m.fenced && m.written) && m.noticeS == null;
    }

    public long idleMs(Machine m, long now) {
        return m.hasLive() ? 0 : now - m.idleSince;
    }

    /** The machine's tasks move elsewhere, so that it can be given back. */
    public void drain(Machine m) {
        m.drainUntil = loop.now() + DRAIN_MS;
    }

    public boolean draining(Machine m, long now) {
        return now < m.drainUntil;
    }

    /** True if the machine should go back: it never came up, is silent long after its lease, or fails its tasks. */
    public boolean overdue(Machine m, long now, long marginMs) {
        return switch (m.state()) {
            case BOOTING -> !m.inCensus && now - m.appeared > boots.usualMostMs(m.kind) + marginMs;
            case LAPSED -> now - m.answered > leaseMs + marginMs;
            case UP -> m.errors >= 4 && !m.hasLive();
            default -> false;
        };
    }

    /** The cloud lists the machine as failed: it stopped on its own. */
    public void failed(Machine m) {
        if (m.state() == Machine.State.UP && loop.now() - m.heard > 4_000) {
            m.avoidUntil = loop.now() + leaseMs;
        } else if (m.state() == Machine.State.BOOTING) {
            m.appeared = Long.MIN_VALUE / 2;
        }
    }

    /** The job's next waiting task that may be placed, or null. */
    public Task nextPlaceable(LiveJob job) {
        boolean clear = job.own || census == 0;
        for (int tried = 0; tried < job.size(); tried++) {
            int index = job.next;
            job.next = (index + 1) % job.size();
            if (job.untouched(index) ? clear : placeable(job.task(index))) {
                return job.task(index);
            }
        }
        return null;
    }

    public boolean wasReturned(String id) {
        return returned.contains(id);
    }

    // ---- what the reign tells the fleet ----

    /** Adds a machine of the roster, as read at the election. */
    public void fromRoster(String id, String addr, String type, String zone, boolean spot) {
        MachineType kind = types.apply(type);
        Machine m = new Machine(id, addr, kind, zone, spot, loop.now());
        if (addr != null) {
            m.written = true;
            m.inCensus = true;
            m.answered = lead.silentSince();
            census++;
        }
        machines.put(id, m);
    }

    /** Adds a machine that was rented, listed or heard of; the caller has it written before anything is started. */
    public Machine appeared(String id, String addr, String type, String zone, boolean spot) {
        MachineType kind = types.apply(type);
        if (kind == null || returned.contains(id)) {
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
        events.roster(m);
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
        returned.add(id);
        Machine m = machines.remove(id);
        if (m != null) {
            m.to(Machine.State.GONE);
            releaseAll(m, "the machine is gone");
            accounted(m);
            events.changed();
        }
    }

    public void jobAccepted(Job job) {
        jobs.put(job.id(), new LiveJob(job, job.created() > reignToken, loop.now()));
        events.changed();
    }

    /** A job is done or cancelled: nothing of it may stay on a machine. */
    public void jobEnded(Job job) {
        jobs.remove(job.id());
        for (Machine m : machines.values()) {
            boolean some = false;
            for (Attempt a : m.attempts.values()) {
                if (a.job.equals(job.id())) {
                    disown(a);
                    some = true;
                }
            }
            if (some) {
                callDirect(m);
            }
        }
        events.changed();
    }

    /** Places a task: its start goes out at once, straight to the machine. */
    public void place(Task task, Machine m) {
        long number = (reignToken << 22) + ++attempts;
        Attempt a = new Attempt(m, task.job.id(), task.index, number, task.job.spec(), task, loop.now());
        m.attempts.put(number, a);
        m.used(a.spec.image());
        touched.add(m);
        task.to(Task.State.ON_MACHINE, a, loop.now());
        LOG.debug("placing {} on {}", a.name(), m.id);
    }

    /** Stops an attempt so that its room is freed; the task becomes pending once it is certainly off. */
    public void stop(Attempt a, double graceS) {
        if (!a.stopWanted) {
            LOG.debug("stopping {} on {}", a.name(), a.machine.id);
            a.stopWanted = true;
            a.graceS = graceS;
            touched.add(a.machine);
        }
    }

    /** Sends what has been decided, straight to the machines that need it; what can't be sent now waits for a tick. */
    public void flush() {
        touched.forEach(this::callDirect);
        touched.clear();
    }

    /** The finished task is stored: the machine may forget it. */
    public void stored(Task task) {
        if (task.state() == Task.State.FINISHED) {
            task.to(Task.State.DONE, null, loop.now());
        }
    }

    // ---- reports ----

    /** Answers a worker's report; the caller has checked that this process leads. */
    public void report(Report r, Http.Exchange exchange) {
        if (returned.contains(r.machine())) {
            exchange.answer(503, error("this machine has been given back"));
            return;
        }
        Machine m = appeared(r.machine(), r.addr(), r.type(), r.zone(), r.spot());
        if (m == null) {
            exchange.answer(503, error("unknown machine type"));
            return;
        }
        boolean news = merge(m, r, true);
        Commands commands = news ? commands(m, r.seq()) : new Commands();
        // The right is checked last: a 200 renews the lease, so it may only be given by the leader.
        if (!lead.mayAct()) {
            exchange.answer(503, error("not entitled to act"));
            return;
        }
        m.answered = loop.now();
        exchange.answer(200, commands.answer(lead.token()));
    }

    private static byte[] error(String text) {
        return Json.bytes(Json.object().put("error", text));
    }

    /** Takes over what a worker says; false if something newer is known already. */
    private boolean merge(Machine m, Report r, boolean hello) {
        if (r.session() < m.session || r.session() == m.session && r.seq() <= m.seq) {
            return false;
        }
        long now = loop.now();
        boolean news = !Objects.equals(m.noticeS, r.noticeS());
        if (r.session() > m.session) {
            news = true;
            if (m.session >= 0) {
                LOG.info("{} begins session {}: everything on it was lost", m.id, r.session());
                incidents.say(m.id + " came back with a new session; what it ran before is lost");
            }
            // The earlier session's end killed and forgot every task.
            releaseAll(m, "its session ended");
            m.session = r.session();
        }
        m.seq = r.seq();
        m.token = r.token();
        m.heard = now;
        m.addr = r.addr();
        m.noticeS = r.noticeS();
        if (m.state() == Machine.State.BOOTING || m.state() == Machine.State.LAPSED) {
            m.to(Machine.State.UP);
            news = true;
            m.idleSince = now;
            m.answered = Math.max(m.answered, now);
            if (!m.written) {
                events.roster(m);
            }
            if (m.rented) {
                m.rented = false;
                boots.booted(m.kind, now - m.appeared);
            }
        }
        for (Report.Entry e : r.tasks()) {
            Attempt a = m.attempts.get(e.attempt());
            if (a == null) {
                a = adopt(m, e, now);
                news = true;
            }
            a.reportedWith = r.seq();
            // One that has ended proves nothing: its task may have been placed elsewhere since.
            if (a.owner != null && r.token() >= reignToken && e.status() != Report.TaskStatus.EXITED) {
                a.owner.accounted = true;
            }
            Attempt.State before = a.state();
            seen(a, e, now);
            news |= a.state() != before;
        }
        List<Attempt> absent = List.of();
        for (Attempt a : m.attempts.values()) {
            if (a.unansweredUnder != 0 && r.token() > a.unansweredUnder) {
                a.unansweredUnder = 0;
            }
            if (a.reportedWith != r.seq()) {
                absent = absent.isEmpty() ? new ArrayList<>() : absent;
                absent.add(a);
            }
        }
        for (Attempt a : absent) {
            missing(a, r, hello);
            news |= a.state() == Attempt.State.OVER;
        }
        if (r.token() >= reignToken && !m.fenced) {
            m.fenced = true;
            news = true;
            accounted(m);
        }
        if (m.hasLive()) {
            m.idleSince = now;
        }
        // Most reports say nothing new, and hundreds come each second: they may not cost a pass over the fleet.
        if (news) {
            events.changed();
        }
        return true;
    }

    /** An attempt that this leader did not start: an earlier one did. */
    private Attempt adopt(Machine m, Report.Entry e, long now) {
        LiveJob job = jobs.get(e.job());
        Task task = job == null ? null : job.task(e.task());
        JobSpec spec = job == null ? endedSpecs.apply(e.job()) : job.spec();
        Attempt a = new Attempt(m, e.job(), e.task(), e.attempt(), spec, null, now);
        m.attempts.put(a.number, a);
        if (task != null && task.state() == Task.State.PENDING && e.status() != Report.TaskStatus.EXITED) {
            a.owner = task;
            task.to(Task.State.ON_MACHINE, a, now);
        } else if (task != null && e.status() == Report.TaskStatus.EXITED) {
            a.owner = task;
        } else {
            a.stopWanted = true;
        }
        if (e.status() != Report.TaskStatus.FETCHING && spec != null) {
            m.used(spec.image());
        }
        return a;
    }

    private void seen(Attempt a, Report.Entry e, long now) {
        switch (e.status()) {
            case FETCHING -> {
                if (a.state() == Attempt.State.SENT) {
                    a.to(Attempt.State.FETCHING, now);
                }
            }
            case RUNNING -> {
                if (a.state() != Attempt.State.EXITED && a.state() != Attempt.State.RUNNING) {
                    if (LOG.isDebugEnabled() && a.owner != null) {
                        LOG.debug("{} runs on {}: {} ms after the job came, {} after it was placed", a.name(),
                                a.machine.id, now - a.owner.job.since, now - a.since);
                    }
                    a.to(Attempt.State.RUNNING, now);
                }
            }
            case SAVING -> {
                if (a.state() != Attempt.State.EXITED) {
                    a.to(Attempt.State.SAVING, now);
                }
            }
            case EXITED -> {
                if (a.state() != Attempt.State.EXITED) {
                    a.to(Attempt.State.EXITED, now);
                    a.why = e.why() == null ? "" : e.why();
                    exited(a, now);
                }
            }
        }
    }

    private void exited(Attempt a, long now) {
        Task task = a.owner;
        LOG.debug("{} on {} exited: {}", a.name(), a.machine.id, a.why);
        if (task == null) {
            return;
        }
        boolean done = a.why.equals("done") && !task.job.spec().service();
        if (done) {
            task.job.failures = 0;
            a.machine.errors = 0;
            if (task.state() == Task.State.PENDING || task.state() == Task.State.ON_MACHINE) {
                Attempt other = task.attempt();
                if (other != null && other != a) {
                    disown(other);
                }
                task.to(Task.State.FINISHED, null, now);
                events.completed(a);
                events.finished(task);
            }
            return;
        }
        a.owner = null;
        if (task.attempt() == a) {
            task.to(Task.State.PENDING, null, now);
        }
        switch (a.why) {
            case "error" -> {
                a.machine.errors++;
                task.job.failures++;
                a.machine.avoidUntil = now + 5_000;
                // A job submitted with a mistake fails everywhere until its user cancels it: it may not spin.
                if (task.job.failures > 2) {
                    task.job.notBefore = now + Math.min(30_000, 500L << Math.min(6, task.job.failures - 2));
                }
                LOG.info("{} failed on {}", a.name(), a.machine.id);
            }
            case "full", "busy", "unknown" -> {
                LOG.info("{} refused {}: {}", a.machine.id, a.name(), a.why);
                a.machine.avoidUntil = now + 1_000;
                task.job.notBefore = now + 500;
            }
            default -> { }
        }
    }

    /** The newest report lacks an attempt that may be on the machine. */
    private void missing(Attempt a, Report r, boolean hello) {
        if (a.state() != Attempt.State.SENT) {
            // Seen before and now absent in the same session: it was forgotten on command.
            release(a, "no longer reported");
            return;
        }
        // A start that no report shows may still be on its way. One given in an answer is over with the next report
        // (the worker has one in flight, and drops late answers); one sent straight is over when the call is.
        boolean covered = hello && r.seq() > a.sentWithReport && a.unansweredUnder == 0 && !a.machine.calling;
        if (a.stopWanted && covered) {
            release(a, "withdrawn");
        }
    }

    private void disown(Attempt a) {
        a.owner = null;
        a.stopWanted = true;
        a.graceS = 0;
        // Told to stop with time to save, it must be told again: the job is over.
        a.stopSentAt = Long.MIN_VALUE / 2;
    }

    private void releaseAll(Machine m, String why) {
        for (Attempt a : new ArrayList<>(m.attempts.values())) {
            release(a, why);
        }
    }

    /** The attempt is certainly not on its machine any more. */
    private void release(Attempt a, String why) {
        boolean lost = a.live();
        a.to(Attempt.State.OVER, loop.now());
        a.machine.attempts.remove(a.number);
        Task task = a.owner;
        if (task != null && task.state() == Task.State.ON_MACHINE && task.attempt() == a) {
            if (lost) {
                LOG.info("{} on {} is over: {}", a.name(), a.machine.id, why);
                metrics.lost.increment();
            }
            task.to(Task.State.PENDING, null, loop.now());
        }
        a.owner = null;
    }

    private void accounted(Machine m) {
        if (m.inCensus) {
            m.inCensus = false;
            census--;
            if (census == 0) {
                LOG.info("census complete: {} machines accounted for", machines.size());
            }
            events.changed();
        }
    }

    // ---- commands ----

    /** What the machine should do now; {@code report} is the report answered, or -1 for a direct call. */
    private Commands commands(Machine m, long report) {
        Commands c = new Commands();
        if (!m.fenced || !m.written) {
            return c;
        }
        long now = loop.now();
        boolean direct = report < 0;
        for (Attempt a : m.attempts.values()) {
            if (a.state() == Attempt.State.EXITED) {
                boolean kept = a.owner != null && a.owner.state() == Task.State.FINISHED
                        && jobs.containsKey(a.job);
                // A start that may still arrive would run once more if the machine forgot the attempt.
                if (!direct && !kept && a.unansweredUnder == 0) {
                    c.forget(a.job, a.task, a.number);
                }
            } else if (a.stopWanted && a.state() != Attempt.State.SENT && (!direct || now - a.stopSentAt > 1_000)) {
                a.stopSentAt = now;
                c.stop(a.job, a.task, a.number, a.graceS);
            }
        }
        if (m.state() == Machine.State.UP) {
            for (Attempt a : m.attempts.values()) {
                if (a.state() == Attempt.State.SENT && !a.stopWanted
                        && (!direct || a.sentWithReport < 0 && a.unansweredUnder == 0)) {
                    c.start(a.job, a.task, a.number);
                    if (!direct) {
                        a.sentWithReport = report;
                    }
                }
            }
        }
        return c;
    }

    private void callDirect(Machine m) {
        long now = loop.now();
        if (closed || m.attempts.isEmpty() || m.calling || !m.fenced || m.addr == null || now < m.callNotBefore
                || m.state() != Machine.State.UP || now - m.heard > leaseMs || !lead.mayAct()) {
            return;
        }
        Commands c = commands(m, -1);
        if (c.isEmpty()) {
            return;
        }
        long token = lead.token();
        List<Attempt> starts = new ArrayList<>();
        for (Attempt a : m.attempts.values()) {
            if (a.state() == Attempt.State.SENT && !a.stopWanted && a.sentWithReport < 0 && a.unansweredUnder == 0) {
                starts.add(a);
            }
        }
        m.calling = true;
        http.call(m.addr, "POST", "/commands", c.direct(token, m.session), CALL_MS, reply -> {
            m.calling = false;
            if (closed) {
                return;
            }
            switch (reply.outcome()) {
                case ANSWERED -> {
                    Report r = read(m, reply);
                    if (r == null || !merge(m, r, false)) {
                        m.callNotBefore = loop.now() + 500;
                    }
                    loop.after(20, () -> callDirect(m));
                }
                case NOT_SENT -> m.callNotBefore = loop.now() + 3_000;
                case UNKNOWN -> {
                    m.callNotBefore = loop.now() + 3_000;
                    for (Attempt a : starts) {
                        a.unansweredUnder = token;
                    }
                }
            }
        });
    }

    /** Shows the machine the new token, and learns what is on it. */
    private void callCensus(Machine m, int tries) {
        if (closed || m.fenced || m.addr == null || m.calling || !lead.mayAct() || tries > 3
                || calling >= CENSUS_CALLS) {
            return;
        }
        m.calling = true;
        calling++;
        long session = Math.max(1, m.session);
        http.call(m.addr, "POST", "/commands", new Commands().direct(lead.token(), session), CALL_MS, reply -> {
            m.calling = false;
            calling--;
            if (closed || reply.outcome() != Http.Outcome.ANSWERED) {
                return;
            }
            Report r = read(m, reply);
            if (r != null) {
                merge(m, r, false);
                if (!m.fenced) {
                    callCensus(m, tries + 1);
                }
            }
        });
    }

    private Report read(Machine m, Http.Reply reply) {
        if (reply.status() != 200 && reply.status() != 409) {
            LOG.info("{} answered a command with {}", m.id, reply.status());
            return null;
        }
        try {
            Report r = Report.parse(Json.parse(reply.body()));
            return r.machine().equals(m.id) ? r : null;
        } catch (BadMessage e) {
            LOG.warn("dropping an answer of {}: {}", m.id, e.getMessage());
            return null;
        }
    }

    // ---- time ----

    private void tick() {
        if (closed) {
            return;
        }
        long now = loop.now();
        boolean stuck = false;
        boolean few = census <= CENSUS_CALLS;
        for (Machine m : new ArrayList<>(machines.values())) {
            boolean open = m.state() == Machine.State.UP || m.inCensus || !m.attempts.isEmpty();
            if (open && now - m.answered > leaseMs) {
                lapse(m);
            }
            stuck |= m.state() == Machine.State.UP && withdrawn(m, now);
            if (m.inCensus && !m.fenced && now - m.heard > 1_500 && (few || now - began > reportMs + 1_000)) {
                callCensus(m, 0);
            }
            callDirect(m);
        }
        if (stuck && now - tokenRaised > 10_000) {
            tokenRaised = now;
            lead.raiseToken();
        }
        loop.after(500, this::tick);
    }

    /**
     * True if something that should be off the machine may still arrive there: a start that was sent straight, got no
     * answer, and is not wanted any more. It may come minutes late, for instance long after its job's cancellation;
     * only a higher token stops it.
     */
    private boolean withdrawn(Machine m, long now) {
        for (Attempt a : m.attempts.values()) {
            boolean unwanted = a.stopWanted || a.state() == Attempt.State.EXITED;
            if (a.unansweredUnder != 0 && unwanted && a.unansweredUnder == lead.token() && now - a.since > 3_000) {
                return true;
            }
        }
        return false;
    }

    private void lapse(Machine m) {
        if (m.state() == Machine.State.UP) {
            LOG.info("{} is silent: its lease has run out", m.id);
            metrics.lapses.increment();
            int held = (int) m.attempts.values().stream().filter(Attempt::live).count();
            incidents.say(m.id + " fell silent and its lease ran out"
                    + (held > 0 ? "; " + held + " tasks are started elsewhere" : ""));
            m.to(Machine.State.LAPSED);
            // What is still reported under the old session was sent before the lease ran out.
            m.session++;
            m.seq = -1;
        }
        accounted(m);
        if (m.written) {
            // From here on it holds nothing; it must be written anew before it is given anything again.
            m.written = false;
            events.roster(m);
        }
        if (!m.attempts.isEmpty()) {
            releaseAll(m, "its lease ran out");
        }
        events.changed();
    }
}
