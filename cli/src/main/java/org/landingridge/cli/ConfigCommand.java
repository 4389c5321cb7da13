package org.landingridge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.landingridge.net.Http.Outcome;
import org.landingridge.net.Http.Reply;
import org.landingridge.wire.Json;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The configuration of teams while the controllers run. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Show and change the configuration of teams.",
        subcommands = {
            ConfigCommand.Show.class,
            ConfigCommand.History.class,
            ConfigCommand.Set.class,
            ConfigCommand.Rollback.class,
            ConfigCommand.Wait.class
        })
final class ConfigCommand implements Runnable {
    private static final String PATH = "/api/config";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Show by what a controller acts now.")
    static final class Show extends UserCommands.Caller {
        @Override
        public Integer call() throws Exception {
            return ask("GET", PATH, null);
        }
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Show the last changes, the newest first.")
    static final class History extends UserCommands.Caller {
        @Override
        public Integer call() throws Exception {
            return ask("GET", PATH + "/history", null);
        }
    }

    /** A change: whoever sends it once more with the same key makes it once. */
    abstract static class Change extends UserCommands.Caller {
        @Option(names = "--by", required = true, description = "who makes the change")
        private String by;

        @Option(names = "--why", required = true, description = "the reason")
        private String why;

        @Option(
                names = "--expected",
                defaultValue = "-1",
                description = "number that has to hold, as config show tells it")
        private long expected;

        @Option(names = "--key", description = "of an earlier try whose answer was lost")
        private String key;

        @Option(names = "--dry-run", description = "only say what would be")
        private boolean dryRun;

        int send(ObjectNode change) throws IOException, InterruptedException {
            String used = key == null ? UUID.randomUUID().toString() : key;
            change.put("key", used)
                    .put("by", by)
                    .put("why", why)
                    .put("expected", expected)
                    .put("dryRun", dryRun);
            int code = ask("POST", PATH, Json.bytes(change));
            if (code != 0 && !dryRun) {
                System.err.println("landingridge: to ask for the same change again, add --key " + used);
            }
            return code;
        }
    }

    @Command(name = "set", mixinStandardHelpOptions = true, description = "Change teams.")
    static final class Set extends Change {
        @Parameters(paramLabel = "FILE", description = "set, add and remove (JSON)")
        private Path file;

        @Override
        public Integer call() throws Exception {
            JsonNode change = Json.parse(Files.readAllBytes(file));
            if (!(change instanceof ObjectNode object)) {
                System.err.println("landingridge: " + file + ": expected a JSON object with set, add or remove");
                return 2;
            }
            return send(object);
        }
    }

    @Command(name = "rollback", mixinStandardHelpOptions = true, description = "Take back every change since a number.")
    static final class Rollback extends Change {
        @Parameters(paramLabel = "NUMBER", description = "the number to go back to")
        private long number;

        @Override
        public Integer call() throws Exception {
            return send(Json.object().put("rollback", number));
        }
    }

    @Command(
            name = "wait",
            mixinStandardHelpOptions = true,
            description = "Wait until every controller acts by a number.")
    static final class Wait implements Callable<Integer> {
        private static final int PAUSE_MS = 200;

        @Option(
                names = "--server",
                required = true,
                split = ",",
                paramLabel = "HOST:PORT",
                description = "every controller")
        private List<String> servers;

        @Option(names = "--timeout", defaultValue = "30", description = "seconds")
        private int timeoutS;

        @Parameters(paramLabel = "NUMBER", description = "the number, as config set printed it")
        private long number;

        @Override
        public Integer call() throws Exception {
            long end = System.nanoTime() + timeoutS * 1_000_000_000L;
            List<String> behind = new ArrayList<>(servers);
            while (!behind.isEmpty() && System.nanoTime() < end) {
                for (String server : List.copyOf(behind)) {
                    if (reached(server)) {
                        behind.remove(server);
                    }
                }
                if (!behind.isEmpty()) {
                    Thread.sleep(PAUSE_MS);
                }
            }
            System.out.println(
                    behind.isEmpty()
                            ? "number " + number + " is in force everywhere"
                            : "number " + number + " is not known to be in force at " + String.join(", ", behind));
            return behind.isEmpty() ? 0 : 1;
        }

        private boolean reached(String server) throws IOException, InterruptedException {
            Reply reply = ControllerCall.to(server, "GET", PATH, null);
            JsonNode body = reply.outcome() == Outcome.ANSWERED ? Json.parse(reply.body()) : null;
            return body != null && Json.integer(body, "number", -1) >= number;
        }
    }
}
