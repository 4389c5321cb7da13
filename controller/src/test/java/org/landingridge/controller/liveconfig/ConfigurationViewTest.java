package org.landingridge.controller.liveconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.Json;

/**
 * Guards against a controller that acts on a configuration mixed from two changes, or drops its configuration because a stored
 * document cannot be parsed.
 */
class ConfigurationViewTest {
    private final ConfigurationView view = new ConfigurationView(Map.of("blue", new Settings.Team("blue", 1, 2, 0, 0)));

    private static JsonNode page(long number, String rows) {
        return Json.parse(("{\"number\":" + number + ",\"teams\":" + rows + "}").getBytes(StandardCharsets.UTF_8));
    }

    private double cpusMaxOfBlue() {
        return view.current().teams().get("blue").limits().cpusMax();
    }

    @Test
    void storedTeamOverridesSettingsFile() {
        assertEquals(0, view.current().number());
        assertEquals(2, cpusMaxOfBlue());
        view.changed(ConfigurationView.PAGE_ROOT + 0, page(1, "{\"blue\":[1,7,0,0,0]}"));
        view.changed(ConfigurationView.HEAD, ConfigurationView.encodeHead(1, "k", List.of(1L)));
        assertEquals(1, view.current().number());
        assertEquals(7, cpusMaxOfBlue());
    }

    /** The cache can hold documents of two changes while it reads the state page by page; these must not be mixed. */
    @Test
    void configurationIsNotInForceUntilAllPagesArrive() {
        view.changed(ConfigurationView.HEAD, ConfigurationView.encodeHead(2, "k", List.of(2L, 1L)));
        view.changed(ConfigurationView.PAGE_ROOT + 0, page(1, "{\"blue\":[1,7,0,0,0]}"));
        view.changed(ConfigurationView.PAGE_ROOT + 1, page(1, "{\"red\":[1,9,0,0,0]}"));
        assertEquals(0, view.current().number());
        view.changed(ConfigurationView.PAGE_ROOT + 0, page(2, "{\"blue\":[1,8,0,0,0]}"));
        assertEquals(2, view.current().number());
        assertEquals(8, cpusMaxOfBlue());
    }

    @Test
    void unreadableDocumentLeavesLastValidConfigurationInForce() {
        view.changed(ConfigurationView.PAGE_ROOT + 0, page(1, "{\"blue\":[1,7,0,0,0]}"));
        view.changed(ConfigurationView.HEAD, ConfigurationView.encodeHead(1, "k", List.of(1L)));
        Configuration lastValid = view.current();
        for (String rows : List.of("{\"blue\":[1,\"x\",0,0,0]}", "{\"blue\":[1]}", "[]", "{\"blue\":[-1,2,0,0,0]}")) {
            view.changed(ConfigurationView.PAGE_ROOT + 0, page(1, rows));
            assertSame(lastValid, view.current(), rows);
        }
        view.changed(ConfigurationView.HEAD, Json.object().put("number", "x"));
        assertSame(lastValid, view.current());
    }
}
