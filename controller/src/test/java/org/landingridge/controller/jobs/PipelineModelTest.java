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
import java.util.function.Predicate;
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
    private static final int RETAINED_JOBS = 12;

    /** The stored state as the state service holds it, and the cancellations derived from it. */
    private static final class Model {
        private final Map<String, JobSpec> specsById = new LinkedHashMap<>();
        private final Set<String> done = new HashSet<>();
        private final Set<String> cancelledByUser = new HashSet<>();
        private final Set<String> allCancelled = new HashSet<>();
        private final TreeMap<String, JsonNode> valuesById = new TreeMap<>();
        private final Map<String, Long> revisionsById = new HashMap<>();
        private final Map<String, Job.Status> historyById = new HashMap<>();
        private long revision;

        boolean isCancelled(String id) {
            return allCancelled.contains(id);
        }

        /** Jobs await only earlier accepted jobs, so one pass in the order of acceptance finds all derived cancellations. */
        void deriveCancellations() {
            allCancelled.clear();
            for (JobSpec spec : specsById.values()) {
                if (cancelledByUser.contains(spec.id())
                        || spec.awaits().stream().anyMatch(allCancelled::contains)) {
                    allCancelled.add(spec.id());
                }
            }
        }

        boolean isReady(String id) {
            return done.containsAll(specsById.get(id).awaits());
        }

        boolean hasEnded(String id) {
            return done.contains(id) || isCancelled(id);
        }

        void store(String id, JsonNode value) {
            revision++;
            if (value == null) {
                valuesById.remove(id);
            } else {
                valuesById.put(id, value);
            }
            revisionsById.put(id, revision);
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

    private static JobTable newTable() {
        return new JobTable(() -> 1, id -> {}, RETAINED_JOBS);
    }

    /** Returns the table of a newly started controller, which reads all keys in key order. */
    private JobTable newLoadedTable() {
        JobTable table = newTable();
        model.valuesById.forEach((id, value) -> table.changed(id, value, model.revisionsById.get(id)));
        return table;
    }

    private void notifyTables(String id) {
        tables.forEach(table -> table.changed(id, model.valuesById.get(id), model.revisionsById.get(id)));
    }

    /** Looks up awaited jobs that the table does not hold, as a controller does. */
    private void resolveAwaited(JobTable table) {
        for (String id : table.unresolved()) {
            TerminatedJob outcome = model.valuesById.containsKey(id)
                    ? StoredJobCodec.termination(model.valuesById.get(id)).orElse(null)
                    : null;
            table.resolved(id, outcome != null ? outcome.how() : model.historyById.get(id), model.revision);
        }
    }

    private void checkTables() {
        for (JobTable table : tables) {
            resolveAwaited(table);
            for (String id : model.specsById.keySet()) {
                Job job = table.get(id);
                if (!model.hasEnded(id)) {
                    assertTrue(job != null && job.active(), id + " is active");
                    assertEquals(model.isReady(id), job.ready(), id + " is ready");
                    Set<String> remaining =
                            new HashSet<>(model.specsById.get(id).awaits());
                    remaining.removeAll(model.done);
                    assertEquals(remaining, job.awaited(), id + " awaits");
                } else if (job != null) {
                    assertEquals(
                            model.done.contains(id) ? Job.Status.DONE : Job.Status.CANCELLED,
                            job.status(),
                            id + " has ended");
                } else {
                    boolean endIsStored = model.historyById.containsKey(id)
                            || StoredJobCodec.termination(model.valuesById.get(id))
                                    .isPresent();
                    assertTrue(endIsStored, id + " is retained until its key records its end");
                }
            }
        }
    }

    private String pickRandom(List<String> ids) {
        return ids.isEmpty() ? null : ids.get(random.nextInt(ids.size()));
    }

    private List<String> jobIdsWhere(Predicate<String> condition) {
        return model.specsById.keySet().stream().filter(condition).toList();
    }

    private void acceptJob(int number) {
        String id = String.format("job-%06d", random.nextInt(1_000) * 1_000 + number);
        // Mostly awaits the newest jobs, so that chains grow long; occasionally one that has already ended.
        List<String> known = new ArrayList<>(model.specsById.keySet());
        Collections.reverse(known);
        List<String> awaits = new ArrayList<>();
        for (String candidate : known) {
            boolean eligible = !model.hasEnded(candidate) || random.nextInt(60) == 0;
            if (awaits.size() < 2 && eligible && random.nextInt(5) == 0) {
                awaits.add(candidate);
            }
        }
        model.specsById.put(id, spec(id, awaits));
        model.deriveCancellations();
        List<String> unfinished =
                awaits.stream().filter(awaited -> !model.done.contains(awaited)).toList();
        boolean cancelled = unfinished.stream().anyMatch(model::isCancelled) && random.nextBoolean();
        // A controller whose view lags behind stores the job as accepted although a job that it awaits is already
        // cancelled.
        model.store(
                id,
                cancelled
                        ? StoredJobCodec.cancelled(model.specsById.get(id))
                        : StoredJobCodec.accepted(model.specsById.get(id).awaiting(unfinished), 0));
        notifyTables(id);
    }

    private void step(int number) {
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> acceptJob(number);
            case 3, 4 -> {
                String jobId = pickRandom(jobIdsWhere(id -> !model.hasEnded(id) && model.isReady(id)));
                if (jobId != null) {
                    model.done.add(jobId);
                    model.store(jobId, StoredJobCodec.terminated(tables.get(0).get(jobId), Job.Status.DONE));
                    notifyTables(jobId);
                }
            }
            case 5 -> {
                String jobId = pickRandom(jobIdsWhere(id -> !model.hasEnded(id)));
                if (jobId != null && random.nextInt(5) == 0) {
                    model.cancelledByUser.add(jobId);
                    model.store(jobId, StoredJobCodec.terminated(tables.get(0).get(jobId), Job.Status.CANCELLED));
                    notifyTables(jobId);
                }
            }
            case 6 -> {
                // The leader writes the derived cancellations, and moves a terminated job to the history.
                for (Job job : List.copyOf(tables.get(0).terminated().unpersisted())) {
                    model.store(job.id(), StoredJobCodec.terminated(job, Job.Status.CANCELLED));
                    notifyTables(job.id());
                }
                String jobId = pickRandom(jobIdsWhere(id -> model.hasEnded(id)
                        && model.valuesById.containsKey(id)
                        && StoredJobCodec.termination(model.valuesById.get(id)).isPresent()));
                if (jobId != null) {
                    model.historyById.put(
                            jobId,
                            StoredJobCodec.termination(model.valuesById.get(jobId))
                                    .orElseThrow()
                                    .how());
                    model.store(jobId, null);
                    notifyTables(jobId);
                }
            }
            default -> tables.set(random.nextInt(tables.size()), newLoadedTable());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyTableAgreesWithModelAfterEachStep(long seed) {
        random.setSeed(seed);
        tables.add(newTable());
        tables.add(newTable());
        for (int i = 0; i < STEPS; i++) {
            step(i);
            model.deriveCancellations();
            checkTables();
        }
        assertTrue(
                model.done.size() > 20 && jobIdsWhere(model::isCancelled).size() > 10,
                "the run has enough done and cancelled jobs");
    }

    /** A cancellation reported by another controller during an outage cancels the whole chain of dependents, however long. */
    @Test
    void longChainIsCancelledWithItsFirstJob() {
        JobTable table = newTable();
        int length = 20_000;
        for (int i = 0; i < length; i++) {
            String id = "job-" + i;
            table.changed(
                    id, StoredJobCodec.accepted(spec(id, i == 0 ? List.of() : List.of("job-" + (i - 1))), 0), i + 1);
        }
        table.cancelled("job-0", length + 1);
        assertEquals(0, table.active().size());
        assertEquals(length, table.terminated().unpersisted().size());
        assertTrue(table.endings().count() == length, "every cancellation is logged");
    }

    /** A job that awaits one whose end is unknown to the table is neither ready nor ended until the end has been looked up. */
    @Test
    void jobIsNotReadyUntilUnknownEndOfAwaitedJobIsResolved() {
        JobTable table = newTable();
        table.changed("job-2", StoredJobCodec.accepted(spec("job-2", List.of("job-1")), 0), 2);
        Job job = table.get("job-2");
        assertFalse(job.ready());
        assertTrue(table.unresolved(job));
        table.resolved("job-1", Job.Status.DONE, 3);
        assertTrue(job.ready());
    }
}
