package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.networknt.schema.InputFormat;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.landingridge.controller.settings.InvalidSettingsException;
import org.landingridge.controller.settings.Settings;
import org.landingridge.wire.Priority;

/**
 * What is to be played, read from a TOML file that {@code experiment.schema.json} describes.
 *
 * @param up    ordinary machines that are up at the start
 * @param next  the state service's limits after the fault {@code limits_fall}, which upgraded controllers are told of
 * @param ended jobs that ended before, in segments or with a key each
 */
public record Experiment(
        String name,
        List<Long> seeds,
        int durationS,
        int controllers,
        int machines,
        int up,
        double bootS,
        double reportS,
        double leaseS,
        double cancelS,
        Settings.State state,
        Settings.State next,
        int ended,
        HistoryBenchmark.Form form,
        Map<String, Settings.Team> teams,
        List<Arrivals> arrivals,
        List<Pipelines> pipelines,
        List<Fault> faults,
        Meetings meetings) {

    /** A class of jobs: so many at the start, and then by chance so many a minute. */
    public record Arrivals(
            String jobClass,
            String team,
            boolean service,
            int tasksMin,
            int tasksMax,
            double cpus,
            double runS,
            double perMinute,
            int initial,
            double fromS,
            double untilS,
            Priority priority,
            double checkpointS,
            double mistaken,
            double cancelled,
            Placing placing) {}

    /** Pipelines that come by chance, so many a minute; of a share of them the user calls off one job. */
    public record Pipelines(
            String team, double perMinute, double fromS, double untilS, double cancelled, List<Stage> stages) {}

    /** Between so many jobs of one class, each of which awaits every job of the stages that it needs. */
    public record Stage(
            String jobClass,
            int jobsMin,
            int jobsMax,
            int tasksMin,
            int tasksMax,
            double cpus,
            double runS,
            Priority priority,
            List<Integer> needs) {}

    /** How the tasks of a class's jobs are bound to zones. */
    public enum Placing {
        ANYWHERE,
        ONE_ZONE,
        SCATTER,
        ZONE_A
    }

    /**
     * Troubles that meet: so many times between two moments, two or three of these kinds within some seconds, drawn anew for
     * each seed.
     */
    public record Meetings(int count, double fromS, double untilS, List<Fault.Kind> kinds) {}

    /** Something that goes wrong. */
    public record Fault(double atS, Kind kind, double forS, int count, double share) {
        public enum Kind {
            CRASH_LEADER,
            CRASH_ALL,
            STATE_OUTAGE,
            CUT_LEADER_STATE,
            CUT_LEADER_WORKERS,
            HANG_MACHINES,
            LOSE_MACHINES,
            LOSE_ZONE,
            CUT_ZONE,
            LOST_ANSWERS,
            FREEZE_LEADER,
            FREEZE_ALL,
            REFUSE_LEADER_STATE,
            CUT_LEADER_PEERS,
            RESTART_MACHINES,
            BOOT_TROUBLE,
            POLL_STORM,
            COPIES,
            LATE_WRITES,
            LATE_REPORTS,
            DEAF_MACHINES,
            CUT_LEADER_STATE_PEERS,
            CRASH_OTHER,
            HOLD_ORDERS,
            REFUSE_OTHER_STATE,
            UNANSWERED_WRITES,
            KEPT_REPORTS,
            MUTE_MACHINES,
            CANCEL_NOW,
            CANCEL_AND_HANG,
            CANCEL_AT_END,
            ODD_REQUESTS,
            CLOSE_LOOKS,
            HAND_OVERS,
            UPGRADE,
            LIMITS_FALL
        }
    }

    /** Reads and checks a file; what is wrong is said in one line with file, field and expectation. */
    public static Experiment read(Path file) throws InvalidSettingsException {
        JsonNode n;
        try {
            n = new TomlMapper().readTree(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new InvalidSettingsException(file + ": cannot be read as TOML: "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
        try (InputStream in = Experiment.class.getResourceAsStream("experiment.schema.json")) {
            String errors = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8))
                    .validate(n.toString(), InputFormat.JSON)
                    .stream()
                    .map(Object::toString)
                    .collect(Collectors.joining("; "));
            if (!errors.isEmpty()) {
                throw new InvalidSettingsException(file + ": " + errors);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the schema is part of the program", e);
        }
        return checked(file, n);
    }

    private static Experiment checked(Path file, JsonNode n) throws InvalidSettingsException {
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        for (JsonNode t : n.path("teams")) {
            String name = t.get("name").textValue();
            if (teams.put(
                            name,
                            new Settings.Team(
                                    name,
                                    t.get("cpus").doubleValue(),
                                    t.path("cpus_max").asDouble(0),
                                    0,
                                    0))
                    != null) {
                throw new InvalidSettingsException(
                        file + ": teams: " + name + " is there twice, expected one of each name");
            }
        }
        List<Arrivals> arrivals = new ArrayList<>();
        int number = 0;
        for (JsonNode a : n.path("arrivals")) {
            String at = file + ": arrivals[" + number++ + "]";
            Arrivals made = new Arrivals(
                    a.get("class").textValue(),
                    a.get("team").textValue(),
                    a.path("service").asBoolean(false),
                    a.path("tasks_min").asInt(1),
                    a.path("tasks_max").asInt(Math.max(1, a.path("tasks_min").asInt(1))),
                    a.path("cpus").asDouble(1),
                    a.path("run_s").asDouble(10),
                    a.path("per_minute").asDouble(0),
                    a.path("initial").asInt(0),
                    a.path("from_s").asDouble(0),
                    a.path("until_s").asDouble(Double.MAX_VALUE),
                    a.has("priority")
                            ? Priority.of(a.get("priority").textValue())
                            : a.path("service").asBoolean(false) ? Priority.HIGH : Priority.NORMAL,
                    a.path("checkpoint_s").asDouble(0),
                    a.path("mistaken").asDouble(0),
                    a.path("cancelled").asDouble(0),
                    Placing.valueOf(a.path("placing").asText("anywhere").toUpperCase(java.util.Locale.ROOT)));
            if (!teams.containsKey(made.team)) {
                throw new InvalidSettingsException(at + ".team: expected a team of this file, got " + made.team);
            }
            if (made.tasksMax < made.tasksMin) {
                throw new InvalidSettingsException(at + ".tasks_max: expected at least tasks_min, " + made.tasksMin);
            }
            arrivals.add(made);
        }
        List<Pipelines> pipelines = new ArrayList<>();
        for (JsonNode p : n.path("pipelines")) {
            pipelines.add(pipelines(file + ": pipelines[" + pipelines.size() + "]", p, teams));
        }
        List<Fault> faults = new ArrayList<>();
        for (JsonNode f : n.path("faults")) {
            faults.add(new Fault(
                    f.get("at_s").doubleValue(),
                    kind(f.get("kind")),
                    f.path("for_s").asDouble(3),
                    f.path("count").asInt(1),
                    f.path("share").asDouble(0.2)));
        }
        JsonNode m = n.path("meetings");
        List<Fault.Kind> kinds = new ArrayList<>();
        m.path("kinds").forEach(k -> kinds.add(kind(k)));
        Meetings meetings = new Meetings(
                m.path("count").asInt(0),
                m.path("from_s").asDouble(0),
                m.path("until_s").asDouble(0),
                kinds);
        if (meetings.count > 0 && meetings.untilS <= meetings.fromS) {
            throw new InvalidSettingsException(
                    file + ": meetings.until_s: expected more than from_s, " + meetings.fromS);
        }
        JsonNode c = n.path("cluster");
        JsonNode s = n.path("state");
        Settings.State state = limits(s, new Settings.State(250, 50, 4, 8));
        int machines = c.path("machines").asInt(20);
        int up = c.path("up").asInt(0);
        if (up > machines) {
            throw new InvalidSettingsException(file + ": cluster.up: expected at most cluster.machines, " + machines);
        }
        List<Long> seeds = new ArrayList<>();
        n.get("seeds").forEach(x -> seeds.add(x.longValue()));
        return new Experiment(
                n.get("name").textValue(),
                seeds,
                n.get("duration_s").intValue(),
                c.path("controllers").asInt(3),
                machines,
                up,
                c.path("boot_s").asDouble(3),
                c.path("report_s").asDouble(1),
                c.path("lease_s").asDouble(8),
                c.path("cancel_s").asDouble(ClusterSetup.CANCEL_MS / 1000.0),
                state,
                limits(s.path("next"), state),
                n.path("history").path("ended").asInt(0),
                n.path("history").path("form").asText("segments").equals("keys")
                        ? HistoryBenchmark.Form.KEYS
                        : HistoryBenchmark.Form.SEGMENTS,
                teams,
                arrivals,
                pipelines,
                faults,
                meetings);
    }

    private static Settings.State limits(JsonNode s, Settings.State otherwise) {
        return new Settings.State(
                s.path("rps").asDouble(otherwise.rps()),
                s.path("write_rps").asDouble(otherwise.writeRps()),
                s.path("value_kb").asDouble(otherwise.valueKb()),
                s.path("txn_ops").asInt(otherwise.txnOps()));
    }

    private static Pipelines pipelines(String at, JsonNode p, Map<String, Settings.Team> teams)
            throws InvalidSettingsException {
        if (!teams.containsKey(p.get("team").textValue())) {
            throw new InvalidSettingsException(at + ".team: expected a team of this file, got "
                    + p.get("team").textValue());
        }
        List<Stage> stages = new ArrayList<>();
        for (JsonNode s : p.get("stages")) {
            List<Integer> needs = new ArrayList<>();
            for (JsonNode need : s.path("needs")) {
                if (need.intValue() >= stages.size()) {
                    throw new InvalidSettingsException(
                            at + ".stages: expected needs to name earlier stages, got " + need);
                }
                needs.add(need.intValue());
            }
            int jobs = s.path("jobs_min").asInt(1);
            int tasks = s.path("tasks_min").asInt(1);
            stages.add(new Stage(
                    s.get("class").textValue(),
                    jobs,
                    Math.max(jobs, s.path("jobs_max").asInt(jobs)),
                    tasks,
                    Math.max(tasks, s.path("tasks_max").asInt(tasks)),
                    s.path("cpus").asDouble(1),
                    s.path("run_s").asDouble(10),
                    Priority.of(s.path("priority").asText("normal")),
                    needs));
        }
        return new Pipelines(
                p.get("team").textValue(),
                p.path("per_minute").asDouble(1),
                p.path("from_s").asDouble(0),
                p.path("until_s").asDouble(Double.MAX_VALUE),
                p.path("cancelled").asDouble(0),
                stages);
    }

    private static Fault.Kind kind(JsonNode name) {
        return Fault.Kind.valueOf(name.textValue().toUpperCase(java.util.Locale.ROOT));
    }
}
