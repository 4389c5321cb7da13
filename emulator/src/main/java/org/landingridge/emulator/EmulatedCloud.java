package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.CloudError;
import org.landingridge.wire.CloudMachine;
import org.landingridge.wire.CloudMachinePage;
import org.landingridge.wire.Json;
import org.landingridge.wire.MachineType;
import org.landingridge.wire.RentRequest;
import org.landingridge.wire.RentResponse;
import org.landingridge.wire.ReturnRequest;

/** A stand-in for the cloud: rents each booking once, lists machines with a lag, boots workers. */
public final class EmulatedCloud implements Server {
    /**
     * What the one type of machines is, and how the cloud behaves.
     *
     * @param bootMs    from the rent of a machine to the start of its worker
     * @param listLagMs how old a list usually is; one may be up to half as much older, and older than the one before
     */
    public record Offer(String type, double cpus, double memoryGb, List<String> zones, long bootMs, long listLagMs) {
        MachineType machineType() {
            return new MachineType(type, cpus, 0, memoryGb, 30, 1, 1, 0.3, bootMs / 1000.0, zones);
        }
    }

    /** The machines as they stood at one time. */
    private record Listing(long at, List<CloudMachine> machines) {}

    private static final int PAGE = 500;

    /** Runs the workers of the machines. */
    public interface Machines {
        /** Starts the machine's worker; returns the address at which it takes commands. */
        String boot(Box box);

        /** Ends the worker of a machine that was returned or taken. */
        void kill(Box box);
    }

    /** A rented machine. */
    public final class Box {
        /** Its name, which is never used again. */
        public final String id;

        public final String zone;
        public final boolean spot;
        private final long rentedAt;
        /** Null until it has booted. */
        private String addr;

        /** It was returned or taken. */
        public boolean deleted;

        Box(String id, String zone, boolean spot) {
            this.id = id;
            this.zone = zone;
            this.spot = spot;
            this.rentedAt = loop.now();
        }

        /** Its zone and whether it is a spot instance, as the ground truth names them. */
        public String pool() {
            return zone + (spot ? "/spot" : "/ordinary");
        }

        private CloudMachine listed() {
            return new CloudMachine(
                    id,
                    addr,
                    offer.type(),
                    zone,
                    spot,
                    addr == null ? "booting" : "running",
                    (loop.now() - rentedAt) / 1000.0);
        }
    }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final Offer offer;
    private final Machines machines;
    private final GroundTruth truth;
    /** Names of the machines rented, by booking. */
    private final Map<String, List<String>> bookings = new HashMap<>();
    /** All machines that were ever rented, by name. */
    public final TreeMap<String, Box> boxes = new TreeMap<>();

    private final List<Listing> listings = new ArrayList<>();
    /** Requests by booking: a booking must never be used for another one. */
    private final Map<String, RentRequest> requests = new HashMap<>();
    /** Most spot instances at a time, and most on-demand ones. */
    public int capacity = 20;

    /** While it is set, every call is answered 503. */
    public boolean trouble;
    /** From the rent of a machine to the start of its worker, for machines rented from now on. */
    public long bootMs;
    /** Share of the machines rented from now on that never come up. */
    public double neverUp;

    private int names;

    /** Begins without machines. */
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
        List<CloudMachine> all = new ArrayList<>();
        for (Box box : boxes.values()) {
            if (!box.deleted) {
                all.add(box.listed());
            }
        }
        listings.add(new Listing(loop.now(), all));
        while (listings.size() > 2 && listings.get(1).at() < loop.now() - 2 * offer.listLagMs()) {
            listings.remove(0);
        }
        loop.after(Math.max(500, offer.listLagMs() / 8), this::snapshot);
    }

    /** Rents one machine, whatever the capacity. */
    public Box rent(String zone, boolean spot) {
        Box box = new Box(String.format("m-%06d", names++), zone, spot);
        boxes.put(box.id, box);
        boolean up = neverUp <= 0 || random.nextDouble() >= neverUp;
        loop.after(bootMs, () -> {
            if (up && !box.deleted) {
                box.addr = machines.boot(box);
            }
        });
        return box;
    }

    /** Takes a machine; without effect where there is none, or it is gone already. */
    public void delete(String id) {
        Box box = boxes.get(id);
        if (box != null && !box.deleted) {
            box.deleted = true;
            if (box.addr != null) {
                machines.kill(box);
            }
        }
    }

    @Override
    public void serve(Exchange exchange) {
        if (trouble) {
            exchange.answer(503, Json.bytes(new CloudError("trouble").toJson()));
            return;
        }
        String path = exchange.path();
        if (path.equals(MachineType.PATH)) {
            exchange.answer(200, Json.bytes(MachineType.toJson(List.of(offer.machineType()))));
        } else if (path.equals(RentRequest.PATH) && exchange.method().equals("POST")) {
            serveRent(exchange);
        } else if (path.equals(ReturnRequest.PATH)) {
            serveReturn(exchange);
        } else if (path.equals(RentRequest.PATH)) {
            serveList(exchange);
        } else {
            exchange.answer(400, new byte[0]);
        }
    }

    private void serveRent(Exchange exchange) {
        JsonNode call = Json.parse(exchange.body());
        String booking = RentRequest.key(call);
        RentRequest request = RentRequest.parse(call);
        RentRequest earlier = requests.putIfAbsent(booking, request);
        if (earlier != null && !earlier.equals(request)) {
            truth.misused("one booking with two requests: " + booking);
        }
        List<String> rented = bookings.get(booking);
        boolean repeated = rented != null;
        if (!repeated) {
            rented = carryOut(request);
            if (rented.isEmpty()) {
                exchange.answer(503, Json.bytes(CloudError.noCapacity().toJson()));
                return;
            }
            bookings.put(booking, rented);
        }
        rented.forEach(id ->
                truth.ordered(GroundTruth.Order.RENT, id, null, boxes.get(id).pool(), repeated));
        exchange.answer(200, Json.bytes(new RentResponse(rented).toJson()));
    }

    /** Rents as many machines as the capacity permits; returns their names. */
    private List<String> carryOut(RentRequest request) {
        long used = boxes.values().stream()
                .filter(box -> !box.deleted && box.spot == request.spot())
                .count();
        long count = Math.min(request.count(), capacity - used);
        List<String> rented = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            rented.add(rent(request.zone(), request.spot()).id);
        }
        return rented;
    }

    private void serveReturn(Exchange exchange) {
        for (String id : ReturnRequest.parse(Json.parse(exchange.body())).machines()) {
            Box box = boxes.get(id);
            if (box != null) {
                truth.ordered(GroundTruth.Order.GIVE_BACK, box.id, null, box.pool(), box.deleted);
            }
            delete(id);
        }
        exchange.answer(200, Json.bytes(Json.object()));
    }

    private void serveList(Exchange exchange) {
        long asOf = loop.now() - offer.listLagMs() / 2 - random.nextInt((int) offer.listLagMs());
        List<CloudMachine> listed = List.of();
        for (Listing listing : listings) {
            if (listing.at() <= asOf) {
                listed = listing.machines();
            }
        }
        exchange.answer(200, Json.bytes(page(listed, exchange.query()).toJson()));
    }

    private static CloudMachinePage page(List<CloudMachine> listed, String query) {
        String from = "";
        int limit = PAGE;
        for (String part : query.split("&")) {
            if (part.startsWith("from=")) {
                from = part.substring("from=".length());
            } else if (part.startsWith("limit=")) {
                limit = Math.min(PAGE, Integer.parseInt(part.substring("limit=".length())));
            }
        }
        List<CloudMachine> rows = new ArrayList<>();
        for (CloudMachine machine : listed) {
            if (machine.id().compareTo(from) > 0) {
                if (rows.size() == limit) {
                    return new CloudMachinePage(rows, true);
                }
                rows.add(machine);
            }
        }
        return new CloudMachinePage(rows, false);
    }
}
