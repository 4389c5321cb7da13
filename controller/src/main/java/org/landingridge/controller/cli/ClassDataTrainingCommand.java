package org.landingridge.controller.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.net.Http;
import org.landingridge.net.HttpClient;
import org.landingridge.net.HttpServer;
import org.landingridge.net.XnioEventLoop;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.xnio.XnioWorker;
import picocli.CommandLine.Command;

/**
 * Runs a controller on loopback for a moment, so that the build can record which classes a controller loads from its
 * start until it leads and serves: whatever is not recorded is read and checked anew at each start, while workers'
 * leases run. One stand-in on loopback answers for state service, cloud and worker, with the least that makes the
 * controller go on.
 */
@Command(name = "rehearse", hidden = true)
public final class ClassDataTrainingCommand implements Callable<Integer> {
    private static final String JOB = """
            {"id":"job-000001","lane":"l","crew":"t","shape":"sweep","urgency":"normal","takes":2,"cpus":1.0,"cards":0.0,
             "memoryGb":1.0,"reel":"i","sizeGb":0.1,"oneZone":false,"scatter":false,"standby":true,"runtimeS":5.0,
             "savepointS":0.0,"flushS":0.0,"airtimeS":60.0}
            """;
    private static final String TYPES = """
            {"rigs":[{"name":"k","cpus":4,"cards":0,"memoryGb":8,"localGb":9,"fetchGbPerS":1.0,"hourly":1.0,
              "spotPrice":0.5,"startupS":5,"yards":["z"]}]}
            """;
    private final String host = "127.0.0.1:";
    private int edition;
    private int tally;
    private String task;

    @Override
    public Integer call() throws Exception {
        int serve = freePort();
        int back = freePort();
        int standIn = freePort();
        Path file = Files.createTempFile("rehearsal", ".toml");
        Files.writeString(file, String.format(SETTINGS, serve, back, back, standIn, standIn), StandardCharsets.UTF_8);
        Settings settings = Settings.read(file);
        Files.delete(file);
        XnioWorker worker = XnioEventLoop.worker();
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        new HttpServer(
                        worker,
                        new InetSocketAddress("127.0.0.1", standIn),
                        JobSpec.MAX_BODY,
                        x -> answer(x, loop, host + standIn))
                .start();
        RunCommand.start(settings, Policy.DEFAULT);
        HttpClient client = new HttpClient(worker.getIoThread(), loop, 16);
        for (int i = 0; i < 25; i++) {
            loop.after(600 + i * 100L, () -> {
                client.call(host + serve, "GET", "/ready", null, 1_000, r -> {});
                client.call(host + serve, "POST", "/api/jobs", bytes(JOB), 1_000, r -> {});
                client.call(host + serve, "GET", "/api/jobs/job-000001", null, 1_000, r -> {});
                client.call(host + serve, "POST", "/hello", report(host + standIn), 1_000, this::note);
            });
        }
        loop.after(3_200, () -> client.call(host + serve, "POST", "/api/jobs/job-000001/cancel", null, 1_000, r -> {}));
        Thread.sleep(3_600);
        return 0;
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void answer(Http.Exchange x, XnioEventLoop loop, String addr) {
        String path = x.path();
        if (path.equals("/machine_types")) {
            x.answer(200, bytes(TYPES));
        } else if (path.equals("/watch")) {
            byte[] none = bytes("{\"edition\":" + edition + ",\"events\":[]}");
            loop.after(30, () -> x.answer(200, none));
        } else if (path.equals("/commit")) {
            x.answer(200, bytes("{\"edition\":" + ++edition + "}"));
        } else if (path.equals("/holds")) {
            x.answer(200, bytes("{\"permit\":1}"));
        } else if (path.equals("/store")) {
            x.answer(200, bytes("{\"entries\":[],\"more\":false,\"edition\":0}"));
        } else if (path.equals("/hosts") && x.method().equals("POST")) {
            x.answer(200, bytes("{\"boxes\":[\"m-000001\"]}"));
        } else if (path.equals("/hosts")) {
            x.answer(
                    200,
                    bytes("{\"boxes\":[{\"id\":\"m-000001\",\"rig\":\"k\",\"yard\":\"z\",\"standby\":true,"
                            + "\"status\":\"running\",\"heldS\":1.5}],\"more\":false}"));
        } else if (path.equals("/commands")) {
            cues(Json.parse(x.body()));
            x.answer(200, report(addr));
        } else {
            x.answer(200, bytes("{}"));
        }
    }

    private void note(Http.Reply reply) {
        if (reply.is(200)) {
            cues(Json.parse(reply.body()));
        }
    }

    private void cues(JsonNode body) {
        for (JsonNode cue : body.path("cues")) {
            task = "\"take\":" + cue.path("take") + ",\"try\":" + cue.path("try");
        }
    }

    private byte[] report(String addr) {
        ObjectNode n = Json.object();
        n.put("box", "m-000001")
                .put("addr", addr)
                .put("rig", "k")
                .put("yard", "z")
                .put("standby", true)
                .put("shift", 1)
                .put("tally", ++tally)
                .put("baton", edition + 1000);
        n.set(
                "takes",
                Json.parse(bytes(
                        task == null
                                ? "[]"
                                : "[{" + task + ",\"status\":\""
                                        + (tally % 3 == 0 ? "ended\",\"cause\":\"done\"}]" : "running\"}]"))));
        return Json.bytes(n);
    }

    private static final String SETTINGS = """
            host_name = "rehearsal"
            zone = "z"
            serve_on = "127.0.0.1:%d"
            back = "127.0.0.1:%d"
            [[known]]
            host_name = "other"
            zone = "z"
            endpoint = "127.0.0.1:%d"
            [external]
            cloud = "127.0.0.1:%d"
            state = "127.0.0.1:%d"
            [cluster]
            zones = ["z"]
            skew_ms = 25.0
            [[cluster.teams]]
            name = "t"
            cpus = 4.0
            cpus_max = 8.0
            [[cluster.objectives]]
            kind = "wait"
            class = "l"
            within_s = 2.0
            share = 0.9
            [cluster.workers]
            report_s = 1.0
            lease_s = 10.0
            cancel_s = 30.0
            [cluster.state]
            rps = 200.0
            write_rps = 40.0
            value_kb = 4.0
            txn_ops = 8
            [cluster.cloud]
            rps = 5.0
            list_lag_s = 1.0
            [cluster.machine_limits]
            cpu = 1.0
            mem_mb = 200.0
            max_connections = 100
            """;
}
