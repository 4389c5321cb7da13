package org.landingridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Every type that the pages for newcomers name, with its package where they give one, is there in the sources. */
class DocumentedNamesTest {
    private static final Pattern QUOTED = Pattern.compile("`([^`\n]+)`");
    private static final Pattern QUALIFIED_TYPE = Pattern.compile("([a-z]+)\\.([A-Z][A-Za-z]+)(?:\\..*)?");
    /** Where the glossary turns to names that are gone. */
    private static final String FORMER_NAMES = "## Former names";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "architecture.md",
                "on-call.md",
                "glossary.md",
                "design.md",
                "recovery.md",
                "meetings.md",
                "configuration.md"
            })
    void everyNamedTypeExists(String page) throws IOException {
        Set<String> types = types();
        String text = Files.readString(Path.of("..", "docs", page));
        int end = text.indexOf(FORMER_NAMES);
        Matcher quoted = QUOTED.matcher(end < 0 ? text : text.substring(0, end));
        List<String> missing = new ArrayList<>();
        int named = 0;
        while (quoted.find()) {
            Matcher type = QUALIFIED_TYPE.matcher(quoted.group(1));
            if (type.matches()) {
                named++;
                if (!types.contains(type.group(1) + "." + type.group(2))) {
                    missing.add(quoted.group(1));
                }
            }
        }
        assertEquals(List.of(), missing, page);
        assertTrue(named > 0, page + " names no type");
    }

    /** All types that have a file of their own, as package and name. */
    private static Set<String> types() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of(".."))) {
            return files.filter(f -> f.toString().contains("src/main/java")
                            && f.toString().endsWith(".java"))
                    .filter(f -> !f.toString().contains("target"))
                    .map(f -> f.getParent().getFileName() + "."
                            + f.getFileName().toString().replace(".java", ""))
                    .collect(Collectors.toSet());
        }
    }
}
