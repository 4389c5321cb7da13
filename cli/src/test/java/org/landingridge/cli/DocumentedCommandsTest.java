package org.landingridge.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Every command that README and the pages show is one that the command line takes. */
class DocumentedCommandsTest {
    private static final Pattern COMMAND =
            Pattern.compile("^ {4}(?:.*&& )?(?:LJ|landingridge|java -jar \\S*landingridge-cli.jar) (.*)$");
    private static final Pattern WORD = Pattern.compile("\"([^\"]*)\"|(\\S+)");

    private static List<Path> pages() throws IOException {
        List<Path> pages = new ArrayList<>(List.of(Path.of("..", "README.md")));
        try (Stream<Path> docs = Files.list(Path.of("..", "docs"))) {
            docs.filter(p -> p.toString().endsWith(".md")).sorted().forEach(pages::add);
        }
        return pages;
    }

    private static String[] words(String command) {
        String bare = command.replaceAll("\\s#.*$", "");
        List<String> words = new ArrayList<>();
        Matcher word = WORD.matcher(bare);
        while (word.find()) {
            words.add(word.group(1) != null ? word.group(1) : word.group(2));
        }
        return words.toArray(String[]::new);
    }

    @Test
    void everyCommandIsTaken() throws IOException {
        int commands = 0;
        for (Path page : pages()) {
            for (String line : Files.readAllLines(page)) {
                Matcher command = COMMAND.matcher(line);
                if (command.matches()) {
                    commands++;
                    try {
                        new CommandLine(new Main()).parseArgs(words(command.group(1)));
                    } catch (CommandLine.ParameterException e) {
                        fail(page + ": " + line.strip() + ": " + e.getMessage());
                    }
                }
            }
        }
        assertTrue(commands > 12, commands + " commands found");
    }
}
