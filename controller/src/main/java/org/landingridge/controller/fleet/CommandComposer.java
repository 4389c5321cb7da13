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
    Commands answer(Machine machine, long seq) {
        Commands commands = new Commands();
        if (!machine.fenced() || !machine.registered()) {
            stopUnowned(machine, commands);
            return commands;
        }
        long now = context.now();
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.state() == Attempt.State.EXITED) {
                forgetEnded(attempt, commands);
            } else {
                stop(attempt, false, now, commands);
            }
        }
        if (machine.up()) {
            for (Attempt attempt : machine.attempts().values()) {
                if (attempt.answeredStartDue(now)) {
                    start(attempt, commands);
                    attempt.sentWithReport(seq);
                }
            }
        }
        return commands;
    }

    /** Returns the commands for a direct call to the machine. */
    Commands direct(Machine machine) {
        Commands commands = new Commands();
        if (!machine.fenced() || !machine.registered()) {
            return commands;
        }
        long now = context.now();
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.state() != Attempt.State.EXITED) {
                stop(attempt, true, now, commands);
            }
        }
        if (machine.up()) {
            for (Attempt attempt : machine.attempts().values()) {
                if (attempt.directStartDue()) {
                    start(attempt, commands);
                }
            }
        }
        return commands;
    }

    /**
     * Stops detached attempts on a machine where this leader may not start anything yet. After a failover, half a lease can
     * pass before a heartbeat shows the token, and during an outage of the state service no registry row is written.
     */
    private static void stopUnowned(Machine machine, Commands commands) {
        for (Attempt attempt : machine.attempts().values()) {
            if (attempt.live()
                    && attempt.owner() == null
                    && attempt.stopWanted()
                    && attempt.state() != Attempt.State.SENT) {
                commands.stop(attempt.jobId(), attempt.task(), attempt.number(), 0);
            }
        }
    }

    private void forgetEnded(Attempt attempt, Commands commands) {
        Task owner = attempt.owner();
        boolean unstored = owner != null && owner.state() == Task.State.FINISHED && jobs.contains(attempt.jobId());
        // If the machine forgot the attempt, a start that arrives late would run the task again.
        if (!unstored && !attempt.startMayArrive() && !attempt.copyCouldRun()) {
            commands.forget(attempt.jobId(), attempt.task(), attempt.number());
        }
    }

    private static void stop(Attempt attempt, boolean direct, long now, Commands commands) {
        if (attempt.stopDue(direct, now)) {
            attempt.stopSent(now);
            commands.stop(attempt.jobId(), attempt.task(), attempt.number(), attempt.graceS());
        }
    }

    private static void start(Attempt attempt, Commands commands) {
        commands.start(attempt.jobId(), attempt.task(), attempt.number());
    }
}
