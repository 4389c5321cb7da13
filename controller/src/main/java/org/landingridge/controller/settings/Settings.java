package org.landingridge.controller.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetSocketAddress;
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

/** The file that the platform hands over. Unknown fields are ignored, known ones are checked. */
public record Settings(
        String host,
        String zone,
        InetSocketAddress listen,
        InetSocketAddress peerListen,
        List<Peer> peers,
        String cloud,
        String state,
        List<String> zones,
        double clockSkewMs,
        Map<String, Team> teams,
        List<Objective> objectives,
        Workers workers,
        State stateLimits,
        Cloud cloudLimits,
        Machine machine) {

    /** Another controller, by the address for controllers. */
    public record Peer(String host, String zone, String addr) {}

    /** A team's guarantee and limit; 0 means none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** What is expected of a class of jobs. */
    public record Objective(String kind, String jobClass, double withinS, double share, double times) {}

    public record Workers(double reportS, double leaseS, double cancelS) {}

    /**
     * Limits of the state service that this process keeps to.
     *
     * @param rps      requests a second
     * @param writeRps puts and deletes a second
     * @param valueKb  KiB to a value
     * @param txnOps   puts and deletes to a transaction
     */
    public record State(double rps, double writeRps, double valueKb, int txnOps) {
        /** The stricter of each: limits that are announced hold from the start, since they come without notice. */
        State stricter(State next) {
            return new State(
                    Math.min(rps, next.rps),
                    Math.min(writeRps, next.writeRps),
                    Math.min(valueKb, next.valueKb),
                    Math.min(txnOps, next.txnOps));
        }

        /** Bytes to a value. */
        public int valueBytes() {
            return (int) (valueKb * 1024);
        }
    }

    public record Cloud(double rps, double listLagS) {}

    public record Machine(double cpu, double memoryMb, int maxConnections) {}

    public static Settings read(Path file) throws InvalidSettingsException {
        JsonNode root;
        try (JsonParser parser = new TomlFactory().createParser(Files.readAllBytes(file))) {
            root = Json.read(parser);
        } catch (IOException e) {
            throw new InvalidSettingsException(file + ": cannot be read as TOML: " + firstLine(e.getMessage()));
        }
        return new Reader(file.toString()).settings(root);
    }

    private static String firstLine(String text) {
        return text == null ? "no reason given" : text.lines().findFirst().orElse("");
    }

    private record Reader(String file) {
        Settings settings(JsonNode root) throws InvalidSettingsException {
            List<Peer> peers = new ArrayList<>();
            Set<String> hosts = new HashSet<>(Set.of(text(root, "", "host_name")));
            for (JsonNode p : list(root, "known")) {
                String addr = text(p, "known.", "endpoint");
                address(addr, "known.endpoint");
                once(hosts, text(p, "known.", "host_name"), "known.host_name");
                peers.add(
                        new Peer(text(p, "known.", "host_name"), p.path("zone").asText(""), addr));
            }
            JsonNode cluster = table(root, "", "cluster");
            JsonNode external = table(root, "", "external");
            List<String> zones = new ArrayList<>();
            for (JsonNode z : list(cluster, "zones")) {
                if (!z.isTextual() || z.textValue().isBlank()) {
                    throw wrong("cluster.zones", "names of zones");
                }
                once(zones, z.textValue(), "cluster.zones");
            }
            Map<String, Team> teams = new LinkedHashMap<>();
            for (JsonNode t : list(cluster, "teams")) {
                String name = text(t, "cluster.teams.", "name");
                if (teams.containsKey(name)) {
                    throw wrong("cluster.teams.name", "each team once, but " + name + " stands twice");
                }
                teams.put(
                        name,
                        new Team(
                                name,
                                number(t, "cluster.teams.", "cpus", 0),
                                number(t, "cluster.teams.", "cpus_max", 0),
                                number(t, "cluster.teams.", "gpus", 0),
                                number(t, "cluster.teams.", "gpus_max", 0)));
            }
            List<Objective> objectives = new ArrayList<>();
            for (JsonNode o : list(cluster, "objectives")) {
                objectives.add(new Objective(
                        o.path("kind").asText(""),
                        o.path("class").asText(null),
                        number(o, "cluster.objectives.", "within_s", 0),
                        number(o, "cluster.objectives.", "share", 0),
                        number(o, "cluster.objectives.", "times", 1)));
            }
            String at = "cluster.workers.";
            JsonNode w = table(cluster, "cluster.", "workers");
            Workers workers = new Workers(
                    number(w, at, "report_s", null), number(w, at, "lease_s", null), number(w, at, "cancel_s", 30.0));
            at = "cluster.state.";
            JsonNode s = table(cluster, "cluster.", "state");
            State state = new State(
                    number(s, at, "rps", null), number(s, at, "write_rps", null), number(s, at, "value_kb", null), (int)
                            (double) number(s, at, "txn_ops", null));
            JsonNode n = s.path("next");
            if (n.isObject()) {
                at = "cluster.state.next.";
                state = state.stricter(new State(
                        number(n, at, "rps", state.rps),
                        number(n, at, "write_rps", state.writeRps),
                        number(n, at, "value_kb", state.valueKb),
                        (int) (double) number(n, at, "txn_ops", state.txnOps)));
            }
            if (!(state.rps > 0 && state.writeRps > 0 && state.valueKb > 0)) {
                throw wrong(at + "rps, write_rps, value_kb", "numbers above 0");
            }
            if (state.txnOps < 2) {
                throw wrong(at + "txn_ops", "at least 2");
            }
            at = "cluster.cloud.";
            JsonNode c = table(cluster, "cluster.", "cloud");
            Cloud cloud = new Cloud(number(c, at, "rps", null), number(c, at, "list_lag_s", null));
            JsonNode m = cluster.path("machine_limits");
            at = "cluster.machine_limits.";
            Machine machine = new Machine(number(m, at, "cpu", 1.0), number(m, at, "mem_mb", 0), (int)
                    (double) number(m, at, "max_connections", 1000));
            String cloudAddr = text(external, "external.", "cloud");
            address(cloudAddr, "external.cloud");
            String stateAddr = text(external, "external.", "state");
            address(stateAddr, "external.state");
            return new Settings(
                    text(root, "", "host_name"),
                    root.path("zone").asText(""),
                    address(text(root, "", "serve_on"), "serve_on"),
                    address(text(root, "", "back"), "back"),
                    List.copyOf(peers),
                    cloudAddr,
                    stateAddr,
                    List.copyOf(zones),
                    number(cluster, "cluster.", "skew_ms", 0),
                    teams,
                    List.copyOf(objectives),
                    workers,
                    state,
                    cloud,
                    machine);
        }

        private void once(Collection<String> names, String name, String field) throws InvalidSettingsException {
            if (names.contains(name)) {
                throw wrong(field, "each name once, but " + name + " stands twice");
            }
            names.add(name);
        }

        private InvalidSettingsException wrong(String field, String expected) {
            return new InvalidSettingsException(file + ": field " + field + ": expected " + expected);
        }

        private JsonNode table(JsonNode parent, String at, String field) throws InvalidSettingsException {
            JsonNode n = parent.get(field);
            if (n == null || !n.isObject()) {
                throw wrong(at + field, "a table");
            }
            return n;
        }

        private JsonNode list(JsonNode parent, String field) throws InvalidSettingsException {
            JsonNode n = parent.path(field);
            if (!n.isMissingNode() && !n.isArray()) {
                throw wrong(field, "a list");
            }
            return n;
        }

        private String text(JsonNode parent, String at, String field) throws InvalidSettingsException {
            JsonNode n = parent.get(field);
            if (n == null || !n.isTextual() || n.textValue().isBlank()) {
                throw wrong(at + field, "a text");
            }
            return n.textValue();
        }

        private double number(JsonNode parent, String at, String field, Number otherwise)
                throws InvalidSettingsException {
            JsonNode n = parent.get(field);
            if (n == null && otherwise != null) {
                return otherwise.doubleValue();
            }
            if (n == null || !n.isNumber() || !(n.doubleValue() >= 0) || otherwise == null && n.doubleValue() == 0) {
                throw wrong(at + field, otherwise == null ? "a number above 0" : "a number, 0 or more");
            }
            return n.doubleValue();
        }

        private InetSocketAddress address(String text, String field) throws InvalidSettingsException {
            try {
                HostAndPort address = HostAndPort.fromString(text);
                if (address.hasPort() && !address.getHost().isEmpty()) {
                    return new InetSocketAddress(address.getHost(), address.getPort());
                }
            } catch (IllegalArgumentException e) {
                // said below
            }
            throw wrong(field, "an address such as 10.0.0.1:8080");
        }
    }
}
