package org.landingridge.controller.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Checks the decision for every combination of evidence against the documented tables that operators read. */
class ReconciliationTest {
    private static final Path TABLES_PAGE = Path.of("..", "docs", "recovery.md");

    /** Returns the cells of each row of the table under this heading, without the table's header. */
    private static List<String[]> tableRows(String heading) throws IOException {
        List<String[]> rows = new ArrayList<>();
        boolean inTable = false;
        for (String line : Files.readAllLines(TABLES_PAGE, StandardCharsets.UTF_8)) {
            if (line.startsWith("#")) {
                inTable = line.equals("### " + heading);
            } else if (inTable && line.startsWith("|")) {
                String[] cells = line.substring(1).split("\\|");
                rows.add(Arrays.stream(cells).map(String::trim).toArray(String[]::new));
            }
        }
        assertTrue(rows.size() > 2, "the page has a table under " + heading);
        return rows.subList(2, rows.size());
    }

    private static List<Object> valuesOf(Class<?> type) {
        return type == boolean.class ? List.of(true, false) : List.of(type.getEnumConstants());
    }

    /** Returns all possible values of a record whose components are booleans and enums. */
    private static <R extends Record> List<R> allValues(Class<R> type) throws ReflectiveOperationException {
        RecordComponent[] components = type.getRecordComponents();
        List<Object[]> combinations = new ArrayList<>();
        combinations.add(new Object[0]);
        for (RecordComponent component : components) {
            List<Object[]> extended = new ArrayList<>();
            for (Object[] prefix : combinations) {
                for (Object value : valuesOf(component.getType())) {
                    Object[] combination = Arrays.copyOf(prefix, prefix.length + 1);
                    combination[prefix.length] = value;
                    extended.add(combination);
                }
            }
            combinations = extended;
        }
        var constructor = type.getDeclaredConstructor(
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new));
        List<R> records = new ArrayList<>();
        for (Object[] values : combinations) {
            records.add(constructor.newInstance(values));
        }
        return records;
    }

    private static String cellText(Object value) {
        return value instanceof Boolean flag ? flag ? "yes" : "no" : value.toString();
    }

    private static <R extends Record> void assertMatchesTable(
            String heading, Class<R> type, Function<R, Decision> decide, int expectedCombinations)
            throws IOException, ReflectiveOperationException {
        List<String[]> rows = tableRows(heading);
        RecordComponent[] components = type.getRecordComponents();
        Set<String[]> matchedRows = Collections.newSetFromMap(new IdentityHashMap<>());
        List<R> allEvidence = allValues(type);
        assertEquals(expectedCombinations, allEvidence.size(), "number of combinations");
        for (R evidence : allEvidence) {
            String[] firstMatch = null;
            for (String[] row : rows) {
                boolean matches = true;
                for (int i = 0; i < components.length; i++) {
                    matches &= row[i].equals("-")
                            || row[i].equals(
                                    cellText(components[i].getAccessor().invoke(evidence)));
                }
                if (matches) {
                    firstMatch = row;
                    break;
                }
            }
            assertTrue(firstMatch != null, () -> "no table row matches " + evidence);
            matchedRows.add(firstMatch);
            Decision decision = decide.apply(evidence);
            assertEquals(
                    firstMatch[components.length] + " " + firstMatch[components.length + 1],
                    decision.action() + " " + decision.reason(),
                    evidence.toString());
        }
        assertEquals(rows.size(), matchedRows.size(), "rows of table " + heading + " that match some evidence");
    }

    @Test
    void machineDecisionsMatchTable() throws IOException, ReflectiveOperationException {
        assertMatchesTable("Machines", MachineEvidence.class, Reconciliation::machine, 3 * 3 * 512);
    }

    @Test
    void heartbeatDecisionsMatchTable() throws IOException, ReflectiveOperationException {
        assertMatchesTable("Heartbeats", HeartbeatEvidence.class, Reconciliation::heartbeat, 2 * 2 * 3);
    }

    @Test
    void entryDecisionsMatchTable() throws IOException, ReflectiveOperationException {
        assertMatchesTable("Entries of a heartbeat", EntryEvidence.class, Reconciliation::entry, 3 * 6 * 3);
    }

    @Test
    void taskDecisionsMatchTable() throws IOException, ReflectiveOperationException {
        assertMatchesTable(
                "Tasks that are on no machine, as far as anybody has reported",
                TaskEvidence.class,
                Reconciliation::task,
                8);
    }

    @Test
    @DisplayName(
            "a task that a machine may run is placed only after the machine's lease has expired, or if it certainly runs nowhere")
    void tasksArePlacedOnlyWhenNothingElseCanRunThem() throws ReflectiveOperationException {
        for (MachineEvidence evidence : allValues(MachineEvidence.class)) {
            if (Reconciliation.machine(evidence).is(Action.PLACE)) {
                assertTrue(evidence.leaseExpired(), evidence.toString());
            }
        }
        for (TaskEvidence evidence : allValues(TaskEvidence.class)) {
            if (Reconciliation.task(evidence).is(Action.PLACE)) {
                assertTrue(
                        evidence.acceptedThisTerm() || evidence.accounted() || !evidence.unverifiedMachine(),
                        evidence.toString());
            }
        }
    }
}
