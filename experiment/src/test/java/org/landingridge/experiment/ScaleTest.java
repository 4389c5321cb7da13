package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;

/** What a history of a million jobs costs: nothing that grows with it. */
class ScaleTest {
    /** Three controllers and everything around them, in a process whose heap is that of one controller. */
    public static void main(String[] args) {
        int ended = Integer.parseInt(args[0]);
        SimulatedCluster w = new SimulatedCluster(1, 10);
        HistorySeeds.segments(w.state, 0, ended);
        ControllerNode leader = null;
        while (leader == null || w.metric(leader, "landingridge_takeovers") != 1) {
            w.sim.run(w.sim.now + 10);
            leader = w.leader();
            if (w.sim.now > 5_000) {
                throw new AssertionError("nobody leads after 5 s");
            }
        }
        System.out.println("requests " + w.state.requestsOf().get(leader.host.name));
        // Old jobs, at the ends of the history and within: asked for, submitted once more, cancelled.
        for (int n : new int[] {0, 6, 7, 511, 512, ended / 2, ended - 2, ended - 1}) {
            boolean cancelled = n % 7 == 0;
            String id = SampleJobs.id(n);
            w.checker.specs.put(id, SampleJobs.job(n, "blue", false, 1 + n % 100, 1, 1));
            w.checker.lastStatusByJob.put(id, cancelled ? "cancelled" : "done");
            if (cancelled) {
                w.checker.cancelAsked.add(id);
                w.checker.cancelledAt.put(id, 0L);
            }
            for (int t = 0; t < 1 + n % 100; t++) {
                w.checker.completed.add(id + "/" + t);
            }
            for (int node = 0; node < 3; node++) {
                w.users.askOnce(id, "poll", node);
                w.users.askOnce(id, "submit", node);
                w.users.askOnce(id, "cancel", node);
            }
        }
        // New ones, and one that nobody submitted.
        w.users.submit(SampleJobs.job(ended + 10, "red", false, 5, 1, 2));
        w.users.submit(SampleJobs.job(ended + 20_000, "blue", true, 2, 1, 0));
        w.at(20_000, () -> w.users.cancel(SampleJobs.id(ended + 20_000)));
        w.users.poll(SampleJobs.id(ended + 30_000));
        w.sim.run(40_000);
        if (!w.checker.violations.isEmpty()) {
            throw new AssertionError(w.checker.violations.toString());
        }
        for (var expected :
                List.of(SampleJobs.id(ended + 10) + "=done", SampleJobs.id(ended + 20_000) + "=cancelled")) {
            String[] parts = expected.split("=");
            if (!parts[1].equals(w.checker.lastStatusByJob.get(parts[0]))) {
                throw new AssertionError(parts[0] + " is " + w.checker.lastStatusByJob.get(parts[0]));
            }
        }
        // The leader dies, and the next one leads as soon.
        int before = w.state.requestsOf().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        w.leader().crash(1_000);
        w.sim.run(50_000);
        if (w.leader() == null || w.state.value(Keys.LEADER) == null) {
            throw new AssertionError("nobody leads after the leader's death");
        }
        System.out.println("answered by "
                + (w.state.requestsOf().values().stream()
                                .mapToInt(Integer::intValue)
                                .sum()
                        - before) + " requests more");
    }

    private static int requests(int ended) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        ScaleTest.class.getName(),
                        "" + ended)
                .redirectErrorStream(true)
                .start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), out);
        return out.lines()
                .filter(l -> l.startsWith("requests "))
                .mapToInt(l -> Integer.parseInt(l.substring("requests ".length())))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aMillionEndedJobsInTheHeapOfOneController() throws IOException, InterruptedException {
        assertEquals(requests(1_000), requests(1_000_000), "requests to the state service until leading");
    }

    @Test
    @DisplayName(
            "10,000 machines that report for the first time stand on the roster within 15 s, at 40 changes a second")
    void theRosterKeepsUp() {
        SimulatedCluster w = new SimulatedCluster(new ClusterSetup(
                5,
                3,
                10_000,
                3_000,
                5_000,
                26_500,
                Map.of("all", new Settings.Team("all", 40_000, 0, 0, 0)),
                new Settings.State(500, 40, 4, 8)));
        w.enforceLimits();
        w.cloud.bootMs = 0;
        for (int i = 0; i < 10_000; i++) {
            w.cloud.rent(i % 2 == 0 ? "a" : "b", false);
        }
        w.sim.run(15_000);
        int usable = 0;
        for (String page : w.state.keys("lr/fleet/")) {
            for (var row : w.state.value(page).properties()) {
                usable += row.getValue().path(0).isTextual() ? 1 : 0;
            }
        }
        assertEquals(10_000, usable);
        assertEquals(0, w.state.tooLarge());
    }
}
