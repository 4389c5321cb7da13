package org.landingridge.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.landingridge.net.BodyLimits;
import org.landingridge.net.HttpClient;
import org.landingridge.net.HttpServer;
import org.landingridge.net.XnioEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/**
 * State service, cloud and workers on sockets of this machine, the same code that tests run in simulated time. All of
 * them live on one thread.
 */
public final class LoopbackCluster implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LoopbackCluster.class);
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY = 1 << 20;

    /**
     * @param machines how many machines the cloud has, of spot and of ordinary ones each
     * @param nodes    the controllers, for the workers
     * @param reportMs how often workers report
     * @param leaseMs  the workers' lease
     */
    public record Config(
            EmulatedCloud.Offer offer,
            int machines,
            List<EmulatedWorker.ControllerAddress> nodes,
            long reportMs,
            long leaseMs) {}

    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final HttpClient client;
    private final RandomGenerator random = new SplittableRandom();
    private final Config config;
    private final GroundTruth truth;
    private final EmulatedStateService state;
    private final FileStore shelf;
    private final Map<String, Running> workers = new HashMap<>();
    private final String stateAddr = HOST + ":" + freePort();
    private final String cloudAddr = HOST + ":" + freePort();

    private record Running(EmulatedWorker worker, HttpServer server) {}

    /** @param shelf where the state service keeps its state, or null */
    public LoopbackCluster(
            Config config, FileStore shelf, java.util.function.Function<EmulatedStateService, GroundTruth> truthOf)
            throws IOException {
        this.config = config;
        this.shelf = shelf;
        worker = XnioEventLoop.worker();
        loop = new XnioEventLoop(worker.getIoThread());
        client = new HttpClient(worker.getIoThread(), loop, 64);
        state = new EmulatedStateService(loop, shelf);
        truth = truthOf.apply(state);
        EmulatedCloud cloud = new EmulatedCloud(
                loop,
                random,
                config.offer,
                new EmulatedCloud.Machines() {
                    @Override
                    public String boot(EmulatedCloud.Box box) {
                        return bootWorker(box);
                    }

                    @Override
                    public void kill(EmulatedCloud.Box box) {
                        killWorker(box);
                    }
                },
                truth);
        cloud.capacity = config.machines;
        serve(stateAddr, state);
        serve(cloudAddr, cloud);
    }

    private HttpServer serve(String addr, Server server) {
        int colon = addr.lastIndexOf(':');
        HttpServer http = new HttpServer(
                worker,
                new InetSocketAddress(HOST, Integer.parseInt(addr.substring(colon + 1))),
                BodyLimits.ofHeap(MAX_BODY),
                server::serve);
        http.start();
        return http;
    }

    private String bootWorker(EmulatedCloud.Box box) {
        String addr = HOST + ":" + freePort();
        EmulatedWorker w = new EmulatedWorker(
                new EmulatedWorker.Config(
                        addr, config.offer.type(), config.offer.cpus(), config.reportMs, config.leaseMs, config.nodes),
                loop,
                client,
                random,
                truth,
                box);
        workers.put(box.id, new Running(w, serve(addr, w)));
        LOG.info("machine {} is up{}", box.id, box.spot ? " (spot)" : "");
        return addr;
    }

    private void killWorker(EmulatedCloud.Box box) {
        Running gone = workers.remove(box.id);
        if (gone != null) {
            gone.worker.die();
            gone.server.stop();
            LOG.info("machine {} is gone", box.id);
        }
    }

    /** Address of the state service. */
    public String state() {
        return stateAddr;
    }

    /** Address of the cloud. */
    public String cloud() {
        return cloudAddr;
    }

    /** Runs something on the thread that the stand-ins live on. */
    public void run(Runnable what) {
        loop.after(0, what);
    }

    /** A port of this machine that was free a moment ago. */
    public static int freePort() {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("no free port", e);
        }
    }

    @Override
    public void close() {
        worker.shutdownNow();
        if (shelf != null) {
            shelf.close();
        }
    }
}
