import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A machine with its worker as PROTOCOL describes it. */
final class Worker {
    private static final class Held {
        final String take;
        final long attempt;
        final Map<String, Object> spec;
        String status = "pulling";
        String cause;

        Held(String take, long attempt, Map<String, Object> spec) {
            this.take = take;
            this.attempt = attempt;
            this.spec = spec;
        }
    }

    private final Cases.Setup setup;
    final String id;
    final String zone;
    final boolean spot;
    final String address;
    private final double rentedAt = Rec.now();
    private final Map<String, Held> held = new LinkedHashMap<>();
    private long shift = 1;
    private long tally;
    private long baton;
    private double leaseFrom;
    private boolean up;
    private boolean gone;
    private boolean changed;
    private int node;
    /** While true the machine hangs: it neither reports, answers nor executes. */
    volatile boolean hangs;
    /** Direct calls that have arrived since the machine hangs. */
    final java.util.concurrent.atomic.AtomicInteger callsInHang = new java.util.concurrent.atomic.AtomicInteger();
    /** The network holds what the machine sends back for so long, in seconds. */
    volatile double packetsHeldS;

    Worker(Cases.Setup setup, String id, String zone, boolean spot) throws IOException {
        this.setup = setup;
        this.id = id;
        this.zone = zone;
        this.spot = spot;
        this.node = Math.floorMod(id.hashCode(), setup.nodes.size());
        address = Web.address(Web.serve(this::handle));
    }

    double ageS() {
        return Rec.now() - rentedAt;
    }

    synchronized boolean isUp() {
        return up;
    }

    void boot() {
        synchronized (this) {
            if (gone) {
                return;
            }
            up = true;
            leaseFrom = Rec.now();
            Rec.log("%s in %s is up", id, zone);
        }
        Web.THREADS.execute(this::reportForever);
        Web.THREADS.execute(this::watchLease);
    }

    /** The machine is gone with everything on it. */
    synchronized void end() {
        gone = true;
        held.values().forEach(task -> endOf(task, "the machine is gone"));
        held.clear();
    }

    private void endOf(Held task, String why) {
        if (!task.status.equals("ended")) {
            setup.truth.left(task.take, id, why);
        }
    }

    private void awaitResume() {
        while (hangs) {
            Cases.sleep(0.01);
        }
    }

    private void watchLease() {
        while (!isGone()) {
            awaitResume();
            expireLease();
            Cases.sleep(0.05);
        }
    }

    private synchronized boolean isGone() {
        return gone;
    }

    private synchronized void expireLease() {
        if (Rec.now() - leaseFrom > setup.leaseS && !gone) {
            Rec.log("%s: lease over, %d tasks killed", id, held.size());
            held.values().forEach(task -> endOf(task, "the lease is over"));
            held.clear();
            shift++;
            leaseFrom = Rec.now();
            changed = true;
        }
    }

    private void reportForever() {
        double nextAt = 0;
        double lastAt = -1;
        while (!isGone()) {
            Cases.sleep(0.02);
            awaitResume();
            boolean due;
            synchronized (this) {
                due = Rec.now() >= nextAt || changed;
            }
            if (due && Rec.now() - lastAt >= 0.5) {
                lastAt = Rec.now();
                nextAt = lastAt + setup.reportS * (0.75 + Math.random() / 2);
                if (!report()) {
                    Cases.sleep(1);
                    nextAt = 0;
                }
            }
        }
    }

    /** Reports once; false if the next node is to be tried. */
    private boolean report() {
        String body;
        double sentAt = Rec.now();
        long session;
        synchronized (this) {
            expireLease();
            changed = false;
            session = shift;
            body = body();
        }
        Cases.sleep(packetsHeldS);
        Web.Reply reply = Web.call("POST", setup.nodes.get(node), "/hello", body, 4);
        awaitResume();
        synchronized (this) {
            if (gone) {
                return true;
            }
            if (reply != null && reply.status() == 200 && Rec.now() - sentAt <= 4) {
                Map<String, Object> answer = Json.object(reply.body());
                expireLease();
                if (session == shift && Json.integer(answer.get("baton"), -1) >= baton) {
                    see(Json.integer(answer.get("baton"), 0));
                    leaseFrom = Math.max(leaseFrom, sentAt);
                    execute(Json.list(answer.get("cues")));
                }
                return true;
            }
            if (reply != null && reply.status() == 421) {
                Object desk = Json.object(reply.body()).get("desk");
                int named = desk == null ? -1 : setup.hosts.indexOf(desk);
                if (named >= 0 && named != node) {
                    node = named;
                    changed = true;
                    return true;
                }
            }
            node = (node + 1) % setup.nodes.size();
            return false;
        }
    }

    private void see(long token) {
        if (token > baton) {
            baton = token;
        }
    }

    private String body() {
        List<Object> takes = new ArrayList<>();
        for (Held task : held.values()) {
            Map<String, Object> entry = Json.of("take", task.take, "try", task.attempt, "status", task.status);
            if (task.cause != null) {
                entry.put("cause", task.cause);
            }
            takes.add(entry);
        }
        return Json.text(Json.of(
                "box",
                id,
                "addr",
                address,
                "rig",
                Cases.TYPE,
                "yard",
                zone,
                "standby",
                spot,
                "shift",
                shift,
                "tally",
                ++tally,
                "baton",
                baton,
                "warningS",
                null,
                "takes",
                takes));
    }

    private Web.Reply handle(String method, String path, Map<String, String> query, String text) {
        if (hangs) {
            callsInHang.incrementAndGet();
        }
        awaitResume();
        // A machine that is gone gives no answer, and connections to it hang.
        while (isGone()) {
            Cases.sleep(60);
        }
        Web.Reply reply;
        synchronized (this) {
            if (!up) {
                return null;
            }
            expireLease();
            if (path.equals("/show")) {
                return new Web.Reply(200, body());
            }
            Map<String, Object> call = Json.object(text);
            long token = Json.integer(call.get("baton"), -1);
            if (token < baton || Json.integer(call.get("shift"), -1) != shift) {
                reply = new Web.Reply(409, body());
            } else {
                see(token);
                execute(Json.list(call.get("cues")));
                reply = new Web.Reply(200, body());
            }
        }
        if (packetsHeldS > 0) {
            Rec.log("%s: answer to a call is held back by the network for %.1f s: %s", id, packetsHeldS, reply.body());
            Cases.sleep(packetsHeldS);
        }
        return reply;
    }

    private void execute(List<Object> cues) {
        for (Object each : cues) {
            Map<String, Object> cue = Json.object(each);
            String take = (String) cue.get("take");
            long attempt = Json.integer(cue.get("try"), 0);
            String key = take + "#" + attempt;
            Rec.log("%s: %s %s", id, cue.get("cue"), key);
            switch ((String) cue.get("cue")) {
                case "start":
                    if (!held.containsKey(key)) {
                        start(key, take, attempt);
                    }
                    break;
                case "halt":
                    Held task = held.get(key);
                    if (task != null && !task.status.equals("ended")) {
                        finish(task, "halted");
                    }
                    break;
                default:
                    held.remove(key);
            }
        }
    }

    private void start(String key, String take, long attempt) {
        Map<String, Object> spec = setup.truth.specs.get(take.substring(0, take.indexOf('/')));
        Held task = new Held(take, attempt, spec);
        held.put(key, task);
        changed = true;
        if (spec == null) {
            refuse(task, "unknown");
            return;
        }
        double cpus = 0;
        double memory = 0;
        for (Held other : held.values()) {
            if (!other.status.equals("ended")) {
                cpus += Json.number(other.spec.get("cpus"), 0);
                memory += Json.number(other.spec.get("memoryGb"), 0);
                if (other != task && other.take.equals(take)) {
                    refuse(task, "busy");
                    return;
                }
            }
        }
        if (cpus > 4 + 1e-6 || memory > 8 + 1e-6) {
            refuse(task, "full");
            return;
        }
        Web.THREADS.execute(() -> run(task));
    }

    private void refuse(Held task, String why) {
        Rec.log("%s: refuses %s: %s", id, task.take, why);
        task.status = "ended";
        task.cause = why;
    }

    private void run(Held task) {
        pass(Json.number(task.spec.get("sizeGb"), 0) / 0.6);
        synchronized (this) {
            if (!task.status.equals("pulling") || !held.containsValue(task)) {
                return;
            }
            task.status = "running";
            changed = true;
            setup.truth.started(task.take, id);
        }
        if (task.spec.get("shape").equals("standing")) {
            return;
        }
        boolean failing = setup.truth.mistaken.contains(task.spec.get("id"));
        pass(failing ? 3.0 : Json.number(task.spec.get("runtimeS"), 0));
        synchronized (this) {
            if (held.containsValue(task) && !task.status.equals("ended")) {
                finish(task, failing ? "error" : "done");
            }
        }
    }

    /** Lets time pass in which the machine executes. */
    private void pass(double seconds) {
        for (double left = seconds; left > 0 && !isGone(); left -= 0.02) {
            awaitResume();
            Cases.sleep(Math.min(0.02, left));
        }
    }

    private void finish(Held task, String cause) {
        setup.truth.left(task.take, id, cause);
        task.status = "ended";
        task.cause = cause;
        changed = true;
        if (cause.equals("done")) {
            setup.truth.done.add(task.take);
        }
    }
}
