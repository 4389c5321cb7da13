package org.landingridge.controller.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Holds the three files that others write for a controller: the platform's settings, the operators' and the deploy file. */
class DeployedFilesTest {
    private static final Path DEPLOY = Path.of("..", "deploy", "service.toml");

    private static final List<Settings.Peer> PEERS =
            List.of(new Settings.Peer("rig-1", "b", "10.0.0.2:8081"), new Settings.Peer("rig-2", "", "10.0.0.3:8082"));
    private static final Map<String, Object> TEAMS =
            map("red", new Settings.Team("red", 16, 48, 2, 4), "blue", new Settings.Team("blue", 0, 0, 0, 0));

    @TempDir
    Path dir;

    private static Path resource(String name) throws URISyntaxException {
        return Path.of(DeployedFilesTest.class.getResource(name).toURI());
    }

    private static Set<String> fields(JsonNode node) {
        Set<String> names = new TreeSet<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    private static Set<String> components(Class<? extends Record> type) {
        Set<String> names = new TreeSet<>();
        for (RecordComponent component : type.getRecordComponents()) {
            names.add(component.getName());
        }
        return names;
    }

    /** Every component of a record, its name and its value, as a reader of the record sees it. */
    private static Map<String, Object> values(Record of) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (RecordComponent component : of.getClass().getRecordComponents()) {
            try {
                values.put(component.getName(), component.getAccessor().invoke(of));
            } catch (ReflectiveOperationException e) {
                throw new LinkageError(component.getName(), e);
            }
        }
        return values;
    }

    private static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    @Test
    void everyFieldOfThePlatformsFileIsRead() throws Exception {
        Settings read = Settings.read(resource("settings-full.toml"));
        Map<String, Object> expected = map(
                "host",
                "rig-0",
                "zone",
                "a",
                "listen",
                new InetSocketAddress("10.0.0.1", 8080),
                "peerListen",
                new InetSocketAddress("10.0.0.1", 8081),
                "peers",
                PEERS,
                "cloud",
                "10.2.0.2:8443",
                "state",
                "10.2.0.1:2379",
                "zones",
                List.of("b", "a", "c"),
                "clockSkewMs",
                25.5,
                "teams",
                TEAMS,
                "objectives",
                List.of(
                        new Settings.Objective("finish", "batch", 600, 0.95, 3),
                        new Settings.Objective("wait", null, 0, 0, 1)),
                "workers",
                new Settings.Workers(2, 10, 31),
                "stateLimits",
                new Settings.State(200, 20, 3.5, 6),
                "cloudLimits",
                new Settings.Cloud(5, 8),
                "machine",
                new Settings.Machine(0.5, 200, 900));
        assertEquals(expected, values(read));
        assertEquals(
                new ArrayList<>(expected.keySet()), new ArrayList<>(values(read).keySet()));
        assertEquals(List.of("red", "blue"), List.copyOf(read.teams().keySet()), "the teams' order is the file's");
    }

    @Test
    void theNestedRecordsAreReadComponentByComponent() throws Exception {
        Settings read = Settings.read(resource("settings-full.toml"));
        assertEquals(
                map("host", "rig-1", "zone", "b", "addr", "10.0.0.2:8081"),
                values(read.peers().get(0)));
        assertEquals(
                map("name", "red", "cpus", 16.0, "cpusMax", 48.0, "gpus", 2.0, "gpusMax", 4.0),
                values(read.teams().get("red")));
        assertEquals(
                map("kind", "finish", "jobClass", "batch", "withinS", 600.0, "share", 0.95, "times", 3.0),
                values(read.objectives().get(0)));
        assertEquals(map("reportS", 2.0, "leaseS", 10.0, "cancelS", 31.0), values(read.workers()));
        assertEquals(map("rps", 200.0, "writeRps", 20.0, "valueKb", 3.5, "txnOps", 6), values(read.stateLimits()));
        assertEquals(3584, read.stateLimits().valueBytes());
        assertEquals(map("rps", 5.0, "listLagS", 8.0), values(read.cloudLimits()));
        assertEquals(map("cpu", 0.5, "memoryMb", 200.0, "maxConnections", 900), values(read.machine()));
    }

    @Test
    void whatThePlatformLeavesOutHasItsDefault() throws Exception {
        Path file = Files.writeString(dir.resolve("least.toml"), """
                host_name = "rig-0"
                serve_on = "10.0.0.1:8080"
                back = "10.0.0.1:8081"
                [external]
                cloud = "10.2.0.2:8443"
                state = "10.2.0.1:2379"
                [cluster]
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
                """);
        assertEquals(
                new Settings(
                        "rig-0",
                        "",
                        new InetSocketAddress("10.0.0.1", 8080),
                        new InetSocketAddress("10.0.0.1", 8081),
                        List.of(),
                        "10.2.0.2:8443",
                        "10.2.0.1:2379",
                        List.of(),
                        0,
                        Map.of(),
                        List.of(),
                        new Settings.Workers(2, 10, 30),
                        new Settings.State(250, 20, 4, 8),
                        new Settings.Cloud(5, 8),
                        new Settings.Machine(1, 0, 1000)),
                Settings.read(file));
    }

    @Test
    void everyFieldOfTheOperatorsFileIsRead() throws Exception {
        assertEquals(
                map(
                        "leaderHoldS",
                        4.5,
                        "bootMarginS",
                        21.0,
                        "idleS",
                        46.0,
                        "tightIdleS",
                        601.0,
                        "spareShare",
                        0.16,
                        "queryLimitS",
                        61.0,
                        "historyShare",
                        0.17,
                        "settleShare",
                        0.26),
                values(Policy.read(resource("operators-full.json"))));
        assertEquals(new Policy(3, 20, 45, 600, 0.15, 60, 0.15, 0.25), Policy.DEFAULT);
        assertEquals(Policy.DEFAULT, Policy.read(Files.writeString(dir.resolve("none.json"), "{}")));
    }

    @Test
    void theSchemaTheSampleAndThePolicyNameTheSameFields() throws Exception {
        JsonNode schema;
        try (InputStream in = Policy.class.getResourceAsStream("operators.schema.json")) {
            schema = new ObjectMapper().readTree(in);
        }
        assertEquals(components(Policy.class), fields(schema.path("properties")));
        assertEquals(
                components(Policy.class),
                fields(new ObjectMapper()
                        .readTree(resource("operators-full.json").toFile())));
        assertTrue(schema.path("additionalProperties").isBoolean()
                && !schema.path("additionalProperties").booleanValue());
    }

    @Test
    void theDeployFileStartsWhatTheBuildMakes() throws IOException {
        JsonNode deploy = new TomlMapper().readTree(DEPLOY.toFile());
        assertEquals(Set.of("build", "run", "production"), fields(deploy));
        assertTrue(deploy.path("production").textValue().matches("[0-9a-f]{40}"), "production is a commit");

        List<String> run = Arrays.asList(deploy.path("run").textValue().split(" ", -1));
        assertEquals("java", run.get(0));
        assertEquals("--config", run.get(run.size() - 1));
        String jar = run.get(run.indexOf("-jar") + 1);
        String archive = run.stream()
                .filter(argument -> argument.startsWith("-XX:SharedArchiveFile="))
                .map(argument -> argument.substring(argument.indexOf('=') + 1))
                .findFirst()
                .orElseThrow();
        String pom = Files.readString(Path.of("pom.xml"));
        String name = between(pom, "<finalName>", "</finalName>");
        assertEquals("landingridge-controller/" + name + ".jar", inTarget(jar));
        assertEquals(
                "${project.build.directory}/" + Path.of(archive).getFileName(),
                between(pom, "<argument>-XX:ArchiveClassesAtExit=", "</argument>"));
        assertEquals(Path.of(jar).getParent(), Path.of(archive).getParent());
        assertTrue(pom.contains("<argument>${project.build.directory}/" + name + ".jar</argument>"));
        assertTrue(deploy.path("build").textValue().startsWith("mvn "));
        assertTrue(List.of(deploy.path("build").textValue().split(" ")).containsAll(List.of("-pl", "controller")));
    }

    private static String inTarget(String path) {
        assertTrue(path.startsWith("target/"), path);
        return path.substring("target/".length());
    }

    private static String between(String text, String from, String to) {
        int start = text.indexOf(from) + from.length();
        assertTrue(start >= from.length(), "there is no " + from);
        return text.substring(start, text.indexOf(to, start));
    }
}
