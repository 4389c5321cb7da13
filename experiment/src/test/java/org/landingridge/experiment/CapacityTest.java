package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import picocli.CommandLine;

class CapacityTest {
    /** Each axis at a twentieth of its size: what is played breaks no rule and reaches the starts that it is to have. */
    @ParameterizedTest
    @EnumSource(CapacityCommand.Axis.class)
    void theSmallestSizeOfEachAxisPlays(CapacityCommand.Axis axis) {
        CapacityCommand command = new CapacityCommand();
        new CommandLine(command).parseArgs("--scale", "20");
        ExperimentRun.Outcome o = ExperimentRun.once(command.plan(axis, 4), 1, false);
        assertEquals(java.util.List.of(), o.broken());
        assertTrue(o.submitted() > 2, o.submitted() + " jobs");
    }

    @Test
    void aLineIsFittedThroughItsPoints() {
        CapacityCommand.Line line =
                CapacityCommand.Line.through(new int[] {1, 2, 3, 100}, new double[] {5, 7, 9, 0}, 3);
        assertEquals(3, line.intercept(), 1e-9);
        assertEquals(2, line.slope(), 1e-9);
        assertEquals(0, line.largestResidual(new int[] {1, 2, 3, 100}, new double[] {5, 7, 9, 0}, 3), 1e-9);
    }
}
