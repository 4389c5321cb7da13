package org.landingridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Names that other programs, stored data, settings files or operators' tools use are still in the main sources. */
class ExternalNamesTest {
    private static final Path NAMES = Path.of("..", "docs", "external-names.txt");
    private static final Path DEPLOY_FILE = Path.of("..", "deploy", "service.toml");
    private static final Pattern ENUM_HEADING = Pattern.compile("# .*: enum (\\S+).*");
    private static final String DEPLOY_HEADING = "# Keys of deploy/service.toml";
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\\n]|\\\\.)+)\"");
    private static final Pattern KEY = Pattern.compile("(?m)^(\\w+) = ");
    /** The list had this many names when it was made; none is removed. */
    private static final int LEAST_NAMES = 491;

    @Test
    @DisplayName(
            "every name of the list is a literal, a constant of the enum that its heading names, or a key of the deploy file")
    void externalNamesAreKept() throws IOException, ClassNotFoundException {
        Set<String> literals = literals();
        Set<String> expected = literals;
        List<String> missing = new ArrayList<>();
        int names = 0;
        for (String line : Files.readAllLines(NAMES)) {
            if (line.startsWith("#")) {
                expected = namesUnder(line, literals);
            } else if (!line.isBlank()) {
                names++;
                if (!expected.contains(line)) {
                    missing.add(line);
                }
            }
        }
        assertEquals(List.of(), missing);
        assertTrue(names >= LEAST_NAMES, names + " names are listed");
    }

    private static Set<String> namesUnder(String heading, Set<String> literals)
            throws IOException, ClassNotFoundException {
        Matcher enumHeading = ENUM_HEADING.matcher(heading);
        if (enumHeading.matches()) {
            return constants(enumHeading.group(1));
        }
        return heading.equals(DEPLOY_HEADING) ? matches(KEY, Files.readString(DEPLOY_FILE)) : literals;
    }

    private static Set<String> constants(String type) throws ClassNotFoundException {
        Set<String> names = new HashSet<>();
        Arrays.stream(Class.forName(type).getEnumConstants()).forEach(c -> names.add(((Enum<?>) c).name()));
        return names;
    }

    /** All string literals of the main sources. */
    private static Set<String> literals() throws IOException {
        Set<String> literals = new HashSet<>();
        for (String module : List.of("wire", "net", "controller", "emulator", "experiment", "cli")) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    literals.addAll(matches(LITERAL, Files.readString(file)));
                }
            }
        }
        return literals;
    }

    private static Set<String> matches(Pattern pattern, String text) {
        Set<String> found = new HashSet<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            found.add(matcher.group(1));
        }
        return found;
    }
}
