package org.landingridge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.landingridge.net.Http.Outcome;
import org.landingridge.net.Http.Reply;
import org.landingridge.wire.Json;
import picocli.CommandLine.Option;

/** The option of each command that calls one controller, and the call. */
final class ServerOption {
    @Option(names = "--server", required = true, paramLabel = "HOST:PORT", description = "a controller")
    private String server;

    /**
     * Calls the controller and prints its answer.
     *
     * @param body the request's body, or null
     * @return the exit code: 0 for an answer of 2xx
     */
    int ask(String method, String path, byte[] body) throws IOException, InterruptedException {
        Reply reply = ControllerCall.to(server, method, path, body);
        if (reply.outcome() != Outcome.ANSWERED) {
            System.err.println("landingridge: no answer from " + server
                    + (reply.outcome() == Outcome.UNKNOWN ? "; the request may have been carried out" : ""));
            return 1;
        }
        JsonNode answer = Json.parse(reply.body());
        System.out.println(answer == null ? "status " + reply.status() : answer.toPrettyString());
        return reply.status() / 100 == 2 ? 0 : 1;
    }
}
