package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/** A stand-in for a worker: reports, executes commands, keeps its lease. */
public final class EmulatedWorker implements Server {
    private static final class Run {
        String status = "pulling";
        String why;
        int life;
        /** When it would have begun to run in one go. */
        long began;
    }

    /** What the worker is told at its start. */
    public record Config(
            String addr, String type, double cpus, long reportMs, long leaseMs, List<ControllerAddress> nodes) {}

    /** A controller, by its name and by the address that it serves on. */
    public record ControllerAddress(String host, String addr) {}

    private final Config config;
    private final EventLoop loop;
    private final Http http;
    private final GroundTruth truth;
    private final EmulatedCloud.Box box;
    private boolean dead;
    private final Map<String, Run> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long session = 1;
    private long seq;
    private long token;
    private long renewed;
    private int node;
    private boolean reporting;
    private boolean changed;
    private long lastReport = -10_000;
    private boolean hangs;
    private boolean faulty;
    private final List<Runnable> whileHanging = new ArrayList<>();

    public EmulatedWorker(
            Config config,
            EventLoop loop,
            Http http,
            RandomGenerator random,
            GroundTruth truth,
            EmulatedCloud.Box box) {
        this.config = config;
        this.loop = loop;
        this.http = http;
        this.truth = truth;
        this.box = box;
        this.renewed = loop.now();
        this.node = random.nextInt(config.nodes.size());
        tick();
    }

    /** The machine stops at once, with all that is on it. */
    public void die() {
        tasks.forEach((name, run) -> over(name, run, null));
        dead = true;
    }

    /** From now on every task fails here. */
    public void spoil() {
        faulty = true;
    }

    public boolean hangs() {
        return hangs;
    }

    public int images() {
        return images.size();
    }

    public EmulatedCloud.Box box() {
        return box;
    }

    /** A task that runs here, or null. */
    public String running() {
        return tasks.entrySet().stream()
                .filter(e -> e.getValue().status.equals("running"))
                .map(e -> e.getKey().substring(0, e.getKey().lastIndexOf('#')))
                .findFirst()
                .orElse(null);
    }

    /** Processors that nothing on it takes. */
    public double free() {
        double free = config.cpus;
        for (Map.Entry<String, Run> e : tasks.entrySet()) {
            JobSpec spec = e.getValue().status.equals("ended")
                    ? null
                    : truth.spec(e.getKey().substring(0, e.getKey().lastIndexOf('/')));
            free -= spec == null ? 0 : spec.cpus();
        }
        return free;
    }

    /** A task ends with an error. */
    public void fail(String task) {
        tasks.forEach((name, run) -> {
            if (name.startsWith(task + "#") && run.status.equals("running")) {
                over(name, run, "error");
            }
        });
    }

    public void hang(boolean on) {
        hangs = on;
        if (!on) {
            lease();
            List<Runnable> late = new ArrayList<>(whileHanging);
            whileHanging.clear();
            late.forEach(Runnable::run);
        }
    }

    private void tick() {
        if (dead) {
            return;
        }
        // A machine that hangs past its lease is as good as one that killed its tasks: they never run on.
        lease();
        if (!hangs) {
            long since = loop.now() - lastReport;
            if (!reporting && (since >= config.reportMs || changed && since >= 500)) {
                report();
            }
        }
        loop.after(Math.max(100, config.reportMs / 20), this::tick);
    }

    private void lease() {
        if (loop.now() - renewed > config.leaseMs) {
            tasks.forEach((name, run) -> over(name, run, null));
            tasks.clear();
            session++;
            renewed = loop.now();
            changed = true;
        }
    }

    private byte[] state() {
        ObjectNode n = Json.object();
        n.put("box", box.id)
                .put("addr", config.addr)
                .put("rig", config.type)
                .put("yard", box.zone)
                .put("standby", box.spot)
                .put("shift", session)
                .put("tally", ++seq)
                .put("baton", token);
        ArrayNode list = n.putArray("takes");
        tasks.forEach((name, run) -> {
            int hash = name.lastIndexOf('#');
            ObjectNode t = list.addObject()
                    .put("take", name.substring(0, hash))
                    .put("try", Long.parseLong(name.substring(hash + 1)))
                    .put("status", run.status);
            if (run.why != null) {
                t.put("cause", run.why);
            }
        });
        return Json.bytes(n);
    }

    private void report() {
        reporting = true;
        changed = false;
        lastReport = loop.now();
        long sent = loop.now();
        long mine = session;
        http.call(config.nodes.get(node).addr, "POST", "/hello", state(), 4_000, reply -> {
            if (hangs) {
                whileHanging.add(() -> answered(reply, sent, mine));
            } else {
                answered(reply, sent, mine);
            }
        });
    }

    private void answered(Http.Reply reply, long sent, long mine) {
        if (dead) {
            return;
        }
        reporting = false;
        lease();
        if (reply.is(200) && loop.now() - sent <= 4_000) {
            JsonNode body = Json.parse(reply.body());
            long given = body.path("baton").longValue();
            if (session == mine && given >= token && body.has("baton")) {
                if (given > token) {
                    token = given;
                    changed = true;
                }
                renewed = Math.max(renewed, sent);
                execute(body.get("cues"));
            }
        } else if (reply.is(421) && Json.parse(reply.body()).has("desk")) {
            int to = indexOf(Json.parse(reply.body()).get("desk").textValue());
            if (to >= 0 && to != node) {
                node = to;
                changed = true;
                return;
            }
            next();
        } else {
            next();
        }
    }

    private int indexOf(String host) {
        for (int i = 0; i < config.nodes.size(); i++) {
            if (config.nodes.get(i).host.equals(host)) {
                return i;
            }
        }
        return -1;
    }

    private void next() {
        node = (node + 1) % config.nodes.size();
        lastReport = loop.now();
        loop.after(1_000, () -> lastReport = -10_000);
    }

    private void execute(JsonNode cues) {
        for (JsonNode c : cues) {
            String name = c.get("take").textValue() + "#" + c.get("try").longValue();
            switch (c.get("cue").textValue()) {
                case "start" -> {
                    truth.ordered(GroundTruth.Order.START, box.id, name, box.pool(), tasks.containsKey(name));
                    start(name);
                }
                case "halt" -> {
                    Run run = tasks.get(name);
                    truth.ordered(
                            GroundTruth.Order.STOP,
                            box.id,
                            name,
                            box.pool(),
                            run == null || run.status.equals("ended"));
                    if (run != null && !run.status.equals("ended")) {
                        save(name, run, c.path("wrapupS").doubleValue());
                        over(name, run, "halted");
                    }
                }
                case "clear" -> {
                    Run run = tasks.get(name);
                    truth.ordered(GroundTruth.Order.CLEAR, box.id, name, box.pool(), run == null);
                    if (run != null && run.status.equals("ended")) {
                        tasks.remove(name);
                    }
                }
                default -> throw new IllegalStateException(c.toString());
            }
            changed = true;
        }
    }

    private void start(String name) {
        if (tasks.containsKey(name)) {
            return;
        }
        String task = name.substring(0, name.lastIndexOf('#'));
        JobSpec spec = truth.spec(task.substring(0, task.lastIndexOf('/')));
        Run run = new Run();
        double cpus = 0;
        for (Map.Entry<String, Run> e : tasks.entrySet()) {
            if (!e.getValue().status.equals("ended")) {
                cpus += truth.spec(e.getKey().substring(0, e.getKey().lastIndexOf('/')))
                        .cpus();
                if (e.getKey().startsWith(task + "#")) {
                    run.why = "busy";
                }
            }
        }
        tasks.put(name, run);
        if (spec == null) {
            run.why = "unknown";
        } else if (run.why == null && cpus + spec.cpus() > config.cpus + 1e-6) {
            run.why = "full";
        }
        if (run.why != null) {
            run.status = "ended";
            return;
        }
        int life = ++run.life;
        later(name, run, life, images.add(spec.image()) ? 300 : 20, () -> {
            run.status = "running";
            changed = true;
            truth.starts(task, box.id, config.type, box.zone, box.spot);
            if (faulty || truth.mistaken(spec.id())) {
                later(name, run, life, 200, () -> over(name, run, "error"));
            } else if (!spec.service()) {
                run.began = loop.now() - Math.round(truth.saved(task) * 1000);
                long takes = truth.completed(task)
                        ? 10
                        : Math.max(10, Math.round(spec.estimateS() * 1000) - (loop.now() - run.began));
                later(name, run, life, takes, () -> over(name, run, "done"));
            }
        });
    }

    private void later(String name, Run run, int life, long ms, Runnable what) {
        loop.after(ms, () -> {
            if (dead) {
                return;
            }
            if (hangs) {
                whileHanging.add(() -> {
                    if (tasks.get(name) == run && run.life == life && !run.status.equals("ended")) {
                        what.run();
                    }
                });
            } else if (tasks.get(name) == run && run.life == life && !run.status.equals("ended")) {
                what.run();
            }
        });
    }

    /** It saves at once if it is given the time; else what it saved by itself is left. */
    private void save(String name, Run run, double graceS) {
        String task = name.substring(0, name.lastIndexOf('#'));
        JobSpec spec = truth.spec(task.substring(0, task.lastIndexOf('/')));
        if (spec != null && spec.checkpointS() > 0 && run.status.equals("running")) {
            double ran = (loop.now() - run.began) / 1000.0;
            truth.saves(task, graceS >= spec.saveS() ? ran : Math.floor(ran / spec.checkpointS()) * spec.checkpointS());
        }
    }

    private void over(String name, Run run, String why) {
        if (run.status.equals("running")) {
            truth.ends(name.substring(0, name.lastIndexOf('#')), "done".equals(why));
        }
        run.status = "ended";
        run.why = why;
        run.life++;
        changed = true;
    }

    @Override
    public void serve(Exchange x) {
        if (dead) {
            return;
        }
        if (hangs) {
            whileHanging.add(() -> serve(x));
            return;
        }
        lease();
        JsonNode body = Json.parse(x.body());
        long given = body.path("baton").longValue();
        boolean valid = given >= token && body.path("shift").longValue() == session;
        if (given > token) {
            token = given;
            changed = true;
        }
        truth.ordered(GroundTruth.Order.CALL, box.id, null, box.pool(), false);
        if (valid) {
            execute(body.get("cues"));
        }
        x.answer(valid ? 200 : 409, state());
    }
}
