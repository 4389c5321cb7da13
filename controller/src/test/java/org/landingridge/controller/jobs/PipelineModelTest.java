package org.landingridge.controller.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/**
 * Compares the {@link JobTable}s of several controllers with a simple model of pipelines after each random step. Guards against
 * tables that disagree about which jobs are cancelled through an awaited job and which may start, because changes arrive late,
 * a key has moved to the history or a controller restarts. The model recomputes both from the stored ends after each step.
 */
class PipelineModelTest {
    private static final int STEPS = 400;
    private static final int KEPT = 12;

    /** The stored state as the state service holds it, and the cancellations derived from it. */
    private static final class Model {
        private final Map<String, JobSpec> specs = new LinkedHashMap<>();
        private final Set<String> done = new HashSet<>();
        private final Set<String> cancelled = new HashSet<>();
        private final Set<String> allCancelled = new HashSet<>();
        private final TreeMap<String, JsonNode> keys = new TreeMap<>();
        private final Map<String, Long> versions = new HashMap<>();
        private final Map<String, Job.Status> history = new HashMap<>();
        private long revision;

        boolean isCancelled(String id) {
            return allCancelled.contains(id);
        }

        /** Jobs await only earlier accepted jobs, so one pass in the order of acceptance finds all derived cancellations. */
        void derive() {
            allCancelled.clear();
            for (JobSpec spec : specs.values()) {
                if (cancelled.contains(spec.id()) || spec.awaits().stream().anyMatch(allCancelled::contains)) {
                    allCancelled.add(spec.id());
                }
            }
        }

        boolean isReady(String id) {
            return done.containsAll(specs.get(id).awaits());
        }

        boolean isOver(String id) {
            return done.contains(id) || isCancelled(id);
        }

        void store(String id, JsonNode value) {
            revision++;
            if (value == null) {
                keys.remove(id);
            } else {
                keys.put(id, value);
            }
            versions.put(id, revision);
        }
    }

    private final Model model = new Model();
    private final List<JobTable> tables = new ArrayList<>();
    private final Random random;

    PipelineModelTest() {
        random = new Random(1);
    }

    private static JobSpec spec(String id, List<String> awaits) {
        return new JobSpec(
                        id,
                        "c",
                        "t",
                        false,
                        Priority.NORMAL,
                        2,
                        1,
                        0,
                        1,
                        "i",
                        0.1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        5,
                        0,
                        0,
                        null)
                .awaiting(awaits);
    }

    private static JobTable table() {
        return new JobTable(() -> 1, id -> {}, KEPT);
    }

    /** Returns the table of a newly started controller, which reads all keys in key order. */
    private JobTable loaded() {
        JobTable table = table();
        model.keys.forEach((id, value) -> table.changed(id, value, model.versions.get(id)));
        return table;
    }

    private void tell(String id) {
        tables.forEach(t -> t.changed(id, model.keys.get(id), model.versions.get(id)));
    }

    /** Looks up awaited jobs that the table does not hold, as a controller does. */
    private void resolve(JobTable table) {
        for (String id : table.unresolved()) {
            TerminatedJob ended = model.keys.containsKey(id)
                    ? StoredJobCodec.termination(model.keys.get(id)).orElse(null)
                    : null;
            table.resolved(id, ended != null ? ended.how() : model.history.get(id), model.revision);
        }
    }

    private void check() {
        for (JobTable table : tables) {
            resolve(table);
            for (String id : model.specs.keySet()) {
                Job job = table.get(id);
                if (!model.isOver(id)) {
                    assertTrue(job != null && job.active(), id + " is live");
                    assertEquals(model.isReady(id), job.ready(), id + " may start");
                    Set<String> left = new HashSet<>(model.specs.get(id).awaits());
                    left.removeAll(model.done);
                    assertEquals(left, job.awaited(), id);
                } else if (job != null) {
                    assertEquals(model.done.contains(id) ? Job.Status.DONE : Job.Status.CANCELLED, job.status(), id);
                } else {
                    boolean stored = model.history.containsKey(id)
                            || StoredJobCodec.termination(model.keys.get(id)).isPresent();
                    assertTrue(stored, id + " is kept until its key states its end");
                }
            }
        }
    }

    private String pick(List<String> ids) {
        return ids.isEmpty() ? null : ids.get(random.nextInt(ids.size()));
    }

    private List<String> those(java.util.function.Predicate<String> which) {
        return model.specs.keySet().stream().filter(which).toList();
    }

    private void accept(int number) {
        String id = String.format("job-%06d", random.nextInt(1_000) * 1_000 + number);
        // Mostly awaits the newest jobs, so that chains grow long; occasionally one that has already ended.
        List<String> known = new ArrayList<>(model.specs.keySet());
        Collections.reverse(known);
        List<String> awaits = new ArrayList<>();
        for (String other : known) {
            boolean wanted = !model.isOver(other) || random.nextInt(60) == 0;
            if (awaits.size() < 2 && wanted && random.nextInt(5) == 0) {
                awaits.add(other);
            }
        }
        model.specs.put(id, spec(id, awaits));
        model.derive();
        List<String> unfinished =
                awaits.stream().filter(a -> !model.done.contains(a)).toList();
        boolean cancelled = unfinished.stream().anyMatch(model::isCancelled) && random.nextBoolean();
        // A controller whose view lags behind stores the job as accepted although a job that it awaits is already
        // cancelled.
        model.store(
                id,
                cancelled
                        ? StoredJobCodec.cancelled(model.specs.get(id))
                        : StoredJobCodec.accepted(model.specs.get(id).awaiting(unfinished), 0));
        tell(id);
    }

    private void step(int number) {
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> accept(number);
            case 3, 4 -> {
                String id = pick(those(i -> !model.isOver(i) && model.isReady(i)));
                if (id != null) {
                    model.done.add(id);
                    model.store(id, StoredJobCodec.terminated(tables.get(0).get(id), Job.Status.DONE));
                    tell(id);
                }
            }
            case 5 -> {
                String id = pick(those(i -> !model.isOver(i)));
                if (id != null && random.nextInt(5) == 0) {
                    model.cancelled.add(id);
                    model.store(id, StoredJobCodec.terminated(tables.get(0).get(id), Job.Status.CANCELLED));
                    tell(id);
                }
            }
            case 6 -> {
                // The leader writes the derived cancellations, and moves a terminated job to the history.
                for (Job job : List.copyOf(tables.get(0).terminated().unpersisted())) {
                    model.store(job.id(), StoredJobCodec.terminated(job, Job.Status.CANCELLED));
                    tell(job.id());
                }
                String id = pick(those(i -> model.isOver(i)
                        && model.keys.containsKey(i)
                        && StoredJobCodec.termination(model.keys.get(i)).isPresent()));
                if (id != null) {
                    model.history.put(
                            id,
                            StoredJobCodec.termination(model.keys.get(id))
                                    .orElseThrow()
                                    .how());
                    model.store(id, null);
                    tell(id);
                }
            }
            default -> tables.set(random.nextInt(tables.size()), loaded());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyTableAgreesWithTheModel(long seed) {
        random.setSeed(seed);
        tables.add(table());
        tables.add(table());
        for (int i = 0; i < STEPS; i++) {
            step(i);
            model.derive();
            check();
        }
        assertTrue(model.done.size() > 20 && those(model::isCancelled).size() > 10, "both happen");
    }

    /** A cancellation reported by another controller during an outage cancels the whole chain of dependents, however long. */
    @Test
    void aLongChainEndsWithItsFirstJob() {
        JobTable table = table();
        int length = 20_000;
        for (int i = 0; i < length; i++) {
            String id = "job-" + i;
            table.changed(
                    id, StoredJobCodec.accepted(spec(id, i == 0 ? List.of() : List.of("job-" + (i - 1))), 0), i + 1);
        }
        table.cancelled("job-0", length + 1);
        assertEquals(0, table.active().size());
        assertEquals(length, table.terminated().unpersisted().size());
        assertTrue(table.endings().count() == length, "every one can be vouched for");
    }

    /** A job that awaits one whose end is unknown to the table is neither ready nor ended until the end has been looked up. */
    @Test
    void anUnknownEndIsWaitedFor() {
        JobTable table = table();
        table.changed("job-2", StoredJobCodec.accepted(spec("job-2", List.of("job-1")), 0), 2);
        Job job = table.get("job-2");
        assertFalse(job.ready());
        assertTrue(table.unresolved(job));
        table.resolved("job-1", Job.Status.DONE, 3);
        assertTrue(job.ready());
    }
}
