package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/** The documents that the pages tell a newcomer to write are taken from the pages, and sent to running controllers. */
class DocumentedExamplesTest {
    private static JsonNode document(String page, String file) throws IOException {
        String text = Files.readString(Path.of("..", "docs", page), StandardCharsets.UTF_8);
        Matcher found = Pattern.compile("cat > " + file + " <<'(\\w+)'\n(.*?)\n *\\1\n", Pattern.DOTALL)
                .matcher(text);
        assertTrue(found.find(), page + " has no " + file);
        JsonNode document = Json.parse(found.group(2).getBytes(StandardCharsets.UTF_8));
        assertTrue(document != null, file + " on " + page + " is JSON");
        return document;
    }

    private static SimulatedCluster world(String... teams) {
        Map<String, Settings.Team> all = new java.util.LinkedHashMap<>();
        for (String team : teams) {
            all.put(team, new Settings.Team(team, 8, 0, 0, 0));
        }
        return new SimulatedCluster(new ClusterSetup(
                1,
                3,
                20,
                3_000,
                ClusterSetup.REPORT_MS,
                ClusterSetup.LEASE_MS,
                all,
                new Settings.State(200, 20, 4, 8)));
    }

    @Test
    void theFirstJobRuns() throws IOException, InvalidMessageException {
        JsonNode job = document("experiments.md", "job.json");
        SimulatedCluster w = world("local");
        JobSpec spec = JobSpec.parse(job);
        w.checker.specs.put(spec.id(), spec);
        w.sim.run(3_000);
        assertEquals(201, w.users.post(w.nodes.get(0), Json.bytes(job)));
        w.users.poll(spec.id());
        w.sim.run(60_000);
        assertEquals("done", w.checker.lastStatusByJob.get(spec.id()));
    }

    @Test
    void theFirstChangeOfTeamsIsMade() throws IOException {
        ObjectNode change = (ObjectNode) document("configuration.md", "teams.json");
        change.put("key", "k").put("by", "ann").put("why", "more room for the launch");
        SimulatedCluster w = world("vision", "old");
        int[] status = new int[1];
        w.at(3_000, () -> w.users.configure(0, change, reply -> status[0] = reply.status()));
        w.sim.run(6_000);
        assertEquals(200, status[0]);
        JsonNode teams = w.users.configuration(w.nodes.get(2)).get("teams");
        assertEquals(480, teams.get("vision").get("cpusMax").intValue());
        assertTrue(teams.get("old").get("removed").booleanValue());
    }
}
