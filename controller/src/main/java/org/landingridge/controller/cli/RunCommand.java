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
import org.landingridge.net.BodyLimits;
import org.landingridge.net.FatalErrors;
import org.landingridge.net.HttpClient;
import org.landingridge.net.HttpServer;
import org.landingridge.net.XnioEventLoop;
import org.landingridge.wire.MessageLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a controller until it is killed. */
@Command(name = "run", mixinStandardHelpOptions = true, description = "Run a controller.")
public final class RunCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger(RunCommand.class);
    private static final int LEAST_IDLE_CONNECTIONS = 16;
    /** Of all connections that the process may have, one in so many may be an idle one to others. */
    private static final int IDLE_CONNECTIONS_DIVISOR = 8;

    @Mixin
    private SettingsOptions files;

    /** Starts the controller; negative while it runs on, else the exit code. */
    @Override
    public Integer call() {
        int code = run(files.config(), files.operators());
        return code == 0 ? -1 : code;
    }

    /**
     * Starts everything.
     *
     * @param operators the operators' file, or null
     * @return 0 while it runs on; else the exit code, and one line on standard error says why it cannot
     */
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

    /** Puts a controller together with its sockets, and starts it on its event loop. */
    static void start(Settings settings, Policy policy) throws IOException {
        FatalErrors.endProcessWhenThreadEnds();
        XnioWorker worker = XnioEventLoop.worker();
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        HttpClient client = new HttpClient(worker.getIoThread(), loop, idleConnections(settings));
        AtomicReference<Controller> started = new AtomicReference<>();
        XnioPeerTransport peers =
                new XnioPeerTransport(worker, loop, settings.peers(), settings.peerListen(), message -> {
                    // A process that is back at once receives from the others before it is ready: such a message is
                    // lost, as any may be.
                    Controller ready = started.get();
                    if (ready != null) {
                        ready.handleMessage(message);
                    }
                });
        Controller controller =
                new Controller(loop, client, peers, new SplittableRandom(seed(settings)), settings, policy);
        started.set(controller);
        BodyLimits bodyLimits = BodyLimits.ofHeap(MessageLimits.MAX_MESSAGE_BYTES);
        HttpServer server = new HttpServer(worker, settings.listen(), bodyLimits, controller::serve);
        loop.after(
                0,
                () -> controller.start(() -> {
                    server.start();
                    LOG.info("{} serves on {}", settings.host(), settings.listen());
                }));
    }

    private static int idleConnections(Settings settings) {
        return Math.max(LEAST_IDLE_CONNECTIONS, settings.machine().maxConnections() / IDLE_CONNECTIONS_DIVISOR);
    }

    /** Incarnations must differ between processes: a host's processes start at different times, and hosts differ. */
    private static long seed(Settings settings) {
        return settings.host().hashCode() * 0x9E3779B97F4A7C15L + System.currentTimeMillis();
    }
}
