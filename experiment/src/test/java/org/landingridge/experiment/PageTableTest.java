package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.Page;
import org.landingridge.controller.store.PageTable;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StoreAccess;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.Json;

/**
 * Guards against rows lost while pages that were filled under a larger size limit are split: if a page were written without its
 * moved rows before the pages that receive them, a leader reading in between would not find these rows. Also guards against
 * endless retries of writes that the state service rejects for their size.
 */
class PageTableTest {
    private static final int ROW = 20;
    private static final String LEADER = "lr/leader";

    private final Simulation sim = new Simulation(1);
    private final EmulatedStateService state = new EmulatedStateService(sim.host("state"));
    private final Simulation.Host host = sim.host("leader");
    private final StateClient client;
    private final WatchCache watchCache;

    PageTableTest() {
        sim.listen("state", sim.host("state"), state);
        client = new StateClient(sim.client(host), "state");
        watchCache = new WatchCache(
                client, host, "lr/", "lr", 20, new Metrics(host::nanos).busy, (key, value, version) -> {});
    }

    private static final class TextPage extends Page {
        TextPage(String key) {
            super(key);
        }

        @Override
        public JsonNode render() {
            ObjectNode n = Json.object();
            names().forEach(name -> n.put(name, "0123456789"));
            return names().isEmpty() ? null : n;
        }
    }

    private Set<String> rows() {
        Set<String> rows = new HashSet<>();
        state.keys("lr/page/").forEach(key -> state.value(key).fieldNames().forEachRemaining(rows::add));
        return rows;
    }

    private static ObjectNode filled(int rows) {
        ObjectNode n = Json.object();
        for (int i = 0; i < rows; i++) {
            n.put("row-" + i, "0123456789");
        }
        return n;
    }

    /** With one write per transaction, the receiving pages must be written first although all pages have the same rank. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void noRowIsEverNowhere(int writesToATransaction) {
        int count = 90;
        state.seed(LEADER, Json.object());
        state.seed("lr/page/0", filled(count));
        watchCache.start();
        sim.run(500);
        BatchWriter writer = new BatchWriter(
                new StoreAccess(client, watchCache, host),
                new Settings.State(100, 10, 1, writesToATransaction),
                1.0,
                LEADER,
                () -> watchCache.version(LEADER),
                new Metrics(host::nanos).busy);
        PageTable<TextPage> table = new PageTable<>("lr/page/", 800, TextPage::new, writer);
        TextPage page = table.open("lr/page/0");
        for (int i = 0; i < count; i++) {
            table.put("row-" + i, ROW, page);
        }
        table.splitOversized();
        assertFalse(page.ready(), "it waits for its successors");
        for (int t = 0; t < 400; t++) {
            sim.run(sim.now + 10);
            assertEquals(count, rows().size(), "at " + sim.now);
        }
        assertTrue(page.ready());
        for (String key : state.keys("lr/page/")) {
            assertTrue(Json.bytes(state.value(key)).length <= 1_024, key);
        }
        assertEquals(3, state.keys("lr/page/").size());
        assertEquals(0, state.tooLarge());
    }

    /** The service accepts less than it announced: no batch is retried forever, and every document that fits alone is stored. */
    @Test
    void refusedForSizeIsNotRepeatedForEver() {
        state.seed(LEADER, Json.object());
        state.limitSizes(600, 2);
        watchCache.start();
        sim.run(500);
        BatchWriter writer = new BatchWriter(
                new StoreAccess(client, watchCache, host),
                new Settings.State(100, 10, 1, 8),
                1.0,
                LEADER,
                () -> watchCache.version(LEADER),
                new Metrics(host::nanos).busy);
        PageTable<TextPage> table = new PageTable<>("lr/page/", 800, TextPage::new, writer);
        for (int p = 0; p < 4; p++) {
            TextPage page = table.open("lr/page/" + p);
            int rows = p == 0 ? 38 : 5;
            for (int i = 0; i < rows; i++) {
                table.put("row-" + p + "-" + i, ROW, page);
            }
            writer.mark(page);
        }
        sim.run(20_000);
        assertEquals(List.of("lr/page/1", "lr/page/2", "lr/page/3"), state.keys("lr/page/"));
        assertTrue(state.tooLarge() < 10, state.tooLarge() + " were sent");
        assertTrue(writer.idle());
    }
}
