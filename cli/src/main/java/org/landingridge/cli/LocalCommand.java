package org.landingridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
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
 * The whole service on this machine: controllers as processes of their own, so that they can be killed, among emulations of
 * state service, cloud and workers in this one. A controller that ends is started again.
 */
@Command(
        name = "local",
        mixinStandardHelpOptions = true,
        description = "Run controllers, a state service, a cloud and workers on this machine.")
final class LocalCommand implements Callable<Integer> {
    private static final String TYPE = "box4";
    private static final long LEASE_MS = 12_000;
    private static final long HEARTBEAT_MS = 1_000;

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

    @Override
    public Integer call() throws IOException, InterruptedException {
        check("--controllers", controllers, 1, 9);
        check("--machines", machines, 1, 200);
        check("--port", port, 1024, 65_500);
        Path folder = dir == null ? Files.createTempDirectory("landingridge") : Files.createDirectories(dir);
        ControllerProcesses processes = new ControllerProcesses(folder);
        processes.endLeftovers();
        FileStore store = dir == null ? null : new FileStore(folder.resolve("state.mv"));
        List<EmulatedWorker.ControllerAddress> addresses = new ArrayList<>();
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < controllers; i++) {
            addresses.add(new EmulatedWorker.ControllerAddress("rig-" + i, "127.0.0.1:" + (port + i)));
            peerPorts.add(LoopbackCluster.freePort());
        }
        LoopbackCluster cluster = cluster(addresses, store);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            processes.end();
            cluster.close();
        }));
        LocalSettings settings = new LocalSettings(
                addresses, peerPorts, cluster.cloud(), cluster.state(), HEARTBEAT_MS / 1000.0, LEASE_MS / 1000.0);
        for (int i = 0; i < controllers; i++) {
            processes.start(i, settings.of(i));
        }
        explain(addresses, folder);
        Thread.currentThread().join();
        return 0;
    }

    private LoopbackCluster cluster(List<EmulatedWorker.ControllerAddress> addresses, FileStore store)
            throws IOException {
        return new LoopbackCluster(
                new LoopbackCluster.Config(
                        new EmulatedCloud.Offer(TYPE, 4, 8, List.of("a", "b"), 3_000, 2_000),
                        machines,
                        addresses,
                        HEARTBEAT_MS,
                        LEASE_MS),
                store,
                StoredGroundTruth::new);
    }

    private void explain(List<EmulatedWorker.ControllerAddress> addresses, Path folder) {
        System.out.printf(
                "Submit jobs to any of: %s%n",
                String.join(
                        ", ",
                        addresses.stream()
                                .map(EmulatedWorker.ControllerAddress::addr)
                                .toList()));
        System.out.printf(
                "Team: local. Machine type: %s (4 CPUs, 8 GB), %d spot and %d ordinary ones in zones a and b.%n",
                TYPE, machines, machines);
        System.out.printf("Settings and the controllers' logs: %s. Stop with Ctrl-C.%n", folder);
    }

    private void check(String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw new ParameterException(
                    spec.commandLine(), option + ": expected " + least + " to " + most + ", got " + value);
        }
    }
}
