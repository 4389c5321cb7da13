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
    private static final Path PAGE = Path.of("..", "docs", "recovery.md");

    /** Returns the cells of each row of the table under this heading, without the table's header. */
    private static List<String[]> table(String heading) throws IOException {
        List<String[]> lines = new ArrayList<>();
        boolean within = false;
        for (String line : Files.readAllLines(PAGE, StandardCharsets.UTF_8)) {
            if (line.startsWith("#")) {
                within = line.equals("### " + heading);
            } else if (within && line.startsWith("|")) {
                String[] cells = line.substring(1).split("\\|");
                lines.add(Arrays.stream(cells).map(String::trim).toArray(String[]::new));
            }
        }
        assertTrue(lines.size() > 2, "the page has a table under " + heading);
        return lines.subList(2, lines.size());
    }

    private static List<Object> values(Class<?> type) {
        return type == boolean.class ? List.of(true, false) : List.of(type.getEnumConstants());
    }

    /** Returns all possible values of a record whose components are booleans and enums. */
    private static <R extends Record> List<R> all(Class<R> type) throws ReflectiveOperationException {
        RecordComponent[] parts = type.getRecordComponents();
        List<Object[]> made = new ArrayList<>();
        made.add(new Object[0]);
        for (RecordComponent part : parts) {
            List<Object[]> longer = new ArrayList<>();
            for (Object[] before : made) {
                for (Object value : values(part.getType())) {
                    Object[] with = Arrays.copyOf(before, before.length + 1);
                    with[before.length] = value;
                    longer.add(with);
                }
            }
            made = longer;
        }
        var constructor = type.getDeclaredConstructor(
                Arrays.stream(parts).map(RecordComponent::getType).toArray(Class<?>[]::new));
        List<R> all = new ArrayList<>();
        for (Object[] values : made) {
            all.add(constructor.newInstance(values));
        }
        return all;
    }

    private static String text(Object value) {
        return value instanceof Boolean b ? b ? "yes" : "no" : value.toString();
    }

    private static <R extends Record> void matches(
            String heading, Class<R> type, Function<R, Decision> decide, int many)
            throws IOException, ReflectiveOperationException {
        List<String[]> lines = table(heading);
        RecordComponent[] parts = type.getRecordComponents();
        Set<String[]> used = Collections.newSetFromMap(new IdentityHashMap<>());
        List<R> all = all(type);
        assertEquals(many, all.size(), "combinations");
        for (R evidence : all) {
            String[] first = null;
            for (String[] line : lines) {
                boolean fits = true;
                for (int i = 0; i < parts.length; i++) {
                    fits &= line[i].equals("-")
                            || line[i].equals(text(parts[i].getAccessor().invoke(evidence)));
                }
                if (fits) {
                    first = line;
                    break;
                }
            }
            assertTrue(first != null, () -> "no line for " + evidence);
            used.add(first);
            Decision decision = decide.apply(evidence);
            assertEquals(
                    first[parts.length] + " " + first[parts.length + 1],
                    decision.action() + " " + decision.reason(),
                    evidence.toString());
        }
        assertEquals(lines.size(), used.size(), "lines of " + heading + " that something fits");
    }

    @Test
    void machines() throws IOException, ReflectiveOperationException {
        matches("Machines", MachineEvidence.class, Reconciliation::machine, 3 * 3 * 512);
    }

    @Test
    void heartbeats() throws IOException, ReflectiveOperationException {
        matches("Heartbeats", HeartbeatEvidence.class, Reconciliation::heartbeat, 2 * 2 * 3);
    }

    @Test
    void entries() throws IOException, ReflectiveOperationException {
        matches("Entries of a heartbeat", EntryEvidence.class, Reconciliation::entry, 3 * 6 * 3);
    }

    @Test
    void tasks() throws IOException, ReflectiveOperationException {
        matches(
                "Tasks that are on no machine, as far as anybody has reported",
                TaskEvidence.class,
                Reconciliation::task,
                8);
    }

    @Test
    @DisplayName("what may be on a machine is placed only after its lease, or where it is certainly nowhere")
    void placedOnlyWhereNothingElseCanRunIt() throws ReflectiveOperationException {
        for (MachineEvidence e : all(MachineEvidence.class)) {
            if (Reconciliation.machine(e).is(Action.PLACE)) {
                assertTrue(e.leaseExpired(), e.toString());
            }
        }
        for (TaskEvidence e : all(TaskEvidence.class)) {
            if (Reconciliation.task(e).is(Action.PLACE)) {
                assertTrue(e.acceptedThisTerm() || e.accounted() || !e.unverifiedMachine(), e.toString());
            }
        }
    }
}
