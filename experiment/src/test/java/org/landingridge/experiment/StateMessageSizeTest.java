package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.Json;
import org.landingridge.wire.MessageLimits;

/**
 * Large messages to and from the state service. Guards against a controller that never reads the state again
 * after much was written in its absence.
 */
class StateMessageSizeTest {
    private static final String LEADER_KEY = "lr/leader";
    private static final Settings.State LARGEST_LIMITS = new Settings.State(1_000, 1_000, 64, 48);

    private final Simulation simulation = new Simulation(1);
    private final Simulation.Host stateHost = simulation.host("state");
    private final EmulatedStateService stateService = new EmulatedStateService(stateHost);
    private final Simulation.Host leaderHost = simulation.host("leader");
    private final StateClient client;
    private final WatchCache watchCache;

    StateMessageSizeTest() {
        simulation.listen("state", stateHost, stateService);
        stateService.limitSizes(MessageLimits.MAX_MESSAGE_BYTES, LARGEST_LIMITS.txnOps());
        stateService.seed(LEADER_KEY, Json.object());
        client = new StateClient(simulation.client(leaderHost), "state");
        watchCache = new WatchCache(
                client, leaderHost, "lr/", "lr", 20, new Metrics(leaderHost::nanos).busy, (key, value, version) -> {});
        watchCache.start();
        simulation.run(500);
    }

    private static JsonNode valueOfBytes(int bytes) {
        int fieldBytes = Json.bytes(Json.object().put("text", "")).length;
        return Json.object().put("text", "x".repeat(bytes - fieldBytes));
    }

    @Test
    @DisplayName("a controller that was cut off while more was written than one answer can bring reads all keys again")
    void stateIsReadAgainWhenAWatchBringsMoreThanOneAnswerMayHold() {
        simulation.dropping = true;
        simulation.cut(leaderHost.name, stateHost.name);
        StateClient otherClient = new StateClient(simulation.client(simulation.host("other")), "state");
        int keys = 90;
        for (int i = 0; i < keys; i++) {
            Write write = new Write("lr/key-" + i, valueOfBytes(60_000), 0);
            otherClient.commit(List.of(), List.of(write), answer -> assertTrue(answer.ok()));
        }
        simulation.run(5_000);
        simulation.heal(leaderHost.name, stateHost.name);
        simulation.run(60_000);
        for (int i = 0; i < keys; i++) {
            assertTrue(watchCache.version("lr/key-" + i) > 0, "key " + i + " is unknown");
        }
        assertTrue(watchCache.isFollowing());
    }
}
