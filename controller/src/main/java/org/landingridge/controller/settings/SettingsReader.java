package org.landingridge.controller.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.wire.Json;

/** Reads {@link Settings} from the platform's file: the one place that knows the names of its fields. */
final class SettingsReader {
    private static final double DEFAULT_CANCEL_S = 30;
    private static final double DEFAULT_CPU = 1;
    private static final double DEFAULT_MAX_CONNECTIONS = 1000;
    private static final int LEAST_TXN_OPS = 2;

    private final SettingsTable root;

    private SettingsReader(SettingsTable root) {
        this.root = root;
    }

    static Settings read(Path file) throws InvalidSettingsException {
        JsonNode tree;
        try (JsonParser parser = new TomlFactory().createParser(Files.readAllBytes(file))) {
            tree = Json.read(parser);
        } catch (IOException e) {
            throw InvalidSettingsException.unreadable(file, "TOML", e);
        }
        return new SettingsReader(new SettingsTable(file.toString(), "", tree)).settings();
    }

    /** Faults are reported in the order of these lines: the first one ends the reading. */
    private Settings settings() throws InvalidSettingsException {
        String host = root.text("host_name");
        List<Settings.Peer> peers = peers(host);
        SettingsTable cluster = root.table("cluster");
        SettingsTable external = root.table("external");
        List<String> zones = zones(cluster);
        Map<String, Settings.Team> teams = teams(cluster);
        List<Settings.Objective> objectives = objectives(cluster);
        Settings.Workers workers = workers(cluster.table("workers"));
        Settings.State stateLimits = stateLimits(cluster.table("state"));
        Settings.Cloud cloudLimits = cloudLimits(cluster.table("cloud"));
        Settings.Machine machine = machine(cluster.tableOrNone("machine_limits"));
        String cloud = external.addressText("cloud");
        String state = external.addressText("state");
        return new Settings(
                host,
                root.textOr("zone", ""),
                root.address("serve_on"),
                root.address("back"),
                peers,
                cloud,
                state,
                zones,
                cluster.numberOr("skew_ms", 0),
                teams,
                objectives,
                workers,
                stateLimits,
                cloudLimits,
                machine);
    }

    private List<Settings.Peer> peers(String host) throws InvalidSettingsException {
        List<Settings.Peer> peers = new ArrayList<>();
        Set<String> hosts = new HashSet<>(Set.of(host));
        for (SettingsTable known : root.list("known")) {
            String address = known.addressText("endpoint");
            String name = known.text("host_name");
            addOnce(hosts, name, known, "host_name", "each name once");
            peers.add(new Settings.Peer(name, known.textOr("zone", ""), address));
        }
        return List.copyOf(peers);
    }

    private static List<String> zones(SettingsTable cluster) throws InvalidSettingsException {
        List<String> zones = new ArrayList<>();
        for (SettingsTable zone : cluster.list("zones")) {
            if (!zone.node().isTextual() || zone.node().textValue().isBlank()) {
                throw cluster.invalid("zones", "names of zones");
            }
            addOnce(zones, zone.node().textValue(), cluster, "zones", "each name once");
        }
        return List.copyOf(zones);
    }

    private static Map<String, Settings.Team> teams(SettingsTable cluster) throws InvalidSettingsException {
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        Set<String> names = new HashSet<>();
        for (SettingsTable team : cluster.list("teams")) {
            String name = team.text("name");
            addOnce(names, name, team, "name", "each team once");
            teams.put(
                    name,
                    new Settings.Team(
                            name,
                            team.numberOr("cpus", 0),
                            team.numberOr("cpus_max", 0),
                            team.numberOr("gpus", 0),
                            team.numberOr("gpus_max", 0)));
        }
        return teams;
    }

    private static void addOnce(
            Collection<String> names, String name, SettingsTable table, String field, String expected)
            throws InvalidSettingsException {
        if (names.contains(name)) {
            throw table.invalid(field, expected + ", but " + name + " stands twice");
        }
        names.add(name);
    }

    private static List<Settings.Objective> objectives(SettingsTable cluster) throws InvalidSettingsException {
        List<Settings.Objective> objectives = new ArrayList<>();
        for (SettingsTable objective : cluster.list("objectives")) {
            objectives.add(new Settings.Objective(
                    objective.textOr("kind", ""),
                    objective.textOr("class", null),
                    objective.numberOr("within_s", 0),
                    objective.numberOr("share", 0),
                    objective.numberOr("times", 1)));
        }
        return List.copyOf(objectives);
    }

    private static Settings.Workers workers(SettingsTable table) throws InvalidSettingsException {
        return new Settings.Workers(
                table.positive("report_s"), table.positive("lease_s"), table.numberOr("cancel_s", DEFAULT_CANCEL_S));
    }

    private static Settings.State stateLimits(SettingsTable table) throws InvalidSettingsException {
        Settings.State limits =
                new Settings.State(table.positive("rps"), table.positive("write_rps"), table.positive("value_kb"), (int)
                        table.positive("txn_ops"));
        SettingsTable next = table.tableOrNone("next");
        if (!next.isTable()) {
            return checked(limits, table);
        }
        Settings.State announced = new Settings.State(
                next.numberOr("rps", limits.rps()),
                next.numberOr("write_rps", limits.writeRps()),
                next.numberOr("value_kb", limits.valueKb()),
                (int) next.numberOr("txn_ops", limits.txnOps()));
        return checked(limits.stricter(announced), next);
    }

    private static Settings.State checked(Settings.State limits, SettingsTable table) throws InvalidSettingsException {
        if (!(limits.rps() > 0 && limits.writeRps() > 0 && limits.valueKb() > 0)) {
            throw table.invalid("rps, write_rps, value_kb", "numbers above 0");
        }
        if (limits.txnOps() < LEAST_TXN_OPS) {
            throw table.invalid("txn_ops", "at least " + LEAST_TXN_OPS);
        }
        return limits;
    }

    private static Settings.Cloud cloudLimits(SettingsTable table) throws InvalidSettingsException {
        return new Settings.Cloud(table.positive("rps"), table.positive("list_lag_s"));
    }

    private static Settings.Machine machine(SettingsTable table) throws InvalidSettingsException {
        return new Settings.Machine(table.numberOr("cpu", DEFAULT_CPU), table.numberOr("mem_mb", 0), (int)
                table.numberOr("max_connections", DEFAULT_MAX_CONNECTIONS));
    }
}
