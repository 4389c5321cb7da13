package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.landingridge.emulator.InvariantChecker;
import org.landingridge.emulator.MessageSize;
import org.landingridge.emulator.Simulation;
import org.landingridge.net.Http;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/** Users and operators of a simulated cluster: they submit, poll and cancel over the network, and retry. */
final class SimulatedUsers {
    private static final long RETRY_SUBMIT_MS = 100;
    private static final int LOOKS = 3;
    private static final int LOOK_WITHIN_MS = 40;
    /** The numbers of jobs that no controller may accept begin here. */
    private static final int FIRST_INVALID = 900_000;

    private final SimulatedCluster cluster;
    private final Simulation sim;
    private final Simulation.Host host;
    private final InvariantChecker checker;
    final AdmissionDelays admissions = new AdmissionDelays();
    /** Users ask at all controllers within milliseconds after a job was accepted, ended or cancelled. */
    boolean askEverywhereAtOnce;
    /** Share of the jobs that end whose users cancel them at the moment of the end. */
    double cancelAtEndShare;

    private int invalid = FIRST_INVALID;

    SimulatedUsers(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.sim = cluster.sim;
        this.host = cluster.userHost;
        this.checker = cluster.checker;
    }

    void allCompleted(String id) {
        if (cancelAtEndShare > 0 && sim.random.nextDouble() < cancelAtEndShare) {
            askOnce(id, "cancel");
        }
        askEverywhere(id);
    }

    /** Asks for a job at every controller, some times within milliseconds; the submission is repeated, and some call the job off. */
    private void askEverywhere(String id) {
        if (!askEverywhereAtOnce) {
            return;
        }
        for (int node = 0; node < cluster.setup.controllers(); node++) {
            for (int i = 0; i < LOOKS; i++) {
                int at = node;
                host.after(sim.random.nextInt(LOOK_WITHIN_MS), () -> askOnce(id, "poll", at));
            }
            int at = node;
            host.after(sim.random.nextInt(LOOK_WITHIN_MS), () -> askOnce(id, "submit", at));
        }
        if (sim.random.nextInt(8) == 0) {
            host.after(sim.random.nextInt(LOOK_WITHIN_MS), () -> askOnce(id, "cancel"));
        }
    }

    /**
     * Users call off, within a fifth of a second, so many of the jobs that run.
     *
     * @param hangMs so long up to eight of their machines hang from then on; 0: none does
     */
    void cancelNow(int count, long hangMs) {
        List<String> ids = checker.locationByTask.keySet().stream()
                .map(t -> t.substring(0, t.lastIndexOf('/')))
                .distinct()
                .sorted()
                .filter(id -> !checker.cancelAsked.contains(id))
                .limit(count)
                .toList();
        ids.forEach(id -> host.after(sim.random.nextInt(200), () -> cancel(id)));
        if (hangMs > 0) {
            cluster.workers.stream()
                    .filter(w -> ids.stream()
                            .anyMatch(id -> checker.placesOf(id).values().stream()
                                    .anyMatch(p -> p.startsWith(w.box().id + "@"))))
                    .limit(8)
                    .toList()
                    .forEach(w -> {
                        w.hang(true);
                        host.after(hangMs, () -> w.hang(false));
                    });
        }
    }

    /** A user does something odd: repeats, cancels what is done, or sends a job that lacks a field or can never run. */
    void oddRequest() {
        List<String> known = checker.lastStatusByJob.keySet().stream().sorted().toList();
        int what = sim.random.nextInt(4);
        if (what < 2 && !known.isEmpty()) {
            String id = known.get(sim.random.nextInt(known.size()));
            boolean done = "done".equals(checker.lastStatusByJob.get(id));
            if (done || what == 0) {
                askOnce(id, done ? "cancel" : "submit");
            }
            return;
        }
        InvalidSubmissions.InvalidSubmission job = InvalidSubmissions.any(SampleJobs.id(invalid++), sim.random);
        checker.unacceptable.put(job.id(), job.status());
        for (int node = 0; node < cluster.setup.controllers(); node++) {
            int at = node;
            ask(at, job.id(), "submit", "POST", "/api/jobs", Json.bytes(job.body()), 0);
            host.after(100, () -> askOnce(job.id(), "poll", at));
        }
    }

    /** A user submits, retries until accepted, then polls until the job is over. */
    void submit(JobSpec spec) {
        checker.specs.put(spec.id(), spec);
        admissions.asked(spec.id(), sim.now);
        ask(spec.id(), "submit", "POST", "/api/jobs", Json.bytes(spec.json()), 60);
    }

    /** A user submits a job as soon as all that it awaits are accepted. */
    void submitWhenAwaitedAreAccepted(JobSpec spec) {
        if (checker.lastStatusByJob.keySet().containsAll(spec.awaits())) {
            submit(spec);
        } else {
            host.after(RETRY_SUBMIT_MS, () -> submitWhenAwaitedAreAccepted(spec));
        }
    }

    /** An operator asks a controller for a change of the configuration. */
    void configure(int node, ObjectNode change, Consumer<Http.Reply> answered) {
        sim.client(host).call(ControllerNode.address(node), "POST", "/api/config", Json.bytes(change), 5_000, answered);
    }

    /** The configuration by which a controller acts, as it shows it. */
    JsonNode configuration(ControllerNode node) {
        return Json.parse(node.get("/api/config").getBytes(StandardCharsets.UTF_8));
    }

    /** The last changes of the configuration, the newest first. */
    JsonNode configurationLog(ControllerNode node) {
        return Json.parse(node.get("/api/config/history").getBytes(StandardCharsets.UTF_8))
                .get("changes");
    }

    void cancel(String id) {
        checker.cancelAsked.add(id);
        ask(id, "cancel", "POST", "/api/jobs/" + id + "/cancel", new byte[0], 60);
    }

    void poll(String id) {
        ask(id, "poll", "GET", "/api/jobs/" + id, null, 1);
    }

    private void ask(String id, String what, String method, String path, byte[] body, int tries) {
        ask(sim.random.nextInt(cluster.setup.controllers()), id, what, method, path, body, tries);
    }

    private void ask(int node, String id, String what, String method, String path, byte[] body, int tries) {
        long askedAt = sim.now;
        sim.client(host).call(ControllerNode.address(node), method, path, body, 5_000, reply -> {
            boolean settled = false;
            if (reply.outcome() == Http.Outcome.ANSWERED) {
                if (MessageSize.hasOversizedLine(reply.body())) {
                    checker.oversized("answer to a user about " + id, MessageSize.longestLine(reply.body()));
                }
                JsonNode n = Json.parse(reply.body());
                String state =
                        n == null || !n.has("status") ? "" : n.get("status").textValue();
                checker.answered(id, what, askedAt, reply.status(), state);
                if (what.equals("submit") && reply.status() / 100 == 2) {
                    admissions.accepted(id, sim.now);
                }
                if (tries > 0 && !what.equals("poll") && reply.status() / 100 == 2) {
                    askEverywhere(id);
                }
                settled = reply.status() / 100 == 2 || reply.status() == 400 || reply.status() == 422;
            }
            if (tries == 0) {
                return;
            }
            if (!settled && tries > 1) {
                host.after(1_000, () -> ask(id, what, method, path, body, tries - 1));
            } else if (what.equals("submit") && settled || what.equals("poll")) {
                String told = checker.lastStatusByJob.get(id);
                if (!"done".equals(told) && !"cancelled".equals(told)) {
                    host.after(2_000, () -> poll(id));
                }
            }
        });
    }

    /** Asks for a job once: a poll, a late retry of its submission, or a cancellation. */
    void askOnce(String id, String what) {
        askOnce(id, what, sim.random.nextInt(cluster.setup.controllers()));
    }

    void askOnce(String id, String what, int node) {
        switch (what) {
            case "poll" -> ask(node, id, "poll", "GET", "/api/jobs/" + id, null, 0);
            case "submit" ->
                ask(
                        node,
                        id,
                        "submit",
                        "POST",
                        "/api/jobs",
                        Json.bytes(checker.specs.get(id).json()),
                        0);
            default -> {
                if (!"done".equals(checker.lastStatusByJob.get(id))) {
                    checker.cancelAsked.add(id);
                }
                ask(node, id, "cancel", "POST", "/api/jobs/" + id + "/cancel", new byte[0], 0);
            }
        }
    }

    /** Submits this body to a controller; the status of its answer. */
    int post(ControllerNode node, byte[] body) {
        int[] status = new int[1];
        sim.client(host)
                .call(
                        ControllerNode.address(node.index),
                        "POST",
                        "/api/jobs",
                        body,
                        5_000,
                        reply -> status[0] = reply.status());
        for (long until = sim.now + 5_000; status[0] == 0 && sim.now < until; ) {
            sim.run(sim.now + 10);
        }
        return status[0];
    }
}
