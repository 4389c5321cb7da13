package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.Document;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.StoreAccess;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.Json;
import org.landingridge.wire.MessageLimits;

/**
 * Large messages to and from the state service. Guards against a document close to the largest message that blocks all other
 * writes of the leader, and against a controller that never reads the state again after much was written in its absence.
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
    private final List<String> refusedKeys = new ArrayList<>();

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

    private final class LargeDocument implements Document {
        private final String key;
        private final int bytes;

        LargeDocument(String key, int bytes) {
            this.key = key;
            this.bytes = bytes;
        }

        @Override
        public String key() {
            return key;
        }

        @Override
        public JsonNode render() {
            return valueOfBytes(bytes);
        }

        @Override
        public void stored(long revision) {}

        @Override
        public void refused() {
            refusedKeys.add(key);
        }

        @Override
        public int rank() {
            return 1;
        }
    }

    @Test
    @DisplayName("documents up to the largest message are stored, a larger one holds up no other")
    void documentsOfEverySizeAreStoredOrSkipped() {
        BatchWriter writer = new BatchWriter(
                new StoreAccess(client, watchCache, leaderHost),
                LARGEST_LIMITS,
                1.0,
                LEADER_KEY,
                () -> watchCache.version(LEADER_KEY),
                new Metrics(leaderHost::nanos).busy);
        String longKey = "lr/" + "k".repeat(190);
        List<Document> documents = List.of(
                new LargeDocument("lr/too-large", 70_000),
                new LargeDocument("lr/large", 61_000),
                new LargeDocument(longKey, LARGEST_LIMITS.valueBytes()));
        documents.forEach(writer::mark);
        List<String> expectedKeys = new ArrayList<>(List.of(longKey, "lr/large", LEADER_KEY));
        for (int i = 0; i < 200; i++) {
            // Keys of 100 bytes and values of 1 kB: batches are limited by bytes, of which the keys are a part.
            String key = String.format("lr/small-%091d", i);
            writer.mark(new LargeDocument(key, 1_000));
            expectedKeys.add(key);
        }
        simulation.run(30_000);
        expectedKeys.sort(null);
        assertEquals(expectedKeys, stateService.keys("lr/"));
        assertEquals(List.of("lr/too-large"), refusedKeys);
        assertEquals(0, stateService.tooLarge());
        assertTrue(writer.isIdle());
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
