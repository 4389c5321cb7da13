package org.landingridge.cli;

import org.landingridge.controller.cli.CheckCommand;
import org.landingridge.controller.cli.RunCommand;
import org.landingridge.experiment.CapacityCommand;
import org.landingridge.experiment.ExperimentCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The whole command line: a controller, what users do from a shell, and the tools that need no service. */
@Command(
        name = "landingridge",
        mixinStandardHelpOptions = true,
        versionProvider = org.landingridge.controller.cli.Main.Version.class,
        description = "A cluster scheduler that treats a timeout as an unknown outcome.",
        subcommands = {
            RunCommand.class,
            CheckCommand.class,
            UserCommands.Submit.class,
            UserCommands.Show.class,
            UserCommands.Cancel.class,
            UserCommands.Status.class,
            LocalCommand.class,
            BenchmarkHistoryCommand.class,
            BenchmarkHistoryCommand.FormerName.class,
            ExperimentCommand.class,
            CapacityCommand.class,
            ConfigCommand.class
        },
        footer = {
            "",
            "Exit codes: 0 success, 1 failure, 2 bad usage or settings.",
            "LOG_LEVEL (error, info, debug) sets what is logged to standard error."
        })
public final class Main implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command; without one the process ends with 2. */
    public static void main(String[] args) {
        org.landingridge.controller.cli.Main.logging();
        org.landingridge.controller.cli.Main.execute(new Main(), args);
    }

    /** Refuses a command line without a command. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
