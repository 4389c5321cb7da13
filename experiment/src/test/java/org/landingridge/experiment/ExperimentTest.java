package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.settings.InvalidSettingsException;
import org.landingridge.emulator.InvariantChecker;
import org.landingridge.emulator.Simulation;

class ExperimentTest {
    private static final String GOOD = """
            name = "small <one>"
            seeds = [4]
            duration_s = 60
            [cluster]
            machines = 10
            [history]
            ended = 1000
            [[teams]]
            name = "red"
            cpus = 8.0
            [[arrivals]]
            class = "array"
            team = "red"
            tasks_min = 2
            tasks_max = 5
            run_s = 4.0
            initial = 4
            per_minute = 6
            until_s = 30.0
            [[faults]]
            at_s = 15.0
            kind = "crash_leader"
            for_s = 2.0
            """;

    @TempDir
    private Path dir;

    private Experiment read(String text) throws InvalidSettingsException, IOException {
        return Experiment.read(Files.writeString(dir.resolve("e.toml"), text));
    }

    @ParameterizedTest
    @CsvSource({
        "seeds = [4],seeds = [],seeds",
        "duration_s = 60,duration_s = 0,duration_s",
        "machines = 10,machins = 10,machins",
        "team = \"red\",team = \"blue\",arrivals[0].team",
        "tasks_max = 5,tasks_max = 1,arrivals[0].tasks_max",
        "crash_leader,crash,kind",
        "machines = 10,up = 30,cluster.up",
        "ended = 1000,ended = -1,ended",
        "seeds = [4],seeds = [,e.toml"
    })
    void whatIsOutOfRangeIsNamed(String good, String bad, String named) {
        InvalidSettingsException e = assertThrows(InvalidSettingsException.class, () -> read(GOOD.replace(good, bad)));
        assertTrue(e.getMessage().contains(named) && e.getMessage().contains("e.toml"), e.getMessage());
        assertEquals(1, e.getMessage().lines().count(), e.getMessage());
    }

    /** The seed decides all that happens; the report tells it, and cannot be broken by a name. */
    @Test
    void playsTheSameTwice() throws InvalidSettingsException, IOException {
        Experiment plan = read(GOOD);
        ExperimentRun.Outcome one = ExperimentRun.once(plan, 4);
        ExperimentRun.Outcome two = ExperimentRun.once(plan, 4);
        assertEquals(List.of(), one.broken());
        assertEquals(one.samples(), two.samples());
        assertEquals(one.recoveries(), two.recoveries());
        assertEquals(1, one.recoveries().size());
        assertEquals(one.submitted(), one.done());
        assertTrue(one.submitted() >= 4);
        Path page = dir.resolve("r.html");
        ExperimentReport.write(page, plan, List.of(one));
        String html = Files.readString(page);
        assertTrue(html.contains("small &lt;one&gt;") && html.contains("No rule was broken"), html.substring(0, 300));
        assertFalse(html.contains("small <one>"));
        assertEquals(5, html.split("data:image/png;base64,", -1).length - 1);
    }

    /** Only a wait in which somebody could have accepted counts against the service. */
    @Test
    void lateSubmissionsAreToldApartByWhoCouldHaveHelped() {
        AdmissionDelays a = new AdmissionDelays();
        a.asked("soon", 0);
        a.asked("slow", 0);
        a.accepted("soon", 1_000);
        a.accepted("slow", 1_001);
        a.asked("closed", 2_000);
        a.closed(100);
        a.asked("after", 2_100);
        a.accepted("closed", 3_100);
        a.accepted("closed", 9_000);
        a.accepted("after", 3_100);
        assertEquals(new AdmissionDelays.Result(4, 2, 1, 0.1), a.result());
    }

    @Test
    void anOutageMakesSubmissionsLate() throws InvalidSettingsException, IOException {
        ExperimentRun.Outcome o = ExperimentRun.once(
                read(GOOD.replace("per_minute = 6", "per_minute = 60")
                        .replace("crash_leader", "state_outage")
                        .replace("for_s = 2.0", "for_s = 5.0")
                        .replace("initial = 4", "initial = 0")),
                4);
        assertEquals(5.0, o.admissions().closedS());
        assertEquals(o.submitted(), o.admissions().accepted());
        assertTrue(o.admissions().late() > 0, o.admissions().toString());
        assertEquals(0, o.admissions().lateInSpite(), o.admissions().toString());
    }

    /** With a seed that the files themselves do not play. */
    @ParameterizedTest
    @ValueSource(strings = {"bad-nights", "wide-fleet"})
    void badNightsAndTheWideFleetKeepEveryRuleAndServeEverybody(String name) throws InvalidSettingsException {
        ExperimentRun.Outcome o =
                ExperimentRun.once(Experiment.read(Path.of("..", "deploy", "experiments", name + ".toml")), 7);
        assertEquals(List.of(), o.broken());
        assertTrue(o.served().size() >= 6, o.served().toString());
        o.served().forEach(f -> assertTrue(f.served() > 0.9, f.toString()));
    }

    /** Unserved is what gets less than half where the plain model gives more; what came too late does not count. */
    @Test
    void whoIsNotServedIsTold() {
        InvariantChecker rules = new InvariantChecker(new Simulation(1).host("users"), 1_000);
        ServedDemand served = new ServedDemand();
        for (int i = 0; i < 4; i++) {
            served.asked(SampleJobs.job(i, "red", true, 2, 1, 0), 10);
            served.asked(SampleJobs.job(10 + i, "blue", false, 2, 1, 20), 10 + i * 60);
        }
        rules.locationByTask.put("job-000000/0", "m@a");
        rules.specs.put("job-000010", SampleJobs.job(10, "blue", false, 2, 1, 20));
        for (String task : List.of("job-000010/0", "job-000010/1")) {
            rules.starts(task, "m", "t4", "a", false);
            rules.ends(task, true);
        }
        List<ServedDemand.Figure> figures = served.figures(rules, 200, 100);
        assertEquals(
                List.of(
                        new ServedDemand.Figure("batch", 2, 0.5, 1),
                        new ServedDemand.Figure("live", 4, 0.125, 1),
                        new ServedDemand.Figure("largest batch", 1, 1, 1),
                        new ServedDemand.Figure("largest batch begun in 240 s", 1, 1, 1),
                        new ServedDemand.Figure("team blue", 2, 0.5, 1),
                        new ServedDemand.Figure("team red", 4, 0.125, 1)),
                figures);
        assertEquals(
                List.of(false, true, false, false, false, true),
                figures.stream().map(ServedDemand.Figure::unserved).toList());
        assertEquals(
                6,
                served.figures(rules, 200, 3).stream()
                        .filter(f -> !f.unserved())
                        .count(),
                "with three processors nobody could serve half of it");
        served.asked(SampleJobs.job(20, "blue", false, 9, 1, 20), 10);
        assertEquals(
                List.of("largest batch", "largest batch begun in 240 s"),
                served.figures(rules, 200, 100).stream()
                        .filter(f -> f.name().startsWith("largest") && f.unserved())
                        .map(ServedDemand.Figure::name)
                        .toList(),
                "the largest of the class has not begun");
    }
}
