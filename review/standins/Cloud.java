package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/** A stand-in for the cloud: a fixed number of machines in each pool, lists that lag, bookings that rent once. */
final class Cloud {
    private static final class Box {
        String id;
        String zone;
        boolean spot;
        long rentedAt;
        Worker worker;
    }

    private record Listing(long at, List<Object> boxes) {}

    private final String type;
    private final double cpus;
    private final double memoryGb;
    private final List<String> zones;
    private final long bootMs;
    private final long listLagMs;
    /** Machines that a pool can still give, by zone and kind. */
    private final Map<String, Integer> left = new HashMap<>();

    private final Map<String, List<Object>> bookings = new HashMap<>();
    private final TreeMap<String, Box> boxes = new TreeMap<>();
    private final List<Listing> listings = new ArrayList<>();
    private Function<Cloud.Place, Worker> boot;
    private int names = 230;

    final String address;

    /** Where a machine stands. */
    record Place(String id, String zone, boolean spot) {}

    Cloud(String type, double cpus, double memoryGb, List<String> zones, long bootMs, long listLagMs)
            throws IOException {
        this.type = type;
        this.cpus = cpus;
        this.memoryGb = memoryGb;
        this.zones = zones;
        this.bootMs = bootMs;
        this.listLagMs = listLagMs;
        int port = Web.freePort();
        address = Web.HOST + ":" + port;
        Web.serve(port, this::serve);
        Thread snapshots = new Thread(this::snapshots);
        snapshots.setDaemon(true);
        snapshots.start();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    void boots(Function<Cloud.Place, Worker> how) {
        boot = how;
    }

    synchronized void capacity(String zone, boolean spot, int machines) {
        left.put(zone + spot, machines);
    }

    /** A machine that is up before the controllers are. */
    synchronized Worker standing(String zone) {
        Box box = add(zone, false);
        box.worker = boot.apply(new Place(box.id, box.zone, box.spot));
        return box.worker;
    }

    private Box add(String zone, boolean spot) {
        Box box = new Box();
        box.id = String.format("m-%06d", ++names);
        box.zone = zone;
        box.spot = spot;
        box.rentedAt = now();
        boxes.put(box.id, box);
        return box;
    }

    private void snapshots() {
        while (true) {
            synchronized (this) {
                List<Object> all = new ArrayList<>();
                for (Box box : boxes.values()) {
                    Map<String, Object> row = Json.of(
                            "id", box.id, "rig", type, "yard", box.zone, "standby", box.spot, "status",
                            box.worker == null ? "booting" : box.worker.stoppedFor(30_000) ? "failed" : "running",
                            "heldS", (now() - box.rentedAt) / 1000.0);
                    if (box.worker != null) {
                        row.put("addr", box.worker.address);
                    }
                    all.add(row);
                }
                listings.add(new Listing(now(), all));
                while (listings.size() > 2 && listings.get(1).at < now() - 2 * listLagMs) {
                    listings.remove(0);
                }
            }
            try {
                Thread.sleep(500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized Web.Reply serve(Web.Call call) {
        if (call.path().equals("/machine_types")) {
            return Web.Reply.of(
                    200,
                    Json.of(
                            "rigs",
                            List.of(Json.of(
                                    "name", type, "cpus", cpus, "cards", 0, "memoryGb", memoryGb, "localGb", 30,
                                    "fetchGbPerS", 0.6, "hourly", 0.25, "spotPrice", 0.08, "startupS",
                                    bootMs / 1000.0, "yards", zones))));
        }
        if (call.path().equals("/hosts/return")) {
            for (Object id : Json.list(Json.object(call.body()).get("boxes"))) {
                Box box = boxes.remove((String) id);
                if (box != null) {
                    Record.line("cloud: %s returned", id);
                    boolean lost = box.worker != null && box.worker.stoppedFor(0);
                    if (!lost) {
                        // Another machine can be rented in its place; a machine that has stopped on its own is lost.
                        left.merge(box.zone + box.spot, 1, Integer::sum);
                    }
                    if (box.worker != null) {
                        box.worker.stop();
                    }
                }
            }
            return Web.Reply.of(200, Json.of());
        }
        if (call.path().equals("/hosts") && call.method().equals("POST")) {
            return rent(Json.object(call.body()));
        }
        if (call.path().equals("/hosts")) {
            return list(call.parameters());
        }
        return Web.Reply.of(400, Json.of("error", "malformed"));
    }

    private Web.Reply rent(Map<String, Object> request) {
        String booking = (String) request.get("booking");
        List<Object> rented = bookings.get(booking);
        if (rented == null) {
            String zone = (String) request.get("yard");
            boolean spot = Boolean.TRUE.equals(request.get("standby"));
            int available = left.getOrDefault(zone + spot, 0);
            int count = (int) Math.min(available, Json.integer(request.get("count")));
            if (count == 0) {
                return Web.Reply.of(503, Json.of("error", "no capacity"));
            }
            left.put(zone + spot, available - count);
            rented = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Box box = add(zone, spot);
                rented.add(box.id);
                Web.background(() -> bootLater(box));
            }
            bookings.put(booking, rented);
            Record.line("cloud: %s rents %s in %s", booking, rented, zone);
        }
        return Web.Reply.of(200, Json.of("boxes", rented));
    }

    private void bootLater(Box box) {
        try {
            Thread.sleep(bootMs);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            if (boxes.containsKey(box.id)) {
                box.worker = boot.apply(new Place(box.id, box.zone, box.spot));
            }
        }
    }

    private Web.Reply list(Map<String, String> parameters) {
        List<Object> listed = List.of();
        for (Listing listing : listings) {
            if (listing.at <= now() - listLagMs) {
                listed = listing.boxes;
            }
        }
        String from = parameters.getOrDefault("from", "");
        int limit = Integer.parseInt(parameters.getOrDefault("limit", "500"));
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Object row : listed) {
            if (((String) Json.map(row).get("id")).compareTo(from) > 0) {
                if (rows.size() == limit) {
                    more = true;
                    break;
                }
                rows.add(row);
            }
        }
        return Web.Reply.of(200, Json.of("boxes", rows, "more", more));
    }
}
