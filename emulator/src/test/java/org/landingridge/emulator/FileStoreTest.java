package org.landingridge.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.landingridge.wire.Json;

class FileStoreTest {
    private final Simulation sim = new Simulation(1);

    private JsonNode call(EmulatedStateService state, String method, String path, String body) {
        JsonNode[] answer = new JsonNode[1];
        Simulation.Host host = sim.host("client");
        sim.listen("state", sim.host("state"), state);
        sim.client(host)
                .call(
                        "state",
                        method,
                        path,
                        body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                        1_000,
                        reply -> answer[0] = Json.parse(reply.body()));
        sim.run(sim.now + 100);
        return answer[0];
    }

    /** Values, versions and revision go on where they were; a key bound to a lease ends with it, after its full time. */
    @Test
    void goesOnAfterAKill(@TempDir Path dir) {
        Simulation.Host first = sim.host("s");
        try (FileStore file = new FileStore(dir.resolve("state.mv"))) {
            EmulatedStateService state = new EmulatedStateService(first, file);
            long lease = call(state, "POST", "/holds", "{\"lifeMs\":3000}")
                    .get("permit")
                    .longValue();
            call(state, "POST", "/commit", "{\"writes\":[{\"write\":\"a\",\"data\":{\"n\":1}}]}");
            call(state, "POST", "/commit", "{\"writes\":[{\"write\":\"b\",\"data\":{},\"permit\":" + lease + "}]}");
            call(state, "POST", "/commit", "{\"writes\":[{\"write\":\"c\",\"data\":{}}]}");
            call(state, "POST", "/commit", "{\"writes\":[{\"delete\":\"c\"}]}");
        }
        first.kill();
        try (FileStore file = new FileStore(dir.resolve("state.mv"))) {
            EmulatedStateService state = new EmulatedStateService(sim.host("s2"), file);
            JsonNode a = call(state, "GET", "/store/a", null);
            assertEquals(1, a.get("stamp").longValue());
            assertEquals(1, a.get("data").get("n").intValue());
            assertNull(state.value("c"));
            assertEquals(2, call(state, "GET", "/store/b", null).get("stamp").longValue());
            sim.run(sim.now + 4_000);
            assertNull(state.value("b"));
            assertEquals(
                    6,
                    call(state, "POST", "/commit", "{\"writes\":[{\"write\":\"d\",\"data\":{}}]}")
                            .get("edition")
                            .longValue());
        }
    }
}
