package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.CommandBatch;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.landingridge.wire.LeaderRedirect;

/** A stand-in for a worker: sends heartbeats, executes commands, keeps its lease. */
public final class EmulatedWorker implements Server {
    private static final long NEVER = -10_000;
    /** A controller that is asked has so long to answer. */
    private static final long ANSWER_MS = 4_000;
    /** Pause before the next controller is asked. */
    private static final long NEXT_CONTROLLER_MS = 1_000;
    /** News is sent no sooner than so long after the last heartbeat. */
    private static final long NEWS_PAUSE_MS = 500;

    private static final long SHORTEST_TICK_MS = 100;
    private static final int TICKS_IN_REPORT = 20;

    /**
     * What the worker knows at its start.
     *
     * @param addr     where it takes direct calls
     * @param type     name of its machine's type
     * @param cpus     processors of its machine
     * @param reportMs how often it sends a heartbeat
     * @param leaseMs  for how long a heartbeat that was answered keeps its tasks
     * @param nodes    the controllers
     */
    public record Config(
            String addr, String type, double cpus, long reportMs, long leaseMs, List<ControllerAddress> nodes) {}

    /** A controller, by its name and by the address that it serves on. */
    public record ControllerAddress(String host, String addr) {}

    private final Config config;
    private final EventLoop loop;
    private final Http http;
    private final GroundTruth truth;
    private final EmulatedCloud.Box box;
    private final Hanging hanging = new Hanging();
    private final EmulatedTasks tasks;
    private long session = 1;
    private long seq;
    private long token;
    private long renewedAt;
    /** Position of the controller that gets the heartbeats. */
    private int node;

    private boolean reporting;
    private long reportedAt = NEVER;

    /** A worker that begins at once. */
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
        this.tasks = new EmulatedTasks(config, loop, truth, box, hanging);
        this.renewedAt = loop.now();
        this.node = random.nextInt(config.nodes.size());
        tick();
    }

    /** The machine stops at once, with all that is on it. */
    public void die() {
        tasks.die();
    }

    /** From now on every task fails here. */
    public void spoil() {
        tasks.spoil();
    }

    /** True while the machine hangs. */
    public boolean hangs() {
        return hanging.hangs();
    }

    /** Number of images on the machine. */
    public int images() {
        return tasks.images();
    }

    /** Its machine. */
    public EmulatedCloud.Box box() {
        return box;
    }

    /** A task that runs here, or null. */
    public String running() {
        return tasks.running();
    }

    /** True if the task runs here. */
    public boolean runs(String task) {
        return tasks.runs(task);
    }

    /** The present session; a new process begins with 1. */
    public long session() {
        return session;
    }

    /** The highest fencing token that this process has seen. */
    public long token() {
        return token;
    }

    /** Processors that nothing on it takes. */
    public double free() {
        return tasks.free();
    }

    /** A task ends with an error. */
    public void fail(String task) {
        tasks.fail(task);
    }

    /** The machine hangs from now on, or goes on. */
    public void hang(boolean on) {
        if (on) {
            hanging.hang();
            return;
        }
        hanging.resume();
        checkLease();
        hanging.catchUp();
    }

    private void tick() {
        if (tasks.dead()) {
            return;
        }
        // A machine that hangs past its lease is as good as one that killed its tasks: they never run on.
        checkLease();
        long since = loop.now() - reportedAt;
        boolean due = since >= config.reportMs || (tasks.changed() && since >= NEWS_PAUSE_MS);
        if (due && !reporting && !hanging.hangs()) {
            report();
        }
        loop.after(Math.max(SHORTEST_TICK_MS, config.reportMs / TICKS_IN_REPORT), this::tick);
    }

    private void checkLease() {
        if (loop.now() - renewedAt > config.leaseMs) {
            tasks.clear();
            session++;
            renewedAt = loop.now();
        }
    }

    /** The next heartbeat. */
    private byte[] heartbeat() {
        seq++;
        byte[] body = new Heartbeat(
                        box.id,
                        config.addr,
                        config.type,
                        box.zone,
                        box.spot,
                        session,
                        seq,
                        token,
                        null,
                        tasks.entries())
                .bytes();
        if (MessageSize.isOversized(body)) {
            truth.oversized("heartbeat of " + box.id, body.length);
        }
        return body;
    }

    private void report() {
        reporting = true;
        tasks.changed(false);
        reportedAt = loop.now();
        long sentAt = loop.now();
        long sentIn = session;
        String controller = config.nodes.get(node).addr;
        http.call(controller, "POST", "/hello", heartbeat(), ANSWER_MS, reply -> {
            hanging.whenAwake(() -> answered(reply, sentAt, sentIn));
        });
    }

    private void answered(Http.Reply reply, long sentAt, long sentIn) {
        if (tasks.dead()) {
            return;
        }
        reporting = false;
        checkLease();
        boolean oversized = MessageSize.hasOversizedLine(reply.body());
        if (oversized) {
            truth.oversized("answer to a heartbeat of " + box.id, MessageSize.longestLine(reply.body()));
        }
        if (reply.is(200) && !oversized && loop.now() - sentAt <= ANSWER_MS) {
            CommandBatch batch = batch(reply.body());
            if (session == sentIn && batch.token() >= token) {
                showToken(batch.token());
                renewedAt = Math.max(renewedAt, sentAt);
                tasks.execute(batch.commands());
            }
        } else if (!(reply.is(421) && follow(LeaderRedirect.leaderHost(Json.parse(reply.body()))))) {
            askNextController();
        }
    }

    /** True if the worker turns to the controller that was named. */
    private boolean follow(Optional<String> host) {
        int leader = host.map(this::indexOf).orElse(-1);
        if (leader < 0 || leader == node) {
            return false;
        }
        node = leader;
        tasks.changed(true);
        return true;
    }

    private int indexOf(String host) {
        for (int i = 0; i < config.nodes.size(); i++) {
            if (config.nodes.get(i).host.equals(host)) {
                return i;
            }
        }
        return -1;
    }

    private void askNextController() {
        node = (node + 1) % config.nodes.size();
        reportedAt = loop.now();
        loop.after(NEXT_CONTROLLER_MS, () -> reportedAt = NEVER);
    }

    private void showToken(long given) {
        if (given > token) {
            token = given;
            tasks.changed(true);
        }
    }

    /** What a controller sends; one that sends anything else breaks the protocol, and the run ends. */
    private static CommandBatch batch(byte[] body) {
        JsonNode node = Json.parse(body);
        try {
            return CommandBatch.parse(node);
        } catch (InvalidMessageException e) {
            throw new IllegalStateException("a controller has sent " + (node == null ? "no JSON" : Json.text(node)), e);
        }
    }

    @Override
    public void serve(Exchange exchange) {
        if (tasks.dead()) {
            return;
        }
        if (hanging.hangs()) {
            hanging.whenAwake(() -> serve(exchange));
            return;
        }
        checkLease();
        if (MessageSize.isOversized(exchange.body())) {
            truth.oversized("direct call to " + box.id, exchange.body().length);
            exchange.answer(400, new byte[0]);
            return;
        }
        CommandBatch batch = batch(exchange.body());
        boolean valid = batch.token() >= token && batch.session() == session;
        showToken(batch.token());
        truth.ordered(GroundTruth.Order.CALL, box.id, null, box.pool(), false);
        if (valid) {
            tasks.execute(batch.commands());
        }
        exchange.answer(valid ? 200 : 409, heartbeat());
    }
}
