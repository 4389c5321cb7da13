package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.landingridge.experiment.ClusterAssertions.startServices;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.landingridge.controller.settings.Settings;
import org.landingridge.emulator.EmulatedWorker;
import org.landingridge.emulator.GroundTruth;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.CommandBatch;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.landingridge.wire.WorkerCommand;

/** A cluster with a task whose start was sent in a direct call; the call can be delivered once more. */
final class StartCopyScenario {
    private static final long LEASE_MS = 20_000;
    private static final long RESTART_MS = 100;
    private static final long FOLLOWERS_DOWN_MS = 6_000;
    private static final long STEP_MS = 50;
    /** Time in which the leader raises its token for attempts that are kept for a late copy of their start. */
    private static final long TOKEN_RAISED_MS = 90_000;

    private static final long SHORT_RUN_S = 3;
    private static final long LONG_RUN_S = 400;
    private static final int JOB = 100;
    private static final int OTHER_JOB = 101;
    static final String JOB_ID = SampleJobs.id(JOB);
    static final String TASK = JOB_ID + "/0";

    /** Who has restarted, within a fraction of a second, before the copy arrives. */
    enum Restarted {
        NONE,
        CONTROLLER,
        WORKER
    }

    /** What has become of the task before the copy arrives. */
    enum Fate {
        RUNNING,
        ENDED,
        MOVED,
        CANCELLED,
        SESSION_OVER
    }

    /** A direct call with the start of the task. */
    private record StartCall(String machineId, String attempt, long token, byte[] body) {}

    final SimulatedCluster cluster;
    private final Map<String, StartCall> startCalls = new HashMap<>();
    private StartCall startCall;
    /** Number of starts of the call's attempt that were carried out since {@link #countStarts}. */
    private int copyStarts;

    StartCopyScenario(long seed) {
        this(seed, 3);
    }

    StartCopyScenario(long seed, int controllers) {
        cluster = new SimulatedCluster(new ClusterSetup(
                seed,
                controllers,
                40,
                3_000,
                2_000,
                LEASE_MS,
                Map.of("blue", new Settings.Team("blue", 8, 0, 0, 0)),
                new Settings.State(200, 20, 4, 8)));
        cluster.sim.observer = new Simulation.Observer() {
            @Override
            public void request(String to, String method, String path, byte[] body) {
                if (path.equals("/commands")) {
                    recordStarts(to, body);
                }
            }

            @Override
            public void answer(String to, String method, String path, int status, byte[] body) {}

            @Override
            public void record(byte[] bytes) {}
        };
    }

    private void recordStarts(String machineId, byte[] body) {
        try {
            CommandBatch batch = CommandBatch.parse(Json.parse(body));
            for (WorkerCommand command : batch.commands()) {
                if (command instanceof WorkerCommand.Start) {
                    String task = command.job() + "/" + command.task();
                    String attempt = task + "#" + command.attempt();
                    startCalls.putIfAbsent(task, new StartCall(machineId, attempt, batch.token(), body));
                }
            }
        } catch (InvalidMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JobSpec job(Fate fate) {
        return SampleJobs.job(JOB, "blue", false, 1, 4, fate == Fate.ENDED ? SHORT_RUN_S : LONG_RUN_S);
    }

    /** Runs until the call arrives that starts the task on a machine which has just come up: its worker's numbers are low. */
    void startOnNewMachine() {
        cluster.at(100, () -> cluster.users.submit(job(Fate.RUNNING)));
        awaitStartCall();
    }

    private void awaitStartCall() {
        runUntil(30_000, () -> startCalls.containsKey(TASK));
        startCall = startCalls.get(TASK);
    }

    /** Submits the job beside services, and runs for a while after the start of its task. */
    void startTask(Fate fate) {
        startServices(cluster, 6);
        cluster.users.submit(job(fate));
        awaitStartCall();
        runUntil(5_000, () -> cluster.checker.locationByTask.containsKey(TASK));
        run(3_000);
    }

    /** Counts starts of the call's attempt from now on, without those of an attempt that the worker holds already. */
    void countStarts() {
        cluster.checker.orders = (order, machine, attempt, pool, repeated) -> {
            if (order == GroundTruth.Order.START && attempt.equals(startCall.attempt) && !repeated) {
                copyStarts++;
            }
        };
    }

    void run(long forMs) {
        cluster.sim.run(cluster.sim.now + forMs);
    }

    int copyStarts() {
        return copyStarts;
    }

    private void runUntil(long limitMs, BooleanSupplier condition) {
        long end = cluster.sim.now + limitMs;
        while (!condition.getAsBoolean() && cluster.sim.now < end) {
            cluster.sim.run(cluster.sim.now + STEP_MS);
        }
        assertTrue(condition.getAsBoolean(), "the condition does not hold after " + limitMs + " ms");
    }

    /** Whether the task runs on the machine of the call. */
    boolean runsOnMachine() {
        return cluster.workers.stream()
                .anyMatch(worker -> worker.box().id.equals(startCall.machineId) && worker.runs(TASK));
    }

    private EmulatedWorker machine() {
        return cluster.workers.stream()
                .filter(worker -> worker.box().id.equals(startCall.machineId))
                .findFirst()
                .orElseThrow();
    }

    private boolean runsElsewhere() {
        String place = cluster.checker.locationByTask.get(TASK);
        return place != null && !place.startsWith(startCall.machineId + "@");
    }

    /** The task ends with an error. */
    void failTask() {
        machine().fail(TASK);
    }

    /** Has the task meet its fate. */
    void bringAbout(Fate fate) {
        switch (fate) {
            case RUNNING -> {}
            case ENDED -> runUntil(20_000, () -> cluster.checker.completed.contains(TASK));
            case MOVED -> {
                failTask();
                runUntil(20_000, this::runsElsewhere);
            }
            case CANCELLED -> {
                cluster.users.cancel(JOB_ID);
                runUntil(10_000, () -> !cluster.checker.locationByTask.containsKey(TASK));
            }
            case SESSION_OVER -> {
                // The whole zone is cut off: a single machine would be returned to the cloud instead.
                String zone = machine().box().zone;
                List<EmulatedWorker> workers = cluster.workers.stream()
                        .filter(worker -> worker.box().zone.equals(zone))
                        .toList();
                workers.forEach(
                        worker -> cluster.nodes.forEach(node -> cluster.sim.cut(node.host.name, worker.box().id)));
                runUntil(LEASE_MS + 20_000, this::runsElsewhere);
                cluster.sim.heal();
                runUntil(30_000, () -> machine().session() > 1);
                // Without work the zone's machines, now idle, would be returned.
                cluster.users.submit(SampleJobs.job(OTHER_JOB, "blue", false, 24, 1, LONG_RUN_S));
            }
        }
        run(2_000);
    }

    void restart(Restarted restarted) {
        switch (restarted) {
            case NONE -> {}
            case CONTROLLER -> cluster.leader().crash(RESTART_MS);
            case WORKER -> {
                cluster.restart(machine(), RESTART_MS);
                run(RESTART_MS + 1);
            }
        }
    }

    /** Lets every machine see a newer token: a worker that restarts makes the leader raise it. */
    void awaitNewerToken() {
        EmulatedWorker other = cluster.workers.stream()
                .filter(worker -> !worker.box().id.equals(startCall.machineId) && worker.running() != null)
                .findFirst()
                .orElseThrow();
        cluster.restart(other, RESTART_MS);
        runUntil(TOKEN_RAISED_MS, () -> machine().token() > startCall.token);
    }

    /**
     * The worker restarts while all controllers but the leader are down: with each heartbeat that one of them does not answer, the
     * numbers of its new process come closer to those that the leader knows.
     */
    void restartUnnoticed() {
        ControllerNode leader = cluster.leader();
        cluster.nodes.stream().filter(node -> node != leader).forEach(node -> node.crash(FOLLOWERS_DOWN_MS));
        restart(Restarted.WORKER);
    }

    /** Delivers ten copies of the call, one a second. */
    void deliverCopies() {
        for (int copies = 0; copies < 10; copies++) {
            deliverCopy();
            run(1_000);
        }
    }

    /** Delivers the call once more, long after it was answered. */
    void deliverCopy() {
        Simulation.Host network = cluster.sim.host("network");
        cluster.sim
                .client(network)
                .call("w-" + startCall.machineId, "POST", "/commands", startCall.body, 1_000, reply -> {});
        run(10);
    }
}
