package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.assertInvariantsHold;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.experiment.StartCopyScenario.Fate;
import org.landingridge.experiment.StartCopyScenario.Restarted;

/**
 * A start command that a worker has carried out and answered reaches its machine once more. Guards against a task that runs on two
 * machines, and against one that runs again after its end or its cancellation. {@code docs/recovery.md} has the same table.
 */
class LateStartCopyTest {
    @ParameterizedTest(name = "{0} restarted, task {1}, a newer token seen: {2}")
    @CsvSource({
        "NONE, RUNNING, false",
        "NONE, RUNNING, true",
        "NONE, ENDED, false",
        "NONE, ENDED, true",
        "NONE, MOVED, false",
        "NONE, MOVED, true",
        "NONE, CANCELLED, false",
        "NONE, CANCELLED, true",
        "NONE, SESSION_OVER, false",
        "NONE, SESSION_OVER, true",
        "CONTROLLER, RUNNING, false",
        "CONTROLLER, RUNNING, true",
        "CONTROLLER, ENDED, false",
        "CONTROLLER, ENDED, true",
        "CONTROLLER, MOVED, false",
        "CONTROLLER, MOVED, true",
        "CONTROLLER, CANCELLED, false",
        "CONTROLLER, CANCELLED, true",
        "CONTROLLER, SESSION_OVER, false",
        "CONTROLLER, SESSION_OVER, true",
        "WORKER, RUNNING, false",
        "WORKER, RUNNING, true",
        "WORKER, ENDED, true",
        "WORKER, MOVED, true",
        "WORKER, CANCELLED, true",
        "WORKER, SESSION_OVER, true"
    })
    @DisplayName("a late copy of a start that was carried out and answered starts nothing, whoever restarted")
    void lateCopyOfAnsweredStartChangesNothing(Restarted restarted, Fate fate, boolean newerTokenSeen) {
        StartCopyScenario scenario = new StartCopyScenario(460);
        scenario.startTask(fate);
        scenario.bringAbout(fate);
        scenario.restart(restarted);
        if (newerTokenSeen) {
            scenario.awaitNewerToken();
        }
        scenario.countStarts();
        scenario.deliverCopy();
        // A new process of the worker holds nothing: the copy runs the task where the leader counts it as running.
        boolean runsWhereItCounts = restarted == Restarted.WORKER && fate == Fate.RUNNING && !newerTokenSeen;
        assertEquals(runsWhereItCounts ? 1 : 0, scenario.copyStarts());
        scenario.run(40_000);
        SimulatedCluster cluster = scenario.cluster;
        assertInvariantsHold(cluster);
        assertEquals(0, cluster.checker.repeats, "a completed task should not run again");
        if (fate == Fate.RUNNING || fate == Fate.MOVED || fate == Fate.SESSION_OVER) {
            assertTrue(cluster.allTasksRun(StartCopyScenario.JOB_ID, 1));
        } else {
            assertFalse(cluster.checker.locationByTask.containsKey(StartCopyScenario.TASK));
        }
    }

    /**
     * PROTOCOL: each worker keeps the highest token it has seen, "0 at first", and a direct command is carried out "if token and
     * session still match". A process of the worker that has seen no token carries out every copy for session 1, whatever
     * controllers do; they have to end what it starts.
     */
    @ParameterizedTest
    @EnumSource(names = {"ENDED", "MOVED", "CANCELLED", "SESSION_OVER"})
    @DisplayName(
            "what a copy starts on a restarted worker that has seen no token is ended within the time of a cancellation")
    void copyOnRestartedWorkerWithoutTokenIsEnded(Fate fate) {
        StartCopyScenario scenario = new StartCopyScenario(461);
        scenario.startTask(fate);
        scenario.bringAbout(fate);
        scenario.restart(Restarted.WORKER);
        scenario.countStarts();
        scenario.deliverCopy();
        assertEquals(1, scenario.copyStarts(), "the worker has to carry out the copy");
        scenario.run(ClusterSetup.CANCEL_MS);
        assertFalse(scenario.runsOnMachine(), "the copy should no longer run");
        scenario.deliverCopy();
        assertEquals(1, scenario.copyStarts(), "a second copy should be refused");
    }

    @ParameterizedTest(name = "seed {0}, restarted {1} ms after the start")
    @CsvSource({"3, 200", "4, 1", "4, 50", "8, 200", "13, 50", "16, 1"})
    @DisplayName("a cancelled task does not run again by a late copy where its worker had restarted unnoticed")
    void copyDoesNotRunCancelledTaskAfterUnnoticedRestart(long seed, long afterStartMs) {
        StartCopyScenario scenario = new StartCopyScenario(seed);
        scenario.startOnNewMachine();
        scenario.run(afterStartMs);
        scenario.restartUnnoticed();
        scenario.run(8_000);
        scenario.cluster.users.cancel(StartCopyScenario.JOB_ID);
        scenario.run(ClusterSetup.CANCEL_MS + 1_000);
        scenario.countStarts();
        scenario.deliverCopies();
        assertEquals(0, scenario.copyStarts(), "the cancelled task runs again");
        assertInvariantsHold(scenario.cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    @DisplayName("a cancelled task that a late copy runs on a worker that had restarted unnoticed is stopped")
    void cancelledTaskThatRunsAgainAfterUnnoticedRestartIsStopped(long seed) {
        StartCopyScenario scenario = new StartCopyScenario(seed, 7);
        scenario.startOnNewMachine();
        scenario.cluster.users.cancel(StartCopyScenario.JOB_ID);
        scenario.run(200);
        scenario.restartUnnoticed();
        scenario.deliverCopy();
        scenario.run(ClusterSetup.CANCEL_MS);
        assertFalse(scenario.runsOnMachine(), "the copy should no longer run");
        assertInvariantsHold(scenario.cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 4, 6, 7, 8, 13, 22, 27})
    @DisplayName("a task that failed and moved does not run twice by a late copy where its worker restarted unnoticed")
    void copyDoesNotRunMovedTaskAfterUnnoticedRestart(long seed) {
        StartCopyScenario scenario = new StartCopyScenario(seed, 7);
        scenario.startOnNewMachine();
        scenario.run(400);
        scenario.failTask();
        scenario.run(100);
        scenario.restartUnnoticed();
        scenario.run(12_000);
        scenario.countStarts();
        scenario.deliverCopies();
        assertEquals(0, scenario.copyStarts(), "the task runs again where it was before");
        assertInvariantsHold(scenario.cluster);
        assertTrue(scenario.cluster.allTasksRun(StartCopyScenario.JOB_ID, 1));
    }
}
