package org.landingridge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.net.Http;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/** A stand-in for a worker: reports, executes commands, keeps its lease. */
final class Worker implements Sim.Server {
    private static final class Run {
        String status = "pulling";
        String why;
        int life;
    }

    final String addr;
    final Sim.Host host;
    private final World world;
    private final Cloud.Box box;
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
    boolean hangs;
    private final List<Runnable> whileHanging = new ArrayList<>();

    Worker(World world, Cloud.Box box) {
        this.world = world;
        this.box = box;
        this.addr = "w-" + box.id;
        this.host = world.sim.host(box.id);
        this.renewed = world.sim.now;
        this.node = world.sim.random.nextInt(world.nodes.size());
        world.sim.listen(addr, host, this);
        world.workers.add(this);
        tick();
    }

    void die() {
        tasks.forEach((name, run) -> over(name, run, null));
        host.kill();
        world.workers.remove(this);
    }

    int images() {
        return images.size();
    }

    String zone() {
        return box.zone;
    }

    /** A task that runs here, or null. */
    String running() {
        return tasks.entrySet().stream().filter(e -> e.getValue().status.equals("running"))
                .map(e -> e.getKey().substring(0, e.getKey().lastIndexOf('#'))).findFirst().orElse(null);
    }

    /** A task ends with an error. */
    void fail(String task) {
        tasks.forEach((name, run) -> {
            if (name.startsWith(task + "#") && run.status.equals("running")) {
                over(name, run, "error");
            }
        });
    }

    void hang(boolean on) {
        hangs = on;
        if (!on) {
            lease();
            List<Runnable> late = new ArrayList<>(whileHanging);
            whileHanging.clear();
            late.forEach(Runnable::run);
        }
    }

    private void tick() {
        // A machine that hangs past its lease is as good as one that killed its tasks: they never run on.
        lease();
        if (!hangs) {
            long since = world.sim.now - lastReport;
            if (!reporting && (since >= World.REPORT_MS || changed && since >= 500)) {
                report();
            }
        }
        host.after(100, this::tick);
    }

    private void lease() {
        if (world.sim.now - renewed > World.LEASE_MS) {
            tasks.forEach((name, run) -> over(name, run, null));
            tasks.clear();
            session++;
            renewed = world.sim.now;
            changed = true;
        }
    }

    private byte[] state() {
        ObjectNode n = Json.object();
        n.put("box", box.id).put("addr", addr).put("rig", Cloud.TYPE).put("yard", box.zone).put("standby", box.spot)
                .put("shift", session).put("tally", ++seq).put("baton", token);
        ArrayNode list = n.putArray("takes");
        tasks.forEach((name, run) -> {
            int hash = name.lastIndexOf('#');
            ObjectNode t = list.addObject().put("take", name.substring(0, hash))
                    .put("try", Long.parseLong(name.substring(hash + 1))).put("status", run.status);
            if (run.why != null) {
                t.put("cause", run.why);
            }
        });
        return Json.bytes(n);
    }

    private void report() {
        reporting = true;
        changed = false;
        lastReport = world.sim.now;
        long sent = world.sim.now;
        long mine = session;
        world.sim.client(host).call(world.nodeAddr(node), "POST", "/hello", state(), 4_000, reply -> {
            if (hangs) {
                whileHanging.add(() -> answered(reply, sent, mine));
            } else {
                answered(reply, sent, mine);
            }
        });
    }

    private void answered(Http.Reply reply, long sent, long mine) {
        reporting = false;
        lease();
        if (reply.is(200) && world.sim.now - sent <= 4_000) {
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
            int to = world.indexOf(Json.parse(reply.body()).get("desk").textValue());
            if (to != node) {
                node = to;
                changed = true;
                return;
            }
            next();
        } else {
            next();
        }
    }

    private void next() {
        node = (node + 1) % world.nodes.size();
        lastReport = world.sim.now;
        host.after(1_000, () -> lastReport = -10_000);
    }

    private void execute(JsonNode cues) {
        for (JsonNode c : cues) {
            String name = c.get("take").textValue() + "#" + c.get("try").longValue();
            switch (c.get("cue").textValue()) {
                case "start" -> start(name);
                case "halt" -> {
                    Run run = tasks.get(name);
                    if (run != null && !run.status.equals("ended")) {
                        over(name, run, "halted");
                    }
                }
                case "clear" -> {
                    Run run = tasks.get(name);
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
        JobSpec spec = world.rules.specs.get(task.substring(0, task.lastIndexOf('/')));
        Run run = new Run();
        double cpus = 0;
        for (Map.Entry<String, Run> e : tasks.entrySet()) {
            if (!e.getValue().status.equals("ended")) {
                cpus += world.rules.specs.get(e.getKey().substring(0, e.getKey().lastIndexOf('/'))).cpus();
                if (e.getKey().startsWith(task + "#")) {
                    run.why = "busy";
                }
            }
        }
        tasks.put(name, run);
        if (run.why == null && cpus + spec.cpus() > 4 + 1e-6) {
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
            world.rules.starts(task, box.id, Cloud.TYPE, box.zone, box.spot);
            if (!spec.service()) {
                long takes = world.rules.completed.contains(task) ? 10 : Math.round(spec.estimateS() * 1000);
                later(name, run, life, takes, () -> over(name, run, "done"));
            }
        });
    }

    private void later(String name, Run run, int life, long ms, Runnable what) {
        host.after(ms, () -> {
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

    private void over(String name, Run run, String why) {
        if (run.status.equals("running")) {
            world.rules.ends(name.substring(0, name.lastIndexOf('#')), "done".equals(why));
        }
        run.status = "ended";
        run.why = why;
        run.life++;
        changed = true;
    }

    @Override
    public void serve(Exchange x) {
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
        if (valid) {
            execute(body.get("cues"));
        }
        x.answer(valid ? 200 : 409, state());
    }
}
