package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.Json;

/** A stand-in for the cloud: rents by booking, lists with a lag, boots workers. */
public final class EmulatedCloud implements Server {
    /** What the one type of machines is, and how the cloud behaves. */
    public record Offer(String type, double cpus, double memoryGb, List<String> zones, long bootMs, long listLagMs) {}

    private static final int PAGE = 500;

    /** What becomes of a machine that has booted, or is given back or taken. */
    public interface Machines {
        /** Starts the machine's worker; returns the address at which it takes commands. */
        String boot(Box box);

        void kill(Box box);
    }

    /** A rented machine. */
    public final class Box {
        public final String id;
        public final String zone;
        public final boolean spot;
        final long rentedAt;
        /** Null until it has booted. */
        private String addr;

        public boolean deleted;

        Box(String id, String zone, boolean spot) {
            this.id = id;
            this.zone = zone;
            this.spot = spot;
            this.rentedAt = loop.now();
        }

        public String pool() {
            return zone + (spot ? "/spot" : "/ordinary");
        }
    }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final Offer offer;
    private final Machines machines;
    private final GroundTruth truth;
    private final Map<String, List<String>> bookings = new HashMap<>();
    public final TreeMap<String, Box> boxes = new TreeMap<>();
    private final List<Map.Entry<Long, ArrayNode>> lists = new ArrayList<>();
    /** Requests by booking: a booking must never be used for another one. */
    public final Map<String, Integer> requests = new HashMap<>();
    /** Of spot machines, and of ordinary ones. */
    public int capacity = 20;

    public boolean trouble;
    public long bootMs;
    /** Share of the machines rented from now on that never come up. */
    public double neverUp;

    private int names;

    public EmulatedCloud(EventLoop loop, RandomGenerator random, Offer offer, Machines machines, GroundTruth truth) {
        this.loop = loop;
        this.random = random;
        this.offer = offer;
        this.machines = machines;
        this.truth = truth;
        bootMs = offer.bootMs();
        snapshot();
    }

    private void snapshot() {
        ArrayNode all = Json.array();
        for (Box b : boxes.values()) {
            if (!b.deleted) {
                ObjectNode n = all.addObject()
                        .put("id", b.id)
                        .put("rig", offer.type())
                        .put("yard", b.zone)
                        .put("standby", b.spot)
                        .put("status", b.addr == null ? "booting" : "running")
                        .put("heldS", (loop.now() - b.rentedAt) / 1000.0);
                if (b.addr != null) {
                    n.put("addr", b.addr);
                }
            }
        }
        lists.add(Map.entry(loop.now(), all));
        while (lists.size() > 2 && lists.get(1).getKey() < loop.now() - 2 * offer.listLagMs()) {
            lists.remove(0);
        }
        loop.after(Math.max(500, offer.listLagMs() / 8), this::snapshot);
    }

    public Box rent(String zone, boolean spot) {
        Box b = new Box(String.format("m-%06d", names++), zone, spot);
        boxes.put(b.id, b);
        boolean up = neverUp <= 0 || random.nextDouble() >= neverUp;
        loop.after(bootMs, () -> {
            if (up && !b.deleted) {
                b.addr = machines.boot(b);
            }
        });
        return b;
    }

    public void delete(String id) {
        Box b = boxes.get(id);
        if (b != null && !b.deleted) {
            b.deleted = true;
            if (b.addr != null) {
                machines.kill(b);
            }
        }
    }

    private static ObjectNode page(ArrayNode list, String query) {
        String from = "";
        int limit = PAGE;
        for (String part : query.split("&")) {
            if (part.startsWith("from=")) {
                from = part.substring("from=".length());
            } else if (part.startsWith("limit=")) {
                limit = Math.min(PAGE, Integer.parseInt(part.substring("limit=".length())));
            }
        }
        ObjectNode n = Json.object();
        ArrayNode boxes = n.putArray("boxes");
        boolean more = false;
        for (JsonNode b : list) {
            if (b.get("id").textValue().compareTo(from) > 0) {
                if (boxes.size() == limit) {
                    more = true;
                    break;
                }
                boxes.add(b);
            }
        }
        return n.put("more", more);
    }

    @Override
    public void serve(Exchange x) {
        if (trouble) {
            x.answer(503, Json.bytes(Json.object().put("error", "trouble")));
            return;
        }
        JsonNode body = x.body().length == 0 ? Json.object() : Json.parse(x.body());
        if (x.path().equals("/machine_types")) {
            ObjectNode n = Json.object();
            ObjectNode t = n.putArray("rigs").addObject();
            t.put("name", offer.type())
                    .put("cpus", offer.cpus())
                    .put("cards", 0)
                    .put("memoryGb", offer.memoryGb())
                    .put("localGb", 30)
                    .put("fetchGbPerS", 1)
                    .put("hourly", 1)
                    .put("spotPrice", 0.3)
                    .put("startupS", offer.bootMs() / 1000.0);
            offer.zones().forEach(t.putArray("yards")::add);
            x.answer(200, Json.bytes(n));
        } else if (x.path().equals("/hosts") && x.method().equals("POST")) {
            String booking = body.get("booking").textValue();
            List<String> made = bookings.get(booking);
            String request = body.toString();
            Integer seen = requests.putIfAbsent(booking, request.hashCode());
            if (seen != null && seen != request.hashCode()) {
                truth.misused("one booking with two requests: " + booking);
            }
            boolean repeated = made != null;
            if (made == null) {
                boolean spot = body.get("standby").booleanValue();
                long used = boxes.values().stream()
                        .filter(b -> !b.deleted && b.spot == spot)
                        .count();
                int count = (int) Math.min(body.get("count").intValue(), capacity - used);
                if (count <= 0) {
                    x.answer(503, Json.bytes(Json.object().put("error", "no capacity")));
                    return;
                }
                made = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    made.add(rent(
                                    body.get("yard").textValue(),
                                    body.get("standby").booleanValue())
                            .id);
                }
                bookings.put(booking, made);
            }
            made.forEach(id -> truth.ordered(
                    GroundTruth.Order.RENT, id, null, boxes.get(id).pool(), repeated));
            ObjectNode n = Json.object();
            made.forEach(n.putArray("boxes")::add);
            x.answer(200, Json.bytes(n));
        } else if (x.path().equals("/hosts/return")) {
            body.get("boxes").forEach(b -> {
                Box box = boxes.get(b.textValue());
                if (box != null) {
                    truth.ordered(GroundTruth.Order.GIVE_BACK, box.id, null, box.pool(), box.deleted);
                }
                delete(b.textValue());
            });
            x.answer(200, Json.bytes(Json.object()));
        } else if (x.path().equals("/hosts")) {
            long asOf = loop.now() - offer.listLagMs() / 2 - random.nextInt((int) offer.listLagMs());
            ArrayNode seen = Json.array();
            for (Map.Entry<Long, ArrayNode> l : lists) {
                if (l.getKey() <= asOf) {
                    seen = l.getValue();
                }
            }
            x.answer(200, Json.bytes(page(seen, x.query())));
        } else {
            x.answer(400, new byte[0]);
        }
    }
}
