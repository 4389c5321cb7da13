package org.landingridge.emulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.ExitCause;
import org.landingridge.wire.Heartbeat.Entry;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.WorkerCommand;

/** The tasks on an emulated machine: carries commands out and lets tasks run and end. */
final class EmulatedTasks {
    private static final long FETCH_MS = 300;
    /** Where the image is on the machine. */
    private static final long FETCHED_MS = 20;

    private static final long FAIL_AFTER_MS = 200;
    private static final long SHORTEST_RUN_MS = 10;

    private final EmulatedWorker.Config config;
    private final EventLoop loop;
    private final GroundTruth truth;
    private final EmulatedCloud.Box box;
    private final Hanging hanging;
    /** By name of the attempt, {@code JOB/NUMBER#ATTEMPT}. */
    private final Map<String, EmulatedTask> tasks = new LinkedHashMap<>();

    private final Set<String> images = new HashSet<>();
    private boolean changed;
    private boolean dead;
    private boolean faulty;

    EmulatedTasks(
            EmulatedWorker.Config config, EventLoop loop, GroundTruth truth, EmulatedCloud.Box box, Hanging hanging) {
        this.config = config;
        this.loop = loop;
        this.truth = truth;
        this.box = box;
        this.hanging = hanging;
    }

    /** True if a heartbeat would say something new. */
    boolean changed() {
        return changed;
    }

    /** A heartbeat would say something new, or has just said all. */
    void changed(boolean news) {
        changed = news;
    }

    boolean dead() {
        return dead;
    }

    /** The machine stops. */
    void die() {
        endAll();
        dead = true;
    }

    /** From now on every task fails. */
    void spoil() {
        faulty = true;
    }

    int images() {
        return images.size();
    }

    /** The worker's lease has run out: it kills and forgets every task. */
    void clear() {
        endAll();
        tasks.clear();
        changed = true;
    }

    /** All attempts, for a heartbeat. */
    List<Entry> entries() {
        List<Entry> entries = new ArrayList<>(tasks.size());
        for (EmulatedTask task : tasks.values()) {
            entries.add(task.entry());
        }
        return entries;
    }

    /** A task that runs, or null. */
    String running() {
        for (EmulatedTask task : tasks.values()) {
            if (task.running()) {
                return task.task();
            }
        }
        return null;
    }

    /** True if the task runs. */
    boolean runs(String name) {
        return tasks.values().stream()
                .anyMatch(task -> task.running() && task.task().equals(name));
    }

    /** Processors that nothing takes. */
    double free() {
        double free = config.cpus();
        for (EmulatedTask task : tasks.values()) {
            JobSpec spec = task.ended() ? null : truth.spec(task.job());
            free -= spec == null ? 0 : spec.cpus();
        }
        return free;
    }

    /** The task ends with an error, where it runs. */
    void fail(String name) {
        for (EmulatedTask task : tasks.values()) {
            if (task.running() && task.task().equals(name)) {
                end(task, ExitCause.ERROR);
            }
        }
    }

    /** Carries commands out, in their order. */
    void execute(List<WorkerCommand> commands) {
        for (WorkerCommand command : commands) {
            String name = command.job() + "/" + command.task() + "#" + command.attempt();
            if (command instanceof WorkerCommand.Start) {
                ordered(GroundTruth.Order.START, name, tasks.containsKey(name));
                start(name, command);
            } else if (command instanceof WorkerCommand.Stop stop) {
                stop(name, stop.graceS());
            } else if (command instanceof WorkerCommand.Forget) {
                forget(name);
            }
            changed = true;
        }
    }

    private void ordered(GroundTruth.Order order, String name, boolean repeated) {
        truth.ordered(order, box.id, name, box.pool(), repeated);
    }

    private void stop(String name, double graceS) {
        EmulatedTask task = tasks.get(name);
        boolean over = task == null || task.ended();
        ordered(GroundTruth.Order.STOP, name, over);
        if (!over) {
            save(task, graceS);
            end(task, ExitCause.STOPPED);
        }
    }

    private void forget(String name) {
        EmulatedTask task = tasks.get(name);
        ordered(GroundTruth.Order.CLEAR, name, task == null);
        if (task != null && task.ended()) {
            tasks.remove(name);
        }
    }

    private void start(String name, WorkerCommand command) {
        if (tasks.containsKey(name)) {
            return;
        }
        EmulatedTask task = new EmulatedTask(command.job(), command.task(), command.attempt());
        JobSpec spec = truth.spec(task.job());
        ExitCause refusal = refusal(task, spec);
        tasks.put(name, task);
        if (refusal != ExitCause.UNSTATED) {
            task.refuse(refusal);
            return;
        }
        int phase = task.fetch();
        later(name, task, phase, images.add(spec.image()) ? FETCH_MS : FETCHED_MS, () -> run(name, task, phase, spec));
    }

    /** Why the worker does not take the task, {@link ExitCause#UNSTATED} if it does. */
    private ExitCause refusal(EmulatedTask task, JobSpec spec) {
        if (spec == null) {
            return ExitCause.UNKNOWN_TASK;
        }
        double cpus = 0;
        boolean busy = false;
        for (EmulatedTask other : tasks.values()) {
            if (!other.ended()) {
                cpus += truth.spec(other.job()).cpus();
                busy |= other.task().equals(task.task());
            }
        }
        if (busy) {
            return ExitCause.BUSY;
        }
        return cpus + spec.cpus() > config.cpus() + 1e-6 ? ExitCause.FULL : ExitCause.UNSTATED;
    }

    private void run(String name, EmulatedTask task, int phase, JobSpec spec) {
        task.run();
        changed = true;
        truth.starts(task.task(), box.id, config.type(), box.zone, box.spot);
        if (faulty || truth.mistaken(spec.id())) {
            later(name, task, phase, FAIL_AFTER_MS, () -> end(task, ExitCause.ERROR));
        } else if (!spec.service()) {
            task.beganAt(loop.now() - Math.round(truth.saved(task.task()) * 1000));
            long leftMs = Math.round(spec.estimateS() * 1000) - (loop.now() - task.beganAt());
            long takesMs = truth.completed(task.task()) ? SHORTEST_RUN_MS : Math.max(SHORTEST_RUN_MS, leftMs);
            later(name, task, phase, takesMs, () -> end(task, ExitCause.DONE));
        }
    }

    /** Does it after that time, if the attempt is still in that phase and the machine not dead. */
    private void later(String name, EmulatedTask task, int phase, long ms, Runnable action) {
        loop.after(ms, () -> {
            if (!dead) {
                hanging.whenAwake(() -> {
                    if (tasks.get(name) == task && task.phase() == phase && !task.ended()) {
                        action.run();
                    }
                });
            }
        });
    }

    /** It saves at once if it is given the time; else what it saved by itself is left. */
    private void save(EmulatedTask task, double graceS) {
        JobSpec spec = truth.spec(task.job());
        if (spec != null && spec.checkpointS() > 0 && task.running()) {
            double ranS = (loop.now() - task.beganAt()) / 1000.0;
            double checkpointedS = Math.floor(ranS / spec.checkpointS()) * spec.checkpointS();
            truth.saves(task.task(), graceS >= spec.saveS() ? ranS : checkpointedS);
        }
    }

    private void endAll() {
        for (EmulatedTask task : tasks.values()) {
            end(task, ExitCause.UNSTATED);
        }
    }

    private void end(EmulatedTask task, ExitCause cause) {
        if (task.running()) {
            truth.ends(task.task(), cause == ExitCause.DONE);
        }
        task.end(cause);
        changed = true;
    }
}
