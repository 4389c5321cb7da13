package org.landingridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.landingridge.net.Http.Outcome;
import org.landingridge.net.Http.Reply;
import org.landingridge.wire.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What a user does from a shell. */
final class UserCommands {
    private UserCommands() {}

    /** One call to a controller; prints its answer. */
    abstract static class Caller implements Callable<Integer> {
        @Option(names = "--server", required = true, paramLabel = "HOST:PORT", description = "a controller")
        private String server;

        int ask(String method, String path, byte[] body) throws IOException, InterruptedException {
            Reply reply = ControllerCall.to(server, method, path, body);
            if (reply.outcome() != Outcome.ANSWERED) {
                System.err.println("landingridge: no answer from " + server
                        + (reply.outcome() == Outcome.UNKNOWN ? "; the request may have been carried out" : ""));
                return 1;
            }
            var tree = Json.parse(reply.body());
            System.out.println(tree == null ? "status " + reply.status() : tree.toPrettyString());
            return reply.status() / 100 == 2 ? 0 : 1;
        }
    }

    @Command(name = "submit", mixinStandardHelpOptions = true, description = "Submit a job.")
    static final class Submit extends Caller {
        @Parameters(paramLabel = "FILE", description = "the job (JSON)")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return ask("POST", "/api/jobs", Files.readAllBytes(file));
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Show a job's state.")
    static final class Show extends Caller {
        @Parameters(paramLabel = "JOB", description = "the job's id")
        private String job;

        @Override
        public Integer call() throws Exception {
            return ask("GET", "/api/jobs/" + job, null);
        }
    }

    @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancel a job.")
    static final class Cancel extends Caller {
        @Parameters(paramLabel = "JOB", description = "the job's id")
        private String job;

        @Override
        public Integer call() throws Exception {
            return ask("POST", "/api/jobs/" + job + "/cancel", new byte[0]);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Show what a controller knows.")
    static final class Status extends Caller {
        @Override
        public Integer call() throws Exception {
            return ask("GET", "/api/status", null);
        }
    }
}
