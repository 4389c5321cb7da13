package org.landingridge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.landingridge.net.Http.Outcome;
import org.landingridge.net.Http.Reply;
import org.landingridge.wire.Json;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
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
    /** The API of the live configuration. */
    static final String PATH = "/api/config";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Show by what a controller acts now.")
    static final class Show implements Callable<Integer> {
        @Mixin
        private ServerOption server;

        @Override
        public Integer call() throws Exception {
            return server.ask("GET", PATH, null);
        }
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Show the last changes, the newest first.")
    static final class History implements Callable<Integer> {
        @Mixin
        private ServerOption server;

        @Override
        public Integer call() throws Exception {
            return server.ask("GET", PATH + "/history", null);
        }
    }

    @Command(name = "set", mixinStandardHelpOptions = true, description = "Change teams.")
    static final class Set implements Callable<Integer> {
        @Mixin
        private ChangeOptions options;

        @Parameters(paramLabel = "FILE", description = "set, add and remove (JSON)")
        private Path file;

        @Override
        public Integer call() throws Exception {
            JsonNode change = Json.parse(Files.readAllBytes(file));
            if (!(change instanceof ObjectNode object)) {
                System.err.println("landingridge: " + file + ": expected a JSON object with set, add or remove");
                return 2;
            }
            return options.send(object);
        }
    }

    @Command(name = "rollback", mixinStandardHelpOptions = true, description = "Take back every change since a number.")
    static final class Rollback implements Callable<Integer> {
        @Mixin
        private ChangeOptions options;

        @Parameters(paramLabel = "NUMBER", description = "the number to go back to")
        private long number;

        @Override
        public Integer call() throws Exception {
            return options.send(Json.object().put("rollback", number));
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
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutS);
            List<String> behind = new ArrayList<>(servers);
            while (!behind.isEmpty() && System.nanoTime() < end) {
                removeReached(behind);
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

        private void removeReached(List<String> behind) throws IOException, InterruptedException {
            for (String server : List.copyOf(behind)) {
                if (reached(server)) {
                    behind.remove(server);
                }
            }
        }

        private boolean reached(String server) throws IOException, InterruptedException {
            Reply reply = ControllerCall.to(server, "GET", PATH, null);
            JsonNode body = reply.outcome() == Outcome.ANSWERED ? Json.parse(reply.body()) : null;
            return body != null && Json.integer(body, "number", -1) >= number;
        }
    }
}
