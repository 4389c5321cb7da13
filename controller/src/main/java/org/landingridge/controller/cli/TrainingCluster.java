package org.landingridge.controller.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.CommandBatch;
import org.landingridge.wire.ExitCause;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.landingridge.wire.WorkerCommand;

/**
 * Stands in for state service, cloud and one worker in the training run, with the least that makes a controller go on.
 * Owned by the event loop.
 */
final class TrainingCluster {
    private static final String TYPES = """
            {"rigs":[{"name":"k","cpus":4,"cards":0,"memoryGb":8,"localGb":9,"fetchGbPerS":1.0,"hourly":1.0,
              "spotPrice":0.5,"startupS":5,"yards":["z"]}]}
            """;

    private static final String RENTED = "{\"boxes\":[\"m-000001\"]}";
    private static final String MACHINES =
            "{\"boxes\":[{\"id\":\"m-000001\",\"rig\":\"k\",\"yard\":\"z\",\"standby\":true,"
                    + "\"status\":\"running\",\"heldS\":1.5}],\"more\":false}";
    private static final long WATCH_MS = 30;
    /** Heartbeats after which the worker says that its task has ended. */
    private static final int ENDED_EVERY = 3;

    private final EventLoop loop;
    private final String addr;
    private int version;
    private int seq;
    /** The start of the worker's task; null until it was commanded to start one. */
    private WorkerCommand.Start task;

    /** @param addr the address at which all of it answers */
    TrainingCluster(EventLoop loop, String addr) {
        this.loop = loop;
        this.addr = addr;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Answers a request of the controller. */
    void answer(Http.Exchange exchange) {
        switch (exchange.path()) {
            case "/machine_types" -> exchange.answer(200, bytes(TYPES));
            case "/watch" -> {
                byte[] noEvents = bytes("{\"edition\":" + version + ",\"events\":[]}");
                loop.after(WATCH_MS, () -> exchange.answer(200, noEvents));
            }
            case "/commit" -> exchange.answer(200, bytes("{\"edition\":" + ++version + "}"));
            case "/holds" -> exchange.answer(200, bytes("{\"permit\":1}"));
            case "/store" -> exchange.answer(200, bytes("{\"entries\":[],\"more\":false,\"edition\":0}"));
            case "/hosts" -> exchange.answer(200, bytes(exchange.method().equals("POST") ? RENTED : MACHINES));
            case "/commands" -> {
                obey(Json.parse(exchange.body()));
                exchange.answer(200, heartbeat());
            }
            default -> exchange.answer(200, bytes("{}"));
        }
    }

    /** Takes the controller's answer to a heartbeat. */
    void heartbeatAnswered(Http.Reply reply) {
        if (reply.is(200)) {
            obey(Json.parse(reply.body()));
        }
    }

    private void obey(JsonNode body) {
        try {
            for (WorkerCommand command : CommandBatch.parse(body).commands()) {
                if (command instanceof WorkerCommand.Start start) {
                    task = start;
                }
            }
        } catch (InvalidMessageException e) {
            throw new IllegalStateException("the controller sent malformed commands", e);
        }
    }

    /** The worker's next heartbeat. */
    byte[] heartbeat() {
        return new Heartbeat("m-000001", addr, "k", "z", true, 1, ++seq, version + 1000, null, tasks()).bytes();
    }

    private List<Heartbeat.Entry> tasks() {
        if (task == null) {
            return List.of();
        }
        boolean ended = seq % ENDED_EVERY == 0;
        return List.of(new Heartbeat.Entry(
                task.job(),
                task.task(),
                task.attempt(),
                ended ? Heartbeat.TaskStatus.EXITED : Heartbeat.TaskStatus.RUNNING,
                ended ? ExitCause.DONE : null));
    }
}
