import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: controllers as processes, started as deploy/service.toml says, among the stand-ins. */
final class Cases {
    static final String TYPE = "atlas4";

    /** What the processes and stand-ins of a case share. */
    static final class Setup {
        final Truth truth = new Truth();
        final List<String> nodes = new ArrayList<>();
        final List<String> hosts = new ArrayList<>();
        List<String> zones = List.of("casa-nord", "rabat-agdal");
        double reportS = 2;
        double leaseS = 10;
        double cancelS = 30;
        double bootS = 3;
        double listLagS = 8;
        double rps = 250;
        double writeRps = 20;
        /** Guaranteed and most CPUs of each team; 0: none. */
        double cpus = 16;
        double cpusMax = 48;
        List<String> teams = List.of("replaydesk-00", "replaydesk-01");
    }

    final Setup setup;
    final StateService state;
    final Cloud cloud;
    private final Path folder;
    private final Path repository;
    private final List<Process> processes = new ArrayList<>();
    private final Map<Integer, Path> settings = new HashMap<>();

    Cases(Setup setup, Path repository) throws IOException {
        this.setup = setup;
        this.repository = repository;
        folder = Files.createTempDirectory("review");
        List<Integer> back = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            setup.hosts.add("rig-" + i);
            setup.nodes.add("127.0.0.1:" + Web.freePort());
            back.add(Web.freePort());
        }
        state = new StateService(setup.rps, setup.writeRps);
        cloud = new Cloud(setup);
        for (int i = 0; i < 3; i++) {
            Path file = folder.resolve("rig-" + i + ".toml");
            Files.writeString(file, settings(i, back));
            settings.put(i, file);
            processes.add(null);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    private String settings(int own, List<Integer> back) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "host_name = \"rig-%d\"%nzone = \"%s\"%nserve_on = \"%s\"%nback = \"127.0.0.1:%d\"%n",
                own, setup.zones.get(own % setup.zones.size()), setup.nodes.get(own), back.get(own)));
        for (int i = 0; i < 3; i++) {
            if (i != own) {
                text.append(String.format(
                        "[[known]]%nhost_name = \"rig-%d\"%nzone = \"%s\"%nendpoint = \"127.0.0.1:%d\"%n",
                        i, setup.zones.get(i % setup.zones.size()), back.get(i)));
            }
        }
        text.append(String.format(
                "[external]%ncloud = \"%s\"%nstate = \"%s\"%n[cluster]%ncount = 3%nzones = [\"%s\"]%nskew_ms = 25.0%n",
                cloud.address, state.door(), String.join("\", \"", setup.zones)));
        for (String team : setup.teams) {
            text.append(String.format(
                    "[[cluster.teams]]%nname = \"%s\"%ncpus = %.1f%ncpus_max = %.1f%ngpus = 0.0%ngpus_max = 0.0%n",
                    team, setup.cpus, setup.cpusMax));
        }
        text.append(String.format("[[cluster.objectives]]%nkind = \"wait\"%nclass = \"clipserve\"%nwithin_s = 2.0%n"
                + "share = 0.85%n"));
        text.append(String.format("[[cluster.objectives]]%nkind = \"finished\"%nclass = \"reelcut\"%n"
                + "within_s = 120.0%nshare = 0.9%n"));
        text.append(String.format(
                "[cluster.workers]%nreport_s = %.1f%nlease_s = %.1f%ngang_wait_s = 45.0%ngang_peer_s = 8.0%n"
                        + "cancel_s = %.1f%n",
                setup.reportS, setup.leaseS, setup.cancelS));
        text.append(String.format(
                "[cluster.state]%nrps = %.1f%nwrite_rps = %.1f%nvalue_kb = 4.0%ntxn_ops = 8%n",
                setup.rps, setup.writeRps));
        text.append(String.format("[cluster.cloud]%nrps = 5.0%nlist_lag_s = %.1f%n", setup.listLagS));
        text.append(String.format(
                "[cluster.machine_limits]%ncpu = 0.264%nmem_mb = 205.0%nmax_connections = 1500%n"));
        return text.toString();
    }

    /** Starts a controller with the command of the deploy file. */
    void start(int node) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(repository.resolve("deploy/service.toml")));
        if (!run.find()) {
            throw new IOException("deploy/service.toml has no line run");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" +")));
        command.add(settings.get(node).toString());
        File log = folder.resolve("rig-" + node + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        processes.set(node, builder.start());
        Rec.log("rig-%d starts", node);
    }

    /** Kills a controller and waits until it has ended. */
    void kill(int node) throws InterruptedException {
        Process process = processes.get(node);
        process.destroyForcibly();
        process.waitFor();
        Rec.log("rig-%d is killed", node);
    }

    boolean isAlive(int node) {
        return processes.get(node).isAlive();
    }

    /** Starts all controllers and waits until one is ready; false if none is. */
    boolean startAll() throws IOException {
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        return until(25, () -> {
            for (String node : setup.nodes) {
                Web.Reply reply = Web.call("GET", node, "/ready", null, 1);
                if (reply == null || reply.status() != 200) {
                    return false;
                }
            }
            return true;
        });
    }

    void end() {
        for (int i = 0; i < processes.size(); i++) {
            Process process = processes.get(i);
            if (process != null) {
                process.destroyForcibly();
            }
        }
        try {
            for (Process process : processes) {
                if (process != null) {
                    process.waitFor();
                }
            }
            if (System.getenv("KEEP") == null) {
                for (File file : folder.toFile().listFiles()) {
                    file.delete();
                }
                Files.delete(folder);
            }
        } catch (IOException | InterruptedException e) {
            Rec.log("cleaning up failed: %s", e);
        }
    }

    /** A job as users submit it. */
    static Map<String, Object> job(String id, String lane, String crew, String shape, int takes, double cpus) {
        return Json.of(
                "id", id, "lane", lane, "crew", crew, "shape", shape, "urgency", "normal", "takes", takes, "cpus",
                cpus, "cards", 0.0, "memoryGb", 1.0, "reel", "img-01", "sizeGb", 0.3, "rigs", null, "yard", null,
                "oneZone", false, "scatter", false, "standby", true, "runtimeS", 20.0, "savepointS", 0.0, "flushS",
                0.0, "airtimeS", null);
    }

    /** Submits as a user does, with retries for 60 s; true once it is accepted. */
    boolean submit(Map<String, Object> job) {
        String id = (String) job.get("id");
        setup.truth.specs.put(id, job);
        double until = Rec.now() + 60;
        for (int i = 0; Rec.now() < until; i++) {
            Web.Reply reply = Web.call("POST", setup.nodes.get(i % 3), "/api/jobs", Json.text(job), 5);
            Rec.log("user: submits %s to rig-%d: %s", id, i % 3, reply == null ? "no answer" : reply);
            if (reply != null && (reply.status() == 200 || reply.status() == 201)) {
                return true;
            }
            sleep(1);
        }
        return false;
    }

    /** Asks for a job's state once. */
    Web.Reply poll(int node, String id) {
        Web.Reply reply = Web.call("GET", setup.nodes.get(node), "/api/jobs/" + id, null, 2);
        Rec.log("user: asks rig-%d for %s: %s", node, id, reply == null ? "no answer" : reply);
        return reply;
    }

    /** The number of the controller that leads, by its own word; -1 if none says so. Not part of any check. */
    int leader() {
        for (int i = 0; i < 3; i++) {
            Web.Reply reply = Web.call("GET", setup.nodes.get(i), "/api/status", null, 1);
            if (reply != null && reply.status() == 200) {
                Object says = Json.object(reply.body()).get("leadership");
                if ("LEADING".equals(says)) {
                    return i;
                }
            }
        }
        return -1;
    }

    interface Condition {
        boolean holds();
    }

    static boolean until(double seconds, Condition condition) {
        double end = Rec.now() + seconds;
        while (Rec.now() < end) {
            if (condition.holds()) {
                return true;
            }
            sleep(0.1);
        }
        return false;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Ends a case with its code; the shutdown hook ends all processes. */
    static void exit(int code, String why) {
        Rec.log("%s; exit code %d", why, code);
        System.out.println(why);
        System.exit(code);
    }
}
