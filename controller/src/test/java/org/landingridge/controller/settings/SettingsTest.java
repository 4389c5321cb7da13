package org.landingridge.controller.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {
    private static final String GOOD = """
            host_name = "rig-0"
            zone = "a"
            serve_on = "10.0.0.1:8080"
            back = "10.0.0.1:8081"
            later = "ignored"
            [[known]]
            host_name = "rig-1"
            endpoint = "10.0.0.2:8081"
            [external]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [cluster]
            count = 2
            [[cluster.teams]]
            name = "red"
            cpus = 16.0
            cpus_max = 48.0
            [cluster.workers]
            report_s = 2.0
            lease_s = 10.0
            [cluster.state]
            rps = 250.0
            write_rps = 20.0
            value_kb = 4.0
            txn_ops = 8
            [cluster.cloud]
            rps = 5.0
            list_lag_s = 8.0
            """;

    @TempDir
    Path dir;

    private Path file(String text) throws IOException {
        return Files.writeString(dir.resolve("s"), text);
    }

    @Test
    void aGoodFileIsRead() throws Exception {
        Settings s = Settings.read(file(GOOD));
        assertEquals("rig-1", s.peers().get(0).host());
        assertEquals(48, s.teams().get("red").cpusMax());
        assertEquals(8, s.stateLimits().txnOps());
    }

    @ParameterizedTest
    @CsvSource({
        "'host_name = \"rig-0\"','',host_name",
        "'\"10.0.0.1:8080\"','\"10.0.0.1\"',serve_on",
        "'rps = 250.0','rps = \"x\"',cluster.state.rps",
        "'lease_s = 10.0','lease_s = 0',cluster.workers.lease_s",
        "'txn_ops = 8','txn_ops = 1',cluster.state.txn_ops",
        "'[external]','[other]',external"
    })
    void aWrongFieldIsNamedWithItsFile(String from, String to, String field) throws IOException {
        Path file = file(GOOD.replaceFirst(java.util.regex.Pattern.quote(from), to));
        InvalidSettingsException e = assertThrows(InvalidSettingsException.class, () -> Settings.read(file));
        assertTrue(e.getMessage().startsWith(file.toString()) && e.getMessage().contains(field), e.getMessage());
        assertEquals(1, e.getMessage().lines().count());
    }

    @ParameterizedTest
    @CsvSource({
        "'host_name = \"rig-1\"','host_name = \"rig-0\"',known.host_name",
        "'name = \"red\"','name = \"red\"\n[[cluster.teams]]\nname = \"red\"',cluster.teams.name",
        "'[cluster]','[cluster]\nzones = [\"a\", \"b\", \"a\"]',cluster.zones"
    })
    void whatStandsTwiceIsNamed(String from, String to, String field) throws IOException {
        Path file = file(GOOD.replaceFirst(java.util.regex.Pattern.quote(from), to.replace("\\n", "\n")));
        InvalidSettingsException e = assertThrows(InvalidSettingsException.class, () -> Settings.read(file));
        assertTrue(e.getMessage().contains(field) && e.getMessage().contains("twice"), e.getMessage());
    }

    @Test
    void operatorsSettingsAreCheckedAgainstTheSchema() throws Exception {
        assertEquals(12, Policy.read(file("{\"idleS\": 12}")).idleS());
        assertEquals(Policy.DEFAULT.leaderHoldS(), Policy.read(file("{}")).leaderHoldS());
        assertThrows(InvalidSettingsException.class, () -> Policy.read(file("{\"idle\": 12}")));
        assertThrows(InvalidSettingsException.class, () -> Policy.read(file("{\"idleS\": -1}")));
        assertThrows(InvalidSettingsException.class, () -> Policy.read(file("no json")));
    }
}
