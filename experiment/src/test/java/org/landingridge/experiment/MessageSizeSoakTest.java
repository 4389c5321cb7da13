package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.allJobsEndedAndControllersAgree;
import static org.landingridge.experiment.ClusterAssertions.crashIfUp;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Priority;

/**
 * Random jobs of many small tasks, with identifiers of every length, on few machines, while controllers crash, machines hang and jobs
 * are cancelled. Guards against any message beyond its limit, and against tasks that never get their turn.
 *
 * <p>The system property {@code messageSizeSoak.seeds} sets the number of seeds for a long run by hand.
 */
class MessageSizeSoakTest {
    private static final int SEEDS = Integer.getInteger("messageSizeSoak.seeds", 6);
    private static final int JOBS = 8;
    private static final long LAST_SUBMISSION_MS = 60_000;
    private static final long TROUBLES_END_MS = 120_000;
    private static final long QUIET_MS = 400_000;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private static JobSpec job(int number, Random random) {
        String id = "job-" + "x".repeat(random.nextInt(56)) + number;
        boolean service = random.nextInt(4) == 0;
        int tasks = service ? 1 + random.nextInt(100) : 1 + random.nextInt(1_500);
        double cpus = random.nextInt(5) == 0 ? 0.5 : 0.0005 + random.nextDouble() * 0.01;
        int maxTasks = (int) Math.max(1, 4 / cpus);
        return new JobSpec(
                id,
                service ? "live" : "batch",
                random.nextBoolean() ? "red" : "blue",
                service,
                service ? Priority.HIGH : Priority.NORMAL,
                Math.min(tasks, maxTasks),
                cpus,
                0,
                cpus,
                "img-" + random.nextInt(3),
                0.3,
                null,
                null,
                false,
                false,
                !service && random.nextBoolean(),
                1 + random.nextInt(12),
                random.nextBoolean() ? 2 : 0,
                random.nextInt(3),
                null);
    }

    private static SimulatedCluster newCluster(long seed) {
        Settings.Team red = new Settings.Team("red", 4, 6, 0, 0);
        Settings.Team blue = new Settings.Team("blue", 4, 0, 0, 0);
        return new SimulatedCluster(new ClusterSetup(
                seed,
                3,
                2,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                Map.of("red", red, "blue", blue),
                new Settings.State(200, 20, 4, 8)));
    }

    private static void scheduleTroubles(SimulatedCluster cluster, Random random) {
        for (int i = 0; i < 3; i++) {
            long atMs = 10_000 + random.nextLong(TROUBLES_END_MS - 20_000);
            long backAfterMs = 500 + random.nextInt(6_000);
            cluster.at(atMs, () -> crashIfUp(cluster.leader(), backAfterMs));
            long hangMs = 1_000 + random.nextInt(12_000);
            cluster.at(10_000 + random.nextLong(TROUBLES_END_MS - 30_000), () -> hangOne(cluster, hangMs));
        }
    }

    private static void hangOne(SimulatedCluster cluster, long forMs) {
        if (!cluster.workers.isEmpty()) {
            EmulatedWorker worker = cluster.workers.get(cluster.sim.random.nextInt(cluster.workers.size()));
            worker.hang(true);
            cluster.at(cluster.sim.now + forMs, () -> worker.hang(false));
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    @DisplayName("every message stays within its limit and every small task gets its turn, whatever fails")
    void everyMessageStaysWithinItsLimitAndEveryTaskGetsItsTurn(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster = newCluster(seed);
        List<String> ids = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            JobSpec job = job(number, random);
            ids.add(job.id());
            long submittedMs = 2_000 + random.nextLong(LAST_SUBMISSION_MS);
            cluster.at(submittedMs, () -> cluster.users.submit(job));
            boolean cancelled = job.service() || random.nextInt(4) == 0;
            if (cancelled) {
                long cancelledMs = (job.service() ? QUIET_MS / 2 : submittedMs) + random.nextLong(20_000);
                cluster.at(cancelledMs, () -> cluster.users.cancel(job.id()));
            }
        }
        scheduleTroubles(cluster, random);
        cluster.sim.run(QUIET_MS);
        allJobsEndedAndControllersAgree(cluster, ids);
        assertEquals(0, cluster.checker.locationByTask.size());
        assertTrue(cluster.checker.starts > 0);
    }
}
