package org.landingridge.controller.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.landingridge.wire.Commands;

/**
 * Composes the commands for a machine: stops and deletions first, then starts. What does not fit into one message is still due
 * when the next one is composed.
 */
final class CommandComposer {
    private final FleetContext context;
    private final ActiveJobs jobs;

    CommandComposer(FleetContext context, ActiveJobs jobs) {
        this.context = context;
        this.jobs = jobs;
    }

    /**
     * The commands of a direct call.
     *
     * @param starts the attempts whose starts are among the commands
     */
    record DirectCall(Commands commands, List<Attempt> starts) {}

    /** Returns the commands for the answer to the machine's heartbeat with this sequence number. */
    Commands composeAnswer(Machine machine, long seq) {
        Commands commands = new Commands();
        if (!machine.fenced() || !machine.registered()) {
            stopDetached(machine, commands);
            return commands;
        }
        long now = context.now();
        addStops(machine, false, now, commands);
        addForgets(machine, commands);
        if (machine.isUp()) {
            for (Attempt attempt : machine.attempts().values()) {
                if (attempt.startDueInAnswer(now) && addStart(attempt, commands)) {
                    attempt.start().markInAnswer(seq);
                }
            }
        }
        return commands;
    }

    /** Returns the commands for a direct call to the machine. */
    DirectCall composeDirectCall(Machine machine) {
        DirectCall call = new DirectCall(new Commands(), new ArrayList<>());
        if (!machine.fenced() || !machine.registered()) {
            return call;
        }
        addStops(machine, true, context.now(), call.commands);
        if (machine.isUp()) {
            for (Attempt attempt : machine.attempts().values()) {
                if (attempt.startDueInCall() && addStart(attempt, call.commands)) {
                    call.starts.add(attempt);
                }
            }
        }
        return call;
    }

    /**
     * Stops detached attempts on a machine where this leader may not start anything yet. After a failover, half a lease can
     * pass before a heartbeat shows the token, and during an outage of the state service no registry row is written.
     */
    private static void stopDetached(Machine machine, Commands commands) {
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.isLive()
                    && attempt.task() == null
                    && attempt.stopRequested()
                    && attempt.state() != Attempt.State.STARTING) {
                commands.stop(attempt.jobId(), attempt.taskIndex(), attempt.number(), 0);
            }
        }
    }

    /** Adds the stops that are due, repeated ones last: a full message must not hold up those that were never sent. */
    static void addStops(Machine machine, boolean inDirectCall, long now, Commands commands) {
        List<Attempt> due = new ArrayList<>();
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.isLive() && attempt.stopDue(inDirectCall, now)) {
                due.add(attempt);
            }
        }
        due.sort(Comparator.comparingLong(Attempt::stopSentAt));
        for (Attempt attempt : due) {
            if (commands.stop(attempt.jobId(), attempt.taskIndex(), attempt.number(), attempt.graceS())) {
                attempt.stopSent(now);
            }
        }
    }

    private void addForgets(Machine machine, Commands commands) {
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.state() == Attempt.State.EXITED
                    && mayForget(attempt)
                    && commands.forget(attempt.jobId(), attempt.taskIndex(), attempt.number())) {
                attempt.markClearSent();
            }
        }
    }

    private boolean mayForget(Attempt attempt) {
        Task task = attempt.task();
        boolean resultUnstored = task != null && task.state() == Task.State.FINISHED && jobs.contains(attempt.jobId());
        // If the machine forgot the attempt, a start that arrives late would run the task again.
        return !resultUnstored && !attempt.start().mayArrive() && !attempt.duplicateCouldRun();
    }

    private static boolean addStart(Attempt attempt, Commands commands) {
        return commands.start(attempt.jobId(), attempt.taskIndex(), attempt.number());
    }
}
