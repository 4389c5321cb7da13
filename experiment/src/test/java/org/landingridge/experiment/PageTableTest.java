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
    private static final int ROW_BYTES = 20;
    private static final String LEADER_KEY = "lr/leader";

    private final Simulation simulation = new Simulation(1);
    private final EmulatedStateService stateService = new EmulatedStateService(simulation.host("state"));
    private final Simulation.Host leaderHost = simulation.host("leader");
    private final StateClient client;
    private final WatchCache watchCache;

    PageTableTest() {
        simulation.listen("state", simulation.host("state"), stateService);
        client = new StateClient(simulation.client(leaderHost), "state");
        watchCache = new WatchCache(
                client, leaderHost, "lr/", "lr", 20, new Metrics(leaderHost::nanos).busy, (key, value, version) -> {});
    }

    private static final class TextPage extends Page {
        TextPage(String key) {
            super(key);
        }

        @Override
        public JsonNode render() {
            ObjectNode value = Json.object();
            rowNames().forEach(name -> value.put(name, "0123456789"));
            return rowNames().isEmpty() ? null : value;
        }
    }

    private Set<String> storedRows() {
        Set<String> rows = new HashSet<>();
        stateService
                .keys("lr/page/")
                .forEach(key -> stateService.value(key).fieldNames().forEachRemaining(rows::add));
        return rows;
    }

    private static ObjectNode pageWithRows(int rowCount) {
        ObjectNode value = Json.object();
        for (int row = 0; row < rowCount; row++) {
            value.put("row-" + row, "0123456789");
        }
        return value;
    }

    /** With one write per transaction, the receiving pages must be written first although all pages have the same rank. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void everyRowIsStoredAtEveryStepWhileOversizedPageIsSplit(int writesPerTransaction) {
        int rowCount = 90;
        stateService.seed(LEADER_KEY, Json.object());
        stateService.seed("lr/page/0", pageWithRows(rowCount));
        watchCache.start();
        simulation.run(500);
        BatchWriter writer = new BatchWriter(
                new StoreAccess(client, watchCache, leaderHost),
                new Settings.State(100, 10, 1, writesPerTransaction),
                1.0,
                LEADER_KEY,
                () -> watchCache.version(LEADER_KEY),
                new Metrics(leaderHost::nanos).busy);
        PageTable<TextPage> table = new PageTable<>("lr/page/", 800, TextPage::new, writer);
        TextPage page = table.addPage("lr/page/0");
        for (int row = 0; row < rowCount; row++) {
            table.put("row-" + row, ROW_BYTES, page);
        }
        table.splitOversized();
        assertFalse(page.canBeWritten(), "the split page must wait until its successors are stored");
        for (int step = 0; step < 400; step++) {
            simulation.run(simulation.now + 10);
            assertEquals(rowCount, storedRows().size(), "number of stored rows at " + simulation.now + " ms");
        }
        assertTrue(page.canBeWritten());
        for (String key : stateService.keys("lr/page/")) {
            assertTrue(Json.bytes(stateService.value(key)).length <= 1_024, key);
        }
        assertEquals(3, stateService.keys("lr/page/").size());
        assertEquals(0, stateService.tooLarge());
    }

    /** The service accepts less than it announced: no batch is retried forever, and every document that fits alone is stored. */
    @Test
    void writesRejectedForSizeAreNotRetriedForeverWhenServiceAcceptsLessThanAnnounced() {
        stateService.seed(LEADER_KEY, Json.object());
        stateService.limitSizes(600, 2);
        watchCache.start();
        simulation.run(500);
        BatchWriter writer = new BatchWriter(
                new StoreAccess(client, watchCache, leaderHost),
                new Settings.State(100, 10, 1, 8),
                1.0,
                LEADER_KEY,
                () -> watchCache.version(LEADER_KEY),
                new Metrics(leaderHost::nanos).busy);
        PageTable<TextPage> table = new PageTable<>("lr/page/", 800, TextPage::new, writer);
        for (int pageNumber = 0; pageNumber < 4; pageNumber++) {
            TextPage page = table.addPage("lr/page/" + pageNumber);
            int rowsInPage = pageNumber == 0 ? 38 : 5;
            for (int row = 0; row < rowsInPage; row++) {
                table.put("row-" + pageNumber + "-" + row, ROW_BYTES, page);
            }
            writer.mark(page);
        }
        simulation.run(20_000);
        assertEquals(List.of("lr/page/1", "lr/page/2", "lr/page/3"), stateService.keys("lr/page/"));
        assertTrue(
                stateService.tooLarge() < 10,
                stateService.tooLarge() + " values or transactions were rejected for their size");
        assertTrue(writer.isIdle());
    }
}
