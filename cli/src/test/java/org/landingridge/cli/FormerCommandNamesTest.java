package org.landingridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.landingridge.controller.cli.ClassDataTrainingCommand;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/** Commands that were renamed are still taken under their former names, which no help shows. */
class FormerCommandNamesTest {
    private static CommandSpec commandOf(Object main, String... args) {
        return new CommandLine(main).parseArgs(args).subcommand().commandSpec();
    }

    private static Set<String> options(CommandSpec command) {
        Set<String> options = new TreeSet<>();
        for (OptionSpec option : command.options()) {
            options.add(String.join(",", option.names())
                    + ' '
                    + option.required()
                    + ' '
                    + option.defaultValue()
                    + ' '
                    + option.splitRegex());
        }
        return options;
    }

    @Test
    void probeHistoryIsBenchmarkHistory() {
        String[] former = {"probe-history", "--jar", "a.jar", "--ended", "1,2"};
        String[] current = {"benchmark-history", "--jar", "a.jar", "--ended", "1,2"};
        CommandSpec old = commandOf(new Main(), former);
        assertInstanceOf(BenchmarkHistoryCommand.class, old.userObject());
        assertEquals(options(commandOf(new Main(), current)), options(old));
        assertTrue(options(old).size() >= 6, "options and help");
        String help = new CommandLine(new Main()).getUsageMessage();
        assertTrue(help.contains("benchmark-history"));
        assertFalse(help.contains("probe-history"));
    }

    @Test
    void rehearseIsTrainClassData() {
        for (String name : new String[] {"rehearse", "train-class-data"}) {
            Object command =
                    commandOf(new org.landingridge.controller.cli.Main(), name).userObject();
            assertInstanceOf(ClassDataTrainingCommand.class, command);
        }
        String help = new CommandLine(new org.landingridge.controller.cli.Main()).getUsageMessage();
        assertFalse(help.contains("rehearse") || help.contains("train-class-data"), "both are hidden");
    }
}
