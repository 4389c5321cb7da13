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
 * Tables of several controllers against a plain model of pipelines: which job is done, which was cancelled by its user, and
 * from that, worked out anew each time, which are cancelled with others and which may start.
 */
class PipelineModelTest {
    private static final int STEPS = 400;
    private static final int KEPT = 12;

    /** What is stored, as the state service would show it, and what follows from it. */
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

        /** Names point backwards in the order of acceptance: one look in that order finds all that follows. */
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

    /** A controller that has just begun reads all keys in their order. */
    private JobTable loaded() {
        JobTable table = table();
        model.keys.forEach((id, value) -> table.changed(id, value, model.versions.get(id)));
        return table;
    }

    private void tell(String id) {
        tables.forEach(t -> t.changed(id, model.keys.get(id), model.versions.get(id)));
    }

    /** Looks up what a table does not keep, as the controllers do. */
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
        // Mostly of the newest, so that chains grow long; now and then one that is over already.
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
        // A controller that is behind stores it as waiting, although what it needs is cancelled by now.
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
                // The leader writes what follows, and moves what has ended into the history.
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

    /** The word of another controller, in an outage, ends all that needs the job; a chain of any length is worked off. */
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

    /** What needs a job whose end is not known here is neither ready nor over, until that is looked up. */
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
