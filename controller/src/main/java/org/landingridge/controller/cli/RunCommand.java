package org.landingridge.controller.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicReference;
import org.landingridge.controller.Controller;
import org.landingridge.controller.peer.XnioPeerTransport;
import org.landingridge.controller.settings.InvalidSettingsException;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import org.landingridge.net.HttpClient;
import org.landingridge.net.HttpServer;
import org.landingridge.net.XnioEventLoop;
import org.landingridge.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a controller until it is killed. */
@Command(name = "run", mixinStandardHelpOptions = true, description = "Run a controller.")
public final class RunCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings (TOML)")
    private String config;

    @Option(names = "--operators", paramLabel = "FILE", description = "the operators' settings (JSON)")
    private String operators;

    @Override
    public Integer call() {
        int code = run(config, operators);
        return code == 0 ? -1 : code;
    }

    /** Starts everything and returns 0 while it runs on, or says in one line why it can't and returns the exit code. */
    static int run(String config, String operators) {
        Settings settings;
        Policy policy;
        try {
            settings = Settings.read(Path.of(config));
            policy = operators == null ? Policy.DEFAULT : Policy.read(Path.of(operators));
        } catch (InvalidSettingsException e) {
            System.err.println("landingridge: " + e.getMessage());
            return 2;
        }
        try {
            start(settings, policy);
            return 0;
        } catch (IOException | RuntimeException e) {
            System.err.println("landingridge: cannot start: " + e.getMessage());
            return 1;
        }
    }

    static void start(Settings settings, Policy policy) throws IOException {
        Logger log = LoggerFactory.getLogger(RunCommand.class);
        XnioWorker worker = XnioEventLoop.worker();
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        HttpClient client = new HttpClient(
                worker.getIoThread(), loop, Math.max(16, settings.machine().maxConnections() / 8));
        // Incarnations must differ between processes: a host's processes start at different times, and hosts differ.
        long seed = settings.host().hashCode() * 0x9E3779B97F4A7C15L + System.currentTimeMillis();
        AtomicReference<Controller> controllerOf = new AtomicReference<>();
        XnioPeerTransport peers =
                new XnioPeerTransport(worker, loop, settings.peers(), settings.peerListen(), message -> {
                    // A process that is back at once hears the others before it is ready: such a record is lost, as any
                    // may be.
                    Controller ready = controllerOf.get();
                    if (ready != null) {
                        ready.received(message);
                    }
                });
        Controller controller = new Controller(loop, client, peers, new SplittableRandom(seed), settings, policy);
        controllerOf.set(controller);
        HttpServer server = new HttpServer(worker, settings.listen(), JobSpec.MAX_BODY, controller::serve);
        loop.after(
                0,
                () -> controller.start(() -> {
                    server.start();
                    log.info("{} serves on {}", settings.host(), settings.listen());
                }));
    }
}
