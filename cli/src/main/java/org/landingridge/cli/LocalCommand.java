package org.landingridge.cli;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.landingridge.emulator.EmulatedCloud;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.FileStore;
import org.landingridge.emulator.LoopbackCluster;
import org.landingridge.experiment.StoredGroundTruth;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/**
 * The whole service on this machine: controllers as processes of their own, so that they can be killed, among stand-ins
 * for state service, cloud and workers in this one. A controller that ends is started again.
 */
@Command(
        name = "local",
        mixinStandardHelpOptions = true,
        description = "Run controllers, a state service, a cloud and workers on this machine.")
final class LocalCommand implements Callable<Integer> {
    private static final String TYPE = "box4";
    private static final long LEASE_MS = 12_000;
    private static final long REPORT_MS = 1_000;
    private static final long BACK_MS = 2_000;
    private static final String PIDS = "controllers.pid";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--controllers",
            defaultValue = "3",
            paramLabel = "N",
            description = "how many controllers (1 to 9; ${DEFAULT-VALUE})")
    private int controllers;

    @Option(
            names = "--machines",
            defaultValue = "10",
            paramLabel = "N",
            description = "how many spot and how many ordinary machines the cloud has (1 to 200; ${DEFAULT-VALUE})")
    private int machines;

    @Option(
            names = "--port",
            defaultValue = "8080",
            paramLabel = "PORT",
            description = "the first controller's port for users, the others follow (${DEFAULT-VALUE})")
    private int port;

    @Option(
            names = "--state",
            paramLabel = "DIR",
            description = "keep the state in this folder and go on from it; without it nothing is kept")
    private Path dir;

    private final List<Process> running = new ArrayList<>();
    private volatile boolean stopping;

    @Override
    public Integer call() throws IOException, InterruptedException {
        check("--controllers", controllers, 1, 9);
        check("--machines", machines, 1, 200);
        check("--port", port, 1024, 65_500);
        Path folder = dir == null ? Files.createTempDirectory("landingridge") : Files.createDirectories(dir);
        endLeftovers(folder);
        FileStore shelf = dir == null ? null : new FileStore(folder.resolve("state.mv"));
        List<EmulatedWorker.ControllerAddress> nodes = new ArrayList<>();
        List<Integer> backs = new ArrayList<>();
        for (int i = 0; i < controllers; i++) {
            nodes.add(new EmulatedWorker.ControllerAddress("rig-" + i, "127.0.0.1:" + (port + i)));
            backs.add(LoopbackCluster.freePort());
        }
        LoopbackCluster loopback = new LoopbackCluster(
                new LoopbackCluster.Config(
                        new EmulatedCloud.Offer(TYPE, 4, 8, List.of("a", "b"), 3_000, 2_000),
                        machines,
                        nodes,
                        REPORT_MS,
                        LEASE_MS),
                shelf,
                StoredGroundTruth::new);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            stopping = true;
            synchronized (running) {
                running.forEach(Process::destroyForcibly);
            }
            loopback.close();
        }));
        for (int i = 0; i < controllers; i++) {
            Path settings = folder.resolve("rig-" + i + ".toml");
            Files.writeString(settings, settings(i, nodes, backs, loopback), StandardCharsets.UTF_8);
            int n = i;
            Thread keeper = new Thread(() -> keep(n, settings, folder.resolve("rig-" + n + ".log")), "rig-" + i);
            keeper.setDaemon(true);
            keeper.start();
        }
        System.out.printf(
                "Submit jobs to any of: %s%n",
                String.join(
                        ", ",
                        nodes.stream()
                                .map(EmulatedWorker.ControllerAddress::addr)
                                .toList()));
        System.out.printf(
                "Team: local. Machine type: %s (4 CPUs, 8 GB), %d spot and %d ordinary ones in zones a and b.%n",
                TYPE, machines, machines);
        System.out.printf("Settings and the controllers' logs: %s. Stop with Ctrl-C.%n", folder);
        Thread.currentThread().join();
        return 0;
    }

    /** Controllers of an earlier run that was killed itself would hold their ports. */
    private static void endLeftovers(Path folder) throws IOException {
        Path pids = folder.resolve(PIDS);
        if (Files.exists(pids)) {
            for (String line : Files.readAllLines(pids)) {
                ProcessHandle.of(Long.parseLong(line))
                        .filter(p -> p.info()
                                .arguments()
                                .map(a -> List.of(a).contains("org.landingridge.controller.cli.Main"))
                                .orElse(false))
                        .ifPresent(ProcessHandle::destroyForcibly);
            }
            Files.delete(pids);
        }
    }

    private void check(String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw new ParameterException(
                    spec.commandLine(), option + ": expected " + least + " to " + most + ", got " + value);
        }
    }

    /** Runs one controller again and again. */
    private void keep(int index, Path settings, Path log) {
        while (!stopping) {
            try {
                Process process;
                synchronized (running) {
                    if (stopping) {
                        return;
                    }
                    process = new ProcessBuilder(
                                    ProcessHandle.current().info().command().orElse("java"),
                                    "-Xmx64m",
                                    "-XX:+UseSerialGC",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "org.landingridge.controller.cli.Main",
                                    "--config",
                                    settings.toString())
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
                            .start();
                    running.add(process);
                    Files.writeString(
                            settings.resolveSibling(PIDS),
                            running.stream().map(p -> p.pid() + "\n").reduce("", String::concat));
                }
                System.out.printf("rig-%d runs as process %d%n", index, process.pid());
                int code = process.waitFor();
                synchronized (running) {
                    running.remove(process);
                }
                if (!stopping) {
                    System.out.printf("rig-%d ended with %d, back in %d s%n", index, code, BACK_MS / 1000);
                    TimeUnit.MILLISECONDS.sleep(BACK_MS);
                }
            } catch (IOException e) {
                System.err.println("landingridge: cannot start a controller: " + e.getMessage());
                return;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private String settings(
            int index, List<EmulatedWorker.ControllerAddress> nodes, List<Integer> backs, LoopbackCluster loopback) {
        StringBuilder s = new StringBuilder();
        s.append(String.format("""
                host_name = "rig-%d"
                zone = "a"
                serve_on = "%s"
                back = "127.0.0.1:%d"
                """, index, nodes.get(index).addr(), backs.get(index)));
        for (int i = 0; i < nodes.size(); i++) {
            if (i != index) {
                s.append(String.format("""
                        [[known]]
                        host_name = "rig-%d"
                        zone = "a"
                        endpoint = "127.0.0.1:%d"
                        """, i, backs.get(i)));
            }
        }
        s.append(String.format(
                """
                [external]
                cloud = "%s"
                state = "%s"
                [cluster]
                count = %d
                zones = ["a", "b"]
                skew_ms = 25.0
                [[cluster.teams]]
                name = "local"
                cpus = 16.0
                cpus_max = 0.0
                gpus = 0.0
                gpus_max = 0.0
                [cluster.workers]
                report_s = %.1f
                lease_s = %.1f
                cancel_s = 30.0
                [cluster.state]
                rps = 500.0
                write_rps = 100.0
                value_kb = 4.0
                txn_ops = 8
                [cluster.cloud]
                rps = 10.0
                list_lag_s = 2.0
                [cluster.machine_limits]
                cpu = 1.0
                mem_mb = 200.0
                max_connections = 1000
                """, loopback.cloud(), loopback.state(), nodes.size(), REPORT_MS / 1000.0, LEASE_MS / 1000.0));
        return s.toString();
    }
}
