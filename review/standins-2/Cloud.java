import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud as PROTOCOL describes it, with one machine type. Machines have workers on loopback ports. */
final class Cloud {
    private final Cases.Setup setup;
    final TreeMap<String, Worker> machines = new TreeMap<>();
    /** How many machines are left of a pool, by ZONE/spot or ZONE/ordinary. */
    final Map<String, Integer> capacity = new HashMap<>();
    private final Map<String, List<Object>> bookings = new HashMap<>();
    private int lastMachine = 100;
    String address;
    /** Runs when machines are to be returned, before they are gone. */
    volatile Runnable onReturn = () -> {};

    Cloud(Cases.Setup setup) throws IOException {
        this.setup = setup;
        address = Web.address(Web.serve(this::handle));
    }

    static String pool(String zone, boolean spot) {
        return zone + (spot ? "/spot" : "/ordinary");
    }

    /** Adds a machine that is up already. */
    synchronized Worker add(String zone, boolean spot) throws IOException {
        String id = String.format("m-%06d", ++lastMachine);
        Worker worker = new Worker(setup, id, zone, spot);
        machines.put(id, worker);
        return worker;
    }

    private Web.Reply handle(String method, String path, Map<String, String> query, String body) throws Exception {
        switch (path) {
            case "/machine_types":
                return new Web.Reply(
                        200,
                        Json.of(
                                "rigs",
                                List.of(Json.of(
                                        "name",
                                        Cases.TYPE,
                                        "cpus",
                                        4,
                                        "cards",
                                        0,
                                        "memoryGb",
                                        8,
                                        "localGb",
                                        30,
                                        "fetchGbPerS",
                                        0.6,
                                        "hourly",
                                        0.25,
                                        "spotPrice",
                                        0.08,
                                        "startupS",
                                        setup.bootS,
                                        "yards",
                                        setup.zones))));
            case "/hosts":
                return method.equals("POST") ? rent(Json.object(body)) : list(query);
            case "/hosts/return":
                return giveBack(Json.object(body));
            default:
                return new Web.Reply(400, Json.of("error", "no such path"));
        }
    }

    private synchronized Web.Reply rent(Map<String, Object> request) throws IOException {
        String booking = (String) request.get("booking");
        if (bookings.containsKey(booking)) {
            return new Web.Reply(200, Json.of("boxes", bookings.get(booking)));
        }
        String zone = (String) request.get("yard");
        boolean spot = Boolean.TRUE.equals(request.get("standby"));
        int left = capacity.getOrDefault(pool(zone, spot), 0);
        int count = (int) Math.min(left, Json.integer(request.get("count"), 0));
        Rec.log("cloud: asked for %s machines in %s, gives %d", request.get("count"), pool(zone, spot), count);
        if (count == 0) {
            return new Web.Reply(503, Json.of("error", "no capacity"));
        }
        capacity.put(pool(zone, spot), left - count);
        List<Object> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Worker worker = add(zone, spot);
            ids.add(worker.id);
            Web.THREADS.execute(() -> {
                Cases.sleep(setup.bootS);
                worker.boot();
            });
        }
        bookings.put(booking, ids);
        return new Web.Reply(200, Json.of("boxes", ids));
    }

    private Web.Reply giveBack(Map<String, Object> request) {
        onReturn.run();
        Cases.sleep(0.06);
        synchronized (this) {
            for (Object id : Json.list(request.get("boxes"))) {
                Worker worker = machines.remove((String) id);
                if (worker != null) {
                    Rec.log("cloud: %s is returned and gone", id);
                    worker.end();
                    capacity.merge(pool(worker.zone, worker.spot), 1, Integer::sum);
                }
            }
        }
        Cases.sleep(0.06);
        return new Web.Reply(200, Json.of());
    }

    private synchronized Web.Reply list(Map<String, String> query) {
        String after = query.getOrDefault("from", "");
        List<Object> found = new ArrayList<>();
        for (Worker worker : machines.tailMap(after, false).values()) {
            if (worker.ageS() > setup.listLagS) {
                found.add(Json.of(
                        "id",
                        worker.id,
                        "addr",
                        worker.address,
                        "rig",
                        Cases.TYPE,
                        "yard",
                        worker.zone,
                        "standby",
                        worker.spot,
                        "status",
                        worker.isUp() ? "running" : "booting",
                        "heldS",
                        worker.ageS()));
            }
        }
        return new Web.Reply(200, Json.of("boxes", found, "more", false));
    }
}
