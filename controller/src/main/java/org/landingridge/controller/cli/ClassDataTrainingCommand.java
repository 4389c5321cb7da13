package org.landingridge.controller.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.landingridge.controller.settings.InvalidSettingsException;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.net.BodyLimits;
import org.landingridge.net.HttpClient;
import org.landingridge.net.HttpServer;
import org.landingridge.net.XnioEventLoop;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.MessageLimits;
import org.landingridge.wire.Priority;
import org.xnio.XnioWorker;
import picocli.CommandLine.Command;

/**
 * The training run for the class-data archive: runs a controller on loopback for a moment, so that the build can record
 * which classes a controller loads from its start until it leads and serves. Whatever is not recorded is read and verified
 * at each start, while workers' leases run.
 *
 * <p>{@code rehearse} is the command's former name, for builds that still call it.
 */
@Command(name = "train-class-data", aliases = "rehearse", hidden = true)
public final class ClassDataTrainingCommand implements Callable<Integer> {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int CLIENT_CONNECTIONS = 16;
    private static final long TIMEOUT_MS = 1_000;
    /** The first requests are refused: a controller is not ready yet. */
    private static final long FIRST_REQUESTS_MS = 600;

    private static final long BETWEEN_REQUESTS_MS = 100;
    private static final int ROUNDS = 25;
    private static final long CANCEL_MS = 3_200;
    private static final long END_MS = 3_600;
    private static final JobSpec JOB = new JobSpec(
            "job-000001",
            "l",
            "t",
            false,
            Priority.NORMAL,
            2,
            1,
            0,
            1,
            "i",
            0.1,
            null,
            null,
            false,
            false,
            true,
            5,
            0,
            0,
            60.0);

    private static final String CLUSTER = """
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

    /** Runs the controller for some seconds; the process ends after it, and with it the controller. */
    @Override
    public Integer call() throws Exception {
        int serve = freePort();
        int peer = freePort();
        int standIn = freePort();
        Settings settings = settings(serve, peer, standIn);
        XnioWorker worker = XnioEventLoop.worker();
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        TrainingCluster cluster = new TrainingCluster(loop, LOOPBACK + ':' + standIn);
        InetSocketAddress listen = InetSocketAddress.createUnresolved(LOOPBACK, standIn);
        new HttpServer(worker, listen, BodyLimits.ofHeap(MessageLimits.MAX_MESSAGE_BYTES), cluster::answer).start();
        RunCommand.start(settings, Policy.DEFAULT);
        HttpClient client = new HttpClient(worker.getIoThread(), loop, CLIENT_CONNECTIONS);
        schedule(loop, client, LOOPBACK + ':' + serve, cluster);
        Thread.sleep(END_MS);
        return 0;
    }

    private static Settings settings(int serve, int peer, int standIn) throws IOException, InvalidSettingsException {
        Path file = Files.createTempFile("class-data-training", ".toml");
        try {
            Files.writeString(file, settingsText(serve, peer, standIn), StandardCharsets.UTF_8);
            return Settings.read(file);
        } finally {
            Files.delete(file);
        }
    }

    private static void schedule(XnioEventLoop loop, HttpClient client, String controller, TrainingCluster cluster) {
        for (int i = 0; i < ROUNDS; i++) {
            loop.after(FIRST_REQUESTS_MS + i * BETWEEN_REQUESTS_MS, () -> {
                client.call(controller, "GET", "/ready", null, TIMEOUT_MS, reply -> {});
                client.call(controller, "POST", "/api/jobs", Json.bytes(JOB.json()), TIMEOUT_MS, reply -> {});
                client.call(controller, "GET", "/api/jobs/job-000001", null, TIMEOUT_MS, reply -> {});
                client.call(controller, "POST", "/hello", cluster.heartbeat(), TIMEOUT_MS, cluster::heartbeatAnswered);
            });
        }
        loop.after(
                CANCEL_MS,
                () -> client.call(controller, "POST", "/api/jobs/job-000001/cancel", null, TIMEOUT_MS, reply -> {}));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static String settingsText(int serve, int peer, int standIn) {
        return String.format("""
                host_name = "training"
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
                """, serve, peer, peer, standIn, standIn) + CLUSTER;
    }
}
