package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: the project's controllers as processes, started by the command of the deploy file, among stand-ins for
 * state service, cloud, workers and users on loopback addresses. The numbers are those of a site file.
 */
final class Deployment implements Worker.Jobs, AutoCloseable {
    /** The numbers of a site. */
    record Site(
            List<String> nodeZones,
            List<String> zones,
            double rps,
            double writeRps,
            double cloudRps,
            double listLagS,
            double reportS,
            double leaseS,
            double cancelS,
            String type,
            double cpus,
            double memoryGb,
            double bootS,
            String teams,
            double cpuShare,
            double memoryMb,
            int maxConnections,
            double valueKb,
            int txnOps) {}

    static final int CONTROLLERS = 3;
    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final Site site;
    final StateService state;
    final Cloud cloud;
    final List<String> serveOn = new ArrayList<>();
    private final List<String> back = new ArrayList<>();
    private final List<String[]> nodes = new ArrayList<>();
    final Process[] processes = new Process[CONTROLLERS];
    private final Path folder;
    private final Path root;
    private final Map<String, Map<String, Object>> submitted = new ConcurrentHashMap<>();
    private boolean closed;
    /** Where each task that runs is. */
    final Map<String, Set<String>> onMachines = new HashMap<>();
    /** How many messages beyond the protocol's limit each machine has got. */
    final Map<String, Integer> tooLarge = new ConcurrentHashMap<>();
    /** When each task first started, in seconds of the record. */
    final Map<String, Double> firstStart = new ConcurrentHashMap<>();

    final Map<String, Integer> starts = new ConcurrentHashMap<>();

    Deployment(Site site, Path root) throws IOException {
        this.site = site;
        this.root = root;
        folder = Files.createTempDirectory("review");
        state = new StateService(CONTROLLERS, site.rps, site.writeRps, site.valueKb, site.txnOps);
        cloud = new Cloud(
                site.type,
                site.cpus,
                site.memoryGb,
                site.zones,
                Math.round(site.bootS * 1000),
                Math.round(site.listLagS * 1000));
        for (int i = 0; i < CONTROLLERS; i++) {
            serveOn.add(Web.HOST + ":" + Web.freePort());
            back.add(Web.HOST + ":" + Web.freePort());
            nodes.add(new String[] {"rig-" + i, serveOn.get(i)});
        }
        cloud.boots(place -> new Worker(
                place, site.type, site.cpus, site.memoryGb, site.reportS, site.leaseS, nodes, this));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private String settings(int index) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "host_name = \"rig-%d\"%nzone = \"%s\"%nserve_on = \"%s\"%nback = \"%s\"%n",
                index, site.nodeZones.get(index), serveOn.get(index), back.get(index)));
        for (int i = 0; i < CONTROLLERS; i++) {
            if (i != index) {
                text.append(String.format(
                        "[[known]]%nhost_name = \"rig-%d\"%nzone = \"%s\"%nendpoint = \"%s\"%n",
                        i, site.nodeZones.get(i), back.get(i)));
            }
        }
        text.append(String.format(
                "[external]%ncloud = \"%s\"%nstate = \"%s\"%n", cloud.address, state.addresses.get(index)));
        text.append(String.format("[cluster]%ncount = %d%nzones = %s%nskew_ms = 25.0%n", CONTROLLERS,
                Json.write(new ArrayList<>(site.zones))));
        text.append(site.teams);
        text.append(String.format(
                "[cluster.workers]%nreport_s = %s%nlease_s = %s%ngang_wait_s = 45.0%ngang_peer_s = 8.0%ncancel_s = %s%n",
                site.reportS, site.leaseS, site.cancelS));
        text.append(String.format(
                "[cluster.state]%nrps = %s%nwrite_rps = %s%nvalue_kb = %s%ntxn_ops = %d%n",
                site.rps, site.writeRps, site.valueKb, site.txnOps));
        text.append(String.format("[cluster.cloud]%nrps = %s%nlist_lag_s = %s%n", site.cloudRps, site.listLagS));
        text.append(String.format(
                "[cluster.machine_limits]%ncpu = %s%nmem_mb = %s%nmax_connections = %d%n",
                site.cpuShare, site.memoryMb, site.maxConnections));
        return text.toString();
    }

    /** The command of the deploy file. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(Arrays.asList(run.split(" ")));
            }
        }
        throw new IOException("deploy/service.toml has no run");
    }

    void start(int index) throws IOException {
        Path file = folder.resolve("rig-" + index + ".toml");
        Files.writeString(file, settings(index));
        List<String> command = command();
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("rig-" + index + ".log").toFile()));
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("REVIEW_LOG", "error"));
        processes[index] = builder.start();
        Record.line("rig-%d starts", index);
    }

    /** Starts all controllers and waits until they answer that they are ready and one leads. */
    boolean startAll() throws IOException {
        for (int i = 0; i < CONTROLLERS; i++) {
            start(i);
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            int node = i;
            if (!await(20, () -> Web.call(serveOn.get(node), "GET", "/ready", null, 1_000).status() == 200)) {
                Record.line("rig-%d is not ready", i);
                return false;
            }
        }
        return await(10, () -> leader() >= 0);
    }

    /** The number of the controller that the state service names as the leader; negative where there is none. */
    int leader() {
        Object leader = state.value("lr/leader");
        return leader == null
                ? -1
                : Integer.parseInt(((String) Json.map(leader).get("host")).substring("rig-".length()));
    }

    interface Condition {
        boolean holds();
    }

    static boolean await(double seconds, Condition condition) {
        double until = Record.now() + seconds;
        while (Record.now() < until) {
            if (condition.holds()) {
                return true;
            }
            pause(0.05);
        }
        return condition.holds();
    }

    static void pause(double seconds) {
        try {
            Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** How often a task has started. */
    int starts(String task) {
        return starts.getOrDefault(task, 0);
    }

    /** A job as users describe it; pairs replace or add fields. */
    static Map<String, Object> job(String id, String lane, String crew, int takes, double cpus, double memoryGb,
            double runtimeS, Object... pairs) {
        Map<String, Object> job = Json.of(
                "id", id, "lane", lane, "crew", crew, "shape", "sweep", "urgency", "normal", "takes", takes,
                "cpus", cpus, "cards", 0.0, "memoryGb", memoryGb, "reel", "img-" + lane, "sizeGb", 0.2,
                "rigs", null, "yard", null, "oneZone", false, "scatter", false, "standby", false,
                "runtimeS", runtimeS, "savepointS", 0.0, "flushS", 0.0, "airtimeS", null);
        job.putAll(Json.of(pairs));
        return job;
    }

    /** Submits a job as a user does: again after a second or more, for up to a minute. True once it is accepted. */
    boolean submit(int node, Map<String, Object> job) {
        String id = (String) job.get("id");
        submitted.put(id, job);
        double until = Record.now() + 60;
        for (int i = node; Record.now() < until; i++) {
            Web.Reply reply = Web.call(serveOn.get(i % CONTROLLERS), "POST", "/api/jobs", job, 5_000);
            if (reply.status() == 201 || reply.status() == 200) {
                Record.line("submit %s: %d %s", id, reply.status(), reply.body());
                return true;
            }
            if (reply.status() == 400 || reply.status() == 422) {
                Record.line("submit %s: %d %s", id, reply.status(), reply.body());
                return false;
            }
            pause(1);
        }
        return false;
    }

    /** Cancels a job as a user does; the status that is confirmed, or null. */
    String cancel(int node, String id) {
        double until = Record.now() + 60;
        for (int i = node; Record.now() < until; i++) {
            Web.Reply reply = Web.call(
                    serveOn.get(i % CONTROLLERS), "POST", "/api/jobs/" + id + "/cancel", Json.of(), 5_000);
            if (reply.status() == 200) {
                String status = (String) Json.object(reply.body()).get("status");
                Record.line("cancel %s at rig-%d: 200 %s", id, i % CONTROLLERS, reply.body());
                return status;
            }
            pause(1);
        }
        return null;
    }

    Web.Reply poll(int node, String id) {
        return Web.call(serveOn.get(node), "GET", "/api/jobs/" + id, null, 2_000);
    }

    synchronized int running(String job) {
        int count = 0;
        for (Map.Entry<String, Set<String>> task : onMachines.entrySet()) {
            if (task.getKey().startsWith(job + "/")) {
                count += task.getValue().size();
            }
        }
        return count;
    }

    /** Processors that tasks of a team take. */
    synchronized double usedCpus(String crew) {
        double used = 0;
        for (Map.Entry<String, Set<String>> task : onMachines.entrySet()) {
            Map<String, Object> job = submitted.get(task.getKey().substring(0, task.getKey().indexOf('/')));
            if (crew.equals(job.get("crew"))) {
                used += task.getValue().size() * Json.number(job.get("cpus"));
            }
        }
        return used;
    }

    @Override
    public Map<String, Object> job(String id) {
        return submitted.get(id);
    }

    @Override
    public synchronized void tooLarge(Worker to, String what) {
        if (tooLarge.merge(to.place.id(), 1, Integer::sum) <= 5) {
            Record.line("%s gets %s", to.place.id(), what);
        }
    }

    @Override
    public synchronized void started(String task, Worker on) {
        Set<String> machines = onMachines.computeIfAbsent(task, key -> new HashSet<>());
        machines.add(on.place.id());
        firstStart.putIfAbsent(task, Record.now());
        starts.merge(task, 1, Integer::sum);
        Record.line("%s starts on %s in %s", task, on.place.id(), on.place.zone());
    }

    @Override
    public synchronized void gone(String task, Worker on, String why) {
        Set<String> machines = onMachines.get(task);
        if (machines != null) {
            machines.remove(on.place.id());
            if (machines.isEmpty()) {
                onMachines.remove(task);
            }
        }
        Record.line("%s off %s: %s", task, on.place.id(), why);
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
        for (Process process : processes) {
            try {
                if (process != null) {
                    process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("REVIEW_KEEP") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | UncheckedIOException e) {
            System.err.println("cannot delete " + folder);
        }
    }
}
