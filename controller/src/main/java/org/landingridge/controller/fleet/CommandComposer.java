package org.landingridge.controller.fleet;

import org.landingridge.wire.Commands;

/** Composes the commands for a machine: stops and deletions first, then starts. */
final class CommandComposer {
    private final FleetContext context;
    private final ActiveJobs jobs;

    CommandComposer(FleetContext context, ActiveJobs jobs) {
        this.context = context;
        this.jobs = jobs;
    }

    /** Returns the commands for the answer to the machine's heartbeat with this sequence number. */
    Commands composeAnswer(Machine machine, long seq) {
        Commands commands = new Commands();
        if (!machine.fenced() || !machine.registered()) {
            stopDetached(machine, commands);
            return commands;
        }
        long now = context.now();
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.state() == Attempt.State.EXITED) {
                addForgetIfSafe(attempt, commands);
            } else {
                addStopIfDue(attempt, false, now, commands);
            }
        }
        if (machine.isUp()) {
            for (Attempt attempt : machine.attempts().values()) {
                if (attempt.startDueInAnswer(now)) {
                    addStart(attempt, commands);
                    attempt.markStartInAnswer(seq);
                }
            }
        }
        return commands;
    }

    /** Returns the commands for a direct call to the machine. */
    Commands composeDirectCall(Machine machine) {
        Commands commands = new Commands();
        if (!machine.fenced() || !machine.registered()) {
            return commands;
        }
        long now = context.now();
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.state() != Attempt.State.EXITED) {
                addStopIfDue(attempt, true, now, commands);
            }
        }
        if (machine.isUp()) {
            for (Attempt attempt : machine.attempts().values()) {
                if (attempt.startDueInCall()) {
                    addStart(attempt, commands);
                }
            }
        }
        return commands;
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

    private void addForgetIfSafe(Attempt attempt, Commands commands) {
        Task task = attempt.task();
        boolean resultUnstored = task != null && task.state() == Task.State.FINISHED && jobs.contains(attempt.jobId());
        // If the machine forgot the attempt, a start that arrives late would run the task again.
        if (!resultUnstored && !attempt.startMayArrive() && !attempt.duplicateCouldRun()) {
            commands.forget(attempt.jobId(), attempt.taskIndex(), attempt.number());
        }
    }

    private static void addStopIfDue(Attempt attempt, boolean inDirectCall, long now, Commands commands) {
        if (attempt.stopDue(inDirectCall, now)) {
            attempt.stopSent(now);
            commands.stop(attempt.jobId(), attempt.taskIndex(), attempt.number(), attempt.graceS());
        }
    }

    private static void addStart(Attempt attempt, Commands commands) {
        commands.start(attempt.jobId(), attempt.taskIndex(), attempt.number());
    }
}
