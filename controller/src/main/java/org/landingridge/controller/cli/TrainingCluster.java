package org.landingridge.controller.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;
import org.landingridge.wire.CloudMachine;
import org.landingridge.wire.CloudMachinePage;
import org.landingridge.wire.CommandBatch;
import org.landingridge.wire.ExitCause;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.RentResponse;
import org.landingridge.wire.WorkerCommand;
import org.landingridge.wire.state.StateAnswer;
import org.landingridge.wire.state.StateChanges;
import org.landingridge.wire.state.StateListing;

/**
 * Stands in for state service, cloud and one worker in the training run, with the least that makes a controller go on.
 * Owned by the event loop.
 */
final class TrainingCluster {
    private static final String MACHINE = "m-000001";
    private static final String TYPE = "k";
    private static final String ZONE = "z";
    private static final byte[] TYPES =
            Json.bytes(MachineType.toJson(List.of(new MachineType(TYPE, 4, 0, 8, 9, 1, 1, 0.5, 5, List.of(ZONE)))));
    private static final byte[] RENTED = Json.bytes(new RentResponse(List.of(MACHINE)).toJson());
    private static final byte[] MACHINES = Json.bytes(
            new CloudMachinePage(List.of(new CloudMachine(MACHINE, null, TYPE, ZONE, true, "running", 1.5)), false)
                    .toJson());
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
            case "/machine_types" -> exchange.answer(200, TYPES);
            case "/watch" -> {
                byte[] noEvents = Json.bytes(new StateChanges(version, List.of()).toJson());
                loop.after(WATCH_MS, () -> exchange.answer(200, noEvents));
            }
            case "/commit" -> exchange.answer(200, Json.bytes(StateAnswer.ofRevision(++version)));
            case "/holds" -> exchange.answer(200, Json.bytes(StateAnswer.ofLease(1)));
            case "/store" -> exchange.answer(200, Json.bytes(new StateListing(List.of(), false, 0).toJson()));
            case "/hosts" -> exchange.answer(200, exchange.method().equals("POST") ? RENTED : MACHINES);
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
        return new Heartbeat(MACHINE, addr, TYPE, ZONE, true, 1, ++seq, version + 1000, null, tasks()).bytes();
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
