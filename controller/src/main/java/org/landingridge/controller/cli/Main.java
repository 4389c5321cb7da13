package org.landingridge.controller.cli;

import java.util.Locale;
import java.util.Set;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/**
 * The command line of a controller alone. {@code --config FILE} runs a controller, without loading the rest of the command
 * line.
 */
@Command(
        name = "landingridge",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "A cluster scheduler that treats a timeout as an unknown outcome.",
        subcommands = {RunCommand.class, CheckCommand.class, ClassDataTrainingCommand.class},
        footer = {
            "",
            "Exit codes: 0 success, 1 failure, 2 bad usage or settings.",
            "LOG_LEVEL (error, info, debug) sets what is logged to standard error."
        })
public final class Main implements Runnable {
    private static final Set<String> LOG_LEVELS = Set.of("error", "warn", "info", "debug", "trace");

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command, or a controller; without one of them the process ends with 2. */
    public static void main(String[] args) {
        logging();
        if (args.length == 2 && args[0].equals("--config")) {
            int code = RunCommand.run(args[1], null);
            if (code != 0) {
                System.exit(code);
            }
            return;
        }
        execute(new Main(), args);
    }

    /** Runs a command; the process ends with its exit code, unless it is negative: then the command goes on. */
    public static void execute(Object command, String[] args) {
        CommandLine line = new CommandLine(command);
        line.setExecutionExceptionHandler((e, failed, parsed) -> {
            failed.getErr().println("landingridge: " + e.getMessage());
            return 1;
        });
        int code = line.execute(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    /** Sets up the log, by {@code LOG_LEVEL}; before anything is logged. */
    public static void logging() {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", LOG_LEVELS.contains(level) ? level : "info");
        System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "warn");
        System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "warn");
        System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "warn");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        // Without a format each line has the milliseconds since the start: a date format costs start-up time.
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }

    /** Refuses a command line without a command. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** The version in the jar's manifest. */
    public static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"landingridge " + (version == null ? "(unpackaged)" : version)};
        }
    }
}
