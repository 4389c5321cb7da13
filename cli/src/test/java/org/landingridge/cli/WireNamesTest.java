package org.landingridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** The protocol's field names are spelled in module wire alone, where they are mapped to the terms of the field. */
class WireNamesTest {
    /** Names that only the protocol uses; common words such as {@code key} or {@code id} are left out. */
    private static final Set<String> WIRE_NAMES = Set.of(
            "box",
            "boxes",
            "rig",
            "rigs",
            "yard",
            "yards",
            "standby",
            "shift",
            "tally",
            "baton",
            "cue",
            "cues",
            "take",
            "takes",
            "wrapupS",
            "warningS",
            "booking",
            "hourly",
            "localGb",
            "startupS",
            "heldS",
            "lane",
            "crew",
            "shape",
            "urgency",
            "reel",
            "cards",
            "scatter",
            "oneZone",
            "savepointS",
            "flushS",
            "airtimeS",
            "runtimeS",
            "edition",
            "stamp",
            "permit",
            "lifeMs",
            "blockMs",
            "desk");

    /** Files that spell some all the same, and why. */
    private static final Map<String, Set<String>> EXCEPTIONS = Map.of(
            // Bodies that are wrong on purpose, field by field, as a user may send them.
            "InvalidSubmissions.java", WIRE_NAMES,
            // The stored form of an ended job has one field of the same name.
            "StoredJobCodec.java", Set.of("takes"),
            "HistorySeeds.java", Set.of("takes"),
            "HistoryBenchmark.java", Set.of("takes"),
            "StoredGroundTruth.java", Set.of("takes"),
            // Ways of placing in the experiments' files.
            "Experiment.java", Set.of("scatter"),
            "ExperimentReader.java", Set.of("scatter"));

    private static final Pattern LITERAL = Pattern.compile("\"([A-Za-z]+)\"");

    @Test
    @DisplayName("no main source outside of module wire spells a field name of the protocol")
    void wireNamesStayInWire() throws IOException {
        Set<String> found = new TreeSet<>();
        for (String module : List.of("net", "controller", "emulator", "experiment", "cli")) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    String name = file.getFileName().toString();
                    Matcher literal = LITERAL.matcher(Files.readString(file));
                    while (literal.find()) {
                        String word = literal.group(1);
                        if (WIRE_NAMES.contains(word)
                                && !EXCEPTIONS.getOrDefault(name, Set.of()).contains(word)) {
                            found.add(name + ": " + word);
                        }
                    }
                }
            }
        }
        assertEquals(Set.of(), found);
    }
}
