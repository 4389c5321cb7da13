package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.landingridge.controller.store.Keys;
import org.landingridge.emulator.EmulatedCloud;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.LoopbackCluster;
import org.landingridge.wire.Json;

/**
 * What a history of ended jobs costs one controller, as a process of its own with a heap of 64 MB: from its start until it
 * leads and is ready, and what it then answers. The jar may be of any version, so that versions can be compared.
 */
public final class HistoryBenchmark {
    /** KEYS: a key for each ended job, as versions before 0.2 left them. SEGMENTS: all moved into the history. */
    public enum Form {
        KEYS,
        SEGMENTS
    }

    /**
     * One measurement.
     *
     * @param readyMs  from the process's start until it leads and is ready; -1: it did not within the time
     * @param requests to the state service until then
     * @param peakKb   the most memory that the process held, by the kernel's count
     * @param failed   what it did not answer as it should, or why it ended; empty if all was well
     */
    public record Result(Form form, int ended, long readyMs, int requests, long peakKb, List<String> failed) {}

    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final int FIRST = 100_000;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(PATIENCE).build();

    /** @param limitS how long the controller has to become ready */
    public Result measure(Path jar, Form form, int ended, int limitS) throws IOException, InterruptedException {
        EmulatedStateService[] state = new EmulatedStateService[1];
        String serve = "127.0.0.1:" + LoopbackCluster.freePort();
        Path settings = Files.createTempFile("probe", ".toml");
        try (LoopbackCluster loopback = new LoopbackCluster(
                new LoopbackCluster.Config(
                        new EmulatedCloud.Offer("t4", 4, 8, List.of("a"), 1_000, 1_000),
                        1,
                        List.of(new EmulatedWorker.ControllerAddress("rig-0", serve)),
                        1_000,
                        10_000),
                null,
                s -> {
                    state[0] = s;
                    seed(s, form, ended);
                    return new StoredGroundTruth(s);
                })) {
            Files.writeString(
                    settings,
                    String.format(SETTINGS, serve, LoopbackCluster.freePort(), loopback.cloud(), loopback.state()),
                    StandardCharsets.UTF_8);
            long began = System.nanoTime();
            // The class-data archive beside the jar, as in deploy/service.toml; without one this says nothing.
            String archive = jar.toString().replaceAll("\\.jar$", ".jsa");
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx64m",
                            "-Xss256k",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-XX:-UsePerfData",
                            "-XX:SharedArchiveFile=" + archive,
                            "-Xshare:auto",
                            "-Xlog:disable",
                            "-jar",
                            jar.toString(),
                            "--config",
                            settings.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            try {
                return watch(process, state[0], form, ended, serve, began, limitS);
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(settings);
        }
    }

    private Result watch(
            Process process, EmulatedStateService state, Form form, int ended, String serve, long began, int limitS)
            throws InterruptedException {
        long readyMs = -1;
        AtomicInteger requests = new AtomicInteger();
        List<String> failed = new ArrayList<>();
        while (readyMs < 0 && process.isAlive() && System.nanoTime() - began < TimeUnit.SECONDS.toNanos(limitS)) {
            JsonNode status = ask("GET", serve, "/api/status", null).body;
            if (status != null && "LEADING".equals(Json.text(status, "leadership")) && Json.flag(status, "ready")) {
                readyMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
                requests.set(state.requests());
            } else {
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        if (readyMs < 0) {
            failed.add(process.isAlive() ? "not ready within " + limitS + " s" : "ended with " + process.exitValue());
        } else {
            expect(failed, "a new job", 201, "queued", ask("POST", serve, "/api/jobs", job(FIRST + ended + 7)));
            expect(failed, "an old job", 200, "done", ask("GET", serve, "/api/jobs/" + SampleJobs.id(FIRST + 1), null));
            expect(
                    failed,
                    "an old job's retry",
                    200,
                    "done",
                    ask("POST", serve, "/api/jobs", job(FIRST + ended / 7 * 7 - 1)));
            expect(
                    failed,
                    "an old cancelled job",
                    200,
                    "cancelled",
                    ask("GET", serve, "/api/jobs/" + SampleJobs.id(FIRST), null));
            expect(
                    failed,
                    "nobody's job",
                    404,
                    null,
                    ask("GET", serve, "/api/jobs/" + SampleJobs.id(FIRST + ended + 9), null));
            expect(
                    failed,
                    "a cancellation",
                    200,
                    "cancelled",
                    ask("POST", serve, "/api/jobs/" + SampleJobs.id(FIRST + ended + 7) + "/cancel", ""));
        }
        return new Result(form, ended, readyMs, requests.get(), peakKb(process), failed);
    }

    static void seed(EmulatedStateService state, Form form, int ended) {
        if (form == Form.SEGMENTS) {
            HistorySeeds.segments(state, FIRST, ended);
            return;
        }
        JsonNode done = Json.object().put("ended", "DONE").put("takes", 35);
        JsonNode cancelled = Json.object().put("ended", "CANCELLED").put("takes", 35);
        for (int i = 0; i < ended; i++) {
            state.seed(Keys.JOBS + SampleJobs.id(FIRST + i), i % 7 == 0 ? cancelled : done);
        }
    }

    private static String job(int number) {
        return "{\"id\":\"" + SampleJobs.id(number)
                + "\",\"lane\":\"l\",\"crew\":\"local\",\"shape\":\"sweep\",\"urgency\":\"normal\","
                + "\"takes\":3,\"cpus\":1.0,\"memoryGb\":1.0,\"reel\":\"i\",\"sizeGb\":0.1,\"runtimeS\":600.0}";
    }

    private record Reply(int status, JsonNode body) {}

    private Reply ask(String method, String server, String path, String body) throws InterruptedException {
        try {
            HttpResponse<byte[]> r = http.send(
                    HttpRequest.newBuilder(URI.create("http://" + server + path))
                            .timeout(PATIENCE)
                            .method(
                                    method,
                                    body == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofByteArray());
            return new Reply(r.statusCode(), Json.parse(r.body()));
        } catch (IOException e) {
            return new Reply(0, null);
        }
    }

    private static void expect(List<String> failed, String what, int status, String state, Reply reply) {
        String seen = reply.body == null ? null : Json.text(reply.body, "status");
        if (reply.status != status || state != null && !state.equals(seen)) {
            failed.add(what + ": " + reply.status + " " + seen);
        }
    }

    /** The kernel's high-water mark of the process, 0 where there is none to read. */
    private static long peakKb(Process process) {
        try (Stream<String> lines = Files.lines(Path.of("/proc", "" + process.pid(), "status"))) {
            return lines.filter(l -> l.startsWith("VmHWM:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    private static final String SETTINGS = """
            host_name = "rig-0"
            zone = "a"
            serve_on = "%s"
            back = "127.0.0.1:%d"
            [external]
            cloud = "%s"
            state = "%s"
            [cluster]
            count = 1
            zones = ["a"]
            skew_ms = 25.0
            [[cluster.teams]]
            name = "local"
            cpus = 16.0
            cpus_max = 0.0
            [cluster.workers]
            report_s = 1.0
            lease_s = 10.0
            cancel_s = 30.0
            [cluster.state]
            rps = 250.0
            write_rps = 50.0
            value_kb = 4.0
            txn_ops = 8
            [cluster.cloud]
            rps = 10.0
            list_lag_s = 1.0
            [cluster.machine_limits]
            cpu = 1.0
            mem_mb = 200.0
            max_connections = 500
            """;
}
