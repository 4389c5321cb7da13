package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.InvalidSettingsException;

/** A short form of {@code deploy/experiments/meetings.toml}: the seeds that broke a rule once, and a few more. */
class RandomFaultCombinationsTest {
    @ParameterizedTest
    @ValueSource(longs = {8, 12, 33, 41, 80, 166, 2001, 2002, 2003, 2004})
    @DisplayName(
            "two or three troubles within seconds, four times: no rule breaks, everybody finds an answer, everybody is served")
    void noRuleBreaks(long seed) throws InvalidSettingsException {
        plays("meetings.toml", seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {3, 19, 79, 169, 3001, 3002, 3003, 3004})
    @DisplayName(
            "the same with what the operators named later; besides, nothing odd is accepted and nobody waits beside free room")
    void norLater(long seed) throws InvalidSettingsException {
        plays("further-meetings.toml", seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    @DisplayName("pipelines after a rolling upgrade, limits that fall, outages and crashes")
    void pipelinesAndAnUpgrade(long seed) throws InvalidSettingsException {
        plays("pipelines.toml", seed);
    }

    private static void plays(String file, long seed) throws InvalidSettingsException {
        Experiment plan = Experiment.read(Path.of("..", "deploy", "experiments", file));
        ExperimentRun.Outcome o = ExperimentRun.once(plan, seed, false);
        assertEquals(List.of(), o.broken());
        assertEquals(
                List.of(),
                o.served().stream().filter(ServedDemand.Figure::unserved).toList());
    }
}
