package org.landingridge.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.wire.CommandBatch;
import org.landingridge.wire.Commands;
import org.landingridge.wire.ExitCause;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.WorkerCommand;

/** Guards against commands that are never sent, because earlier ones fill every message to their machine. */
class CommandComposerTest {
    private static final MachineType MACHINE_TYPE =
            new MachineType("g8", 96, 0, 768, 30, 1, 1.0, 0.3, 30, List.of("a"));
    private static final int ATTEMPTS = 2_000;

    private static Machine machineWithStoppingAttempts() {
        Machine machine = new Machine("m-1", "h:9", MACHINE_TYPE, "a", false, 0);
        for (int i = 0; i < ATTEMPTS; i++) {
            Attempt attempt = new Attempt(
                    machine,
                    new Heartbeat.Entry("job-000412", i, i + 1, Heartbeat.TaskStatus.RUNNING, ExitCause.UNSTATED),
                    null,
                    0);
            attempt.transitionTo(Attempt.State.SAVING, 0);
            attempt.requestStop(30);
            machine.add(attempt);
        }
        return machine;
    }

    @Test
    @DisplayName(
            "stops that do not fit into one message are sent in turns, even if the first attempts take long to save")
    void stopsBeyondOneMessageAreSentInTurns() throws InvalidMessageException {
        Machine machine = machineWithStoppingAttempts();
        Set<Integer> stoppedTasks = new HashSet<>();
        for (int message = 0; message < 2; message++) {
            Commands commands = new Commands();
            CommandComposer.addStops(machine, false, 1_000L + message, commands);
            int stoppedBefore = stoppedTasks.size();
            for (WorkerCommand command :
                    CommandBatch.parse(Json.parse(commands.answer(1))).commands()) {
                stoppedTasks.add(command.task());
            }
            assertTrue(stoppedTasks.size() > stoppedBefore, "message " + message + " stops no further attempt");
        }
        assertEquals(ATTEMPTS, stoppedTasks.size());
    }
}
