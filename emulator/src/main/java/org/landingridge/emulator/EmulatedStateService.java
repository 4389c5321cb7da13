package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.Json;

/** A stand-in for the state service, written from its protocol. */
public final class EmulatedStateService implements Server {
    /** An answer holds no more entries, and no more bytes, than this. */
    private static final int PAGE_ENTRIES = 1_000;

    private static final int PAGE_BYTES = 512 * 1024;
    private static final int LATE_MS = 2_000;
    private static final int LATEST_MS = 12_000;

    /** A value with the revision of its last change and the lease that it is bound to, 0 for none. */
    public record Entry(JsonNode value, long version, long lease) {}

    /** Who gave up on a transaction before it was carried out. */
    private static final Exchange NOBODY = new Exchange() {
        @Override
        public String method() {
            return "POST";
        }

        @Override
        public String path() {
            return "/commit";
        }

        @Override
        public byte[] body() {
            return new byte[0];
        }

        @Override
        public void answer(int status, byte[] json, int retryAfterS) {}
    };

    private record Change(long revision, String key, JsonNode value) {}

    private record Watch(String client, String prefix, long after, Exchange exchange) {}

    private final EventLoop loop;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<Long, Long> leases = new HashMap<>();
    private final Map<Long, Long> lives = new HashMap<>();
    /** Open watches, with the timers that end them. */
    private final Map<Watch, EventLoop.Timer> watches = new LinkedHashMap<>();

    private final FileStore shelf;
    private long revision;
    private long nextLease;
    /** Changes up to this revision are forgotten: a watch from before it is too old. */
    private long forgotten;

    private boolean outage;
    /** Clients for which the service answers 503, while the others are served; their open watches wait. */
    private final Set<String> refused = new HashSet<>();
    /** Clients whose watches get no answer, while all else of theirs is served. */
    public final Set<String> unread = new HashSet<>();
    /** The client whose request is served now; null where nobody asked by name. */
    private String asking;
    /** Values larger than {@link #valueBytes}, and transactions larger than {@link #txnOps}, that were sent. */
    public int tooLarge;
    /** The most requests, and puts and deletes, in any second. */
    public int mostRequests;

    public int mostWrites;
    /** Requests so far, by client. */
    public final Map<String, Integer> requestsOf = new HashMap<>();

    private int requests;
    private volatile int allRequests;
    private int writes;
    private int lastWrites;
    /** Requests, and puts and deletes, a second; 0 for no limit. Beyond them, and a second's worth of burst: 429. */
    public double rps;

    public double writeRps;
    public int tooMany;
    public int valueBytes = 4096;
    /** Puts and deletes to a transaction, and a quarter of its conditions. */
    public int txnOps = 8;
    /** So many changes are kept for watches. */
    public int keptChanges = 10_000;
    /** Share of transactions that get no answer; whether they are carried out at once or later, after newer ones; by whose chance. */
    private double lateWrites;

    private boolean atOnce;
    private RandomGenerator random;
    /** Conditions on keys under these prefixes are taken to hold: to see what breaks without them. */
    public final Set<String> blindTo = new HashSet<>();

    private double requestsLeft;
    private double writesLeft;
    private long refilled;

    public EmulatedStateService(EventLoop loop) {
        this(loop, null);
    }

    /** @param shelf where everything is kept beyond this process, or null */
    public EmulatedStateService(EventLoop loop, FileStore shelf) {
        this.loop = loop;
        this.shelf = shelf;
        if (shelf != null) {
            revision = shelf.load(keys);
            forgotten = revision;
            // Leases that were open when the service ended have their full time again.
            keys.values().stream().filter(e -> e.lease != 0).forEach(e -> {
                leases.put(e.lease, loop.now() + shelf.life(e.lease));
                lives.put(e.lease, shelf.life(e.lease));
                nextLease = Math.max(nextLease, e.lease);
            });
        }
        expire();
        count();
    }

    private void count() {
        mostRequests = Math.max(mostRequests, requests);
        mostWrites = Math.max(mostWrites, writes);
        requests = 0;
        lastWrites = writes;
        writes = 0;
        loop.after(1_000, this::count);
    }

    public JsonNode value(String key) {
        Entry e = keys.get(key);
        return e == null ? null : e.value;
    }

    /** Requests so far. */
    public int requests() {
        return allRequests;
    }

    /** Puts and deletes in the last whole second. */
    public int lastWrites() {
        return lastWrites;
    }

    /** Ends all watches without an answer, as the death of those who watch would. */
    public void dropWatches() {
        watches.values().forEach(EventLoop.Timer::cancel);
        watches.clear();
    }

    /** Keys with a prefix, in order. */
    public List<String> keys(String prefix) {
        return List.copyOf(keys.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
    }

    /** Puts a value as it would stand after a change of its own, with no watch told: what was there before a history. */
    public void seed(String key, JsonNode value) {
        keys.put(key, new Entry(value, ++revision, 0));
        forgotten = revision;
    }

    public boolean outage() {
        return outage;
    }

    public void outage(boolean on) {
        outage = on;
        if (!on) {
            lives.forEach((lease, life) -> leases.put(lease, loop.now() + life));
            wake();
        }
    }

    /** From now on so large a share of transactions gets no answer, and is carried out 2 to 12 s later; 0 ends it. */
    public void lateWrites(double share, RandomGenerator chance) {
        unanswered(share, false, chance);
    }

    /** The same where they are carried out at once, and others read what they wrote. */
    public void lostAnswers(double share, RandomGenerator chance) {
        unanswered(share, true, chance);
    }

    private void unanswered(double share, boolean carriedOutAtOnce, RandomGenerator chance) {
        lateWrites = share;
        atOnce = carriedOutAtOnce;
        random = chance;
    }

    /** Refuses one client alone, or serves it again. */
    public void refuse(String client, boolean on) {
        if (on) {
            refused.add(client);
        } else if (refused.remove(client)) {
            wake();
        }
    }

    private void expire() {
        if (!outage) {
            for (Long lease : new ArrayList<>(leases.keySet())) {
                if (leases.get(lease) <= loop.now()) {
                    end(lease);
                }
            }
        }
        loop.after(20, this::expire);
    }

    private void end(long lease) {
        leases.remove(lease);
        lives.remove(lease);
        List<String> gone = new ArrayList<>();
        keys.forEach((k, e) -> {
            if (e.lease == lease) {
                gone.add(k);
            }
        });
        if (!gone.isEmpty()) {
            revision++;
            gone.forEach(k -> change(k, null, 0));
            wake();
        }
    }

    private void change(String key, JsonNode value, long lease) {
        Entry entry = value == null ? null : new Entry(value, revision, lease);
        if (entry == null) {
            keys.remove(key);
        } else {
            keys.put(key, entry);
        }
        if (shelf != null) {
            shelf.changed(key, entry, revision);
        }
        log.add(new Change(revision, key, value));
        if (log.size() > 2 * keptChanges) {
            List<Change> old = log.subList(0, log.size() - keptChanges);
            forgotten = old.get(old.size() - 1).revision;
            old.clear();
        }
    }

    private void wake() {
        if (outage) {
            return;
        }
        for (Watch w : new ArrayList<>(watches.keySet())) {
            if (!refused.contains(w.client)
                    && (w.after < forgotten || !events(w.prefix, w.after).isEmpty())) {
                watches.remove(w).cancel();
                answer(w);
            }
        }
    }

    private ArrayNode events(String prefix, long after) {
        int first = log.size();
        while (first > 0 && log.get(first - 1).revision > after) {
            first--;
        }
        ArrayNode all = Json.array();
        for (Change c : log.subList(first, log.size())) {
            if (c.key.startsWith(prefix)) {
                ObjectNode e = all.addObject();
                if (c.value == null) {
                    e.put("delete", c.key);
                } else {
                    e.put("write", c.key).set("data", c.value);
                }
                e.put("stamp", c.revision);
            }
        }
        return all;
    }

    /** Keeps a watch open until its time is over; one that may not be answered then waits on. */
    private void hold(Watch w, long wait) {
        watches.put(w, loop.after(wait, () -> {
            if (outage || refused.contains(w.client)) {
                hold(w, 100);
            } else if (watches.remove(w) != null) {
                answer(w);
            }
        }));
    }

    private void answer(Watch w) {
        if (w.after < forgotten) {
            w.exchange.answer(410, Json.bytes(Json.object().put("edition", revision)));
            return;
        }
        ObjectNode n = Json.object().put("edition", revision);
        n.set("events", events(w.prefix, w.after));
        w.exchange.answer(200, Json.bytes(n));
    }

    /** The service as one client sees it. */
    public Server as(String client) {
        return x -> {
            requestsOf.merge(client, 1, Integer::sum);
            if (refused.contains(client)) {
                x.answer(503, new byte[0]);
            } else {
                asking = client;
                serve(x);
                asking = null;
            }
        };
    }

    @Override
    public void serve(Exchange x) {
        requests++;
        allRequests++;
        if (!within(x)) {
            tooMany++;
            x.answer(429, new byte[0]);
            return;
        }
        if (outage) {
            x.answer(503, new byte[0]);
            return;
        }
        String path = x.path();
        Map<String, String> query = new HashMap<>();
        for (String part : x.query().isEmpty() ? new String[0] : x.query().split("&")) {
            int eq = part.indexOf('=');
            query.put(part.substring(0, eq), part.substring(eq + 1));
        }
        JsonNode body = x.body().length == 0 ? Json.object() : Json.parse(x.body());
        if (path.equals("/watch") && unread.contains(asking)) {
            return;
        }
        if (path.equals("/watch")) {
            Watch w = new Watch(asking, query.get("under"), Long.parseLong(query.get("from")), x);
            long wait = Long.parseLong(query.getOrDefault("blockMs", "0"));
            if (wait == 0 || w.after < forgotten || !events(w.prefix, w.after).isEmpty()) {
                answer(w);
            } else {
                hold(w, wait);
            }
        } else if (path.equals("/store")) {
            list(query, x);
        } else if (path.startsWith("/store/")) {
            String key = path.substring("/store/".length());
            Entry e = keys.get(key);
            if (e == null) {
                x.answer(404, Json.bytes(Json.object().put("edition", revision)));
            } else {
                ObjectNode n = Json.object().put("key", key).put("stamp", e.version);
                n.set("data", e.value);
                x.answer(200, Json.bytes(n));
            }
        } else if (path.equals("/commit")) {
            if (lateWrites > 0 && random.nextDouble() < lateWrites) {
                loop.after(atOnce ? 0 : LATE_MS + random.nextInt(LATEST_MS - LATE_MS), () -> commit(body, NOBODY));
            } else {
                commit(body, x);
            }
        } else if (path.equals("/holds")) {
            long lease = ++nextLease;
            long life = body.get("lifeMs").longValue();
            leases.put(lease, loop.now() + life);
            lives.put(lease, life);
            if (shelf != null) {
                shelf.granted(lease, life);
                shelf.commit();
            }
            x.answer(200, Json.bytes(Json.object().put("permit", lease)));
        } else if (path.startsWith("/holds/")) {
            String[] parts = path.split("/");
            long lease = Long.parseLong(parts[2]);
            if (!leases.containsKey(lease)) {
                x.answer(404, new byte[0]);
            } else if (x.method().equals("DELETE")) {
                end(lease);
                x.answer(200, new byte[0]);
            } else {
                leases.put(lease, loop.now() + lives.get(lease));
                x.answer(200, new byte[0]);
            }
        } else {
            x.answer(400, new byte[0]);
        }
    }

    /** True if the rates allow the request; its changes count whether its conditions hold or not. */
    private boolean within(Exchange x) {
        if (rps <= 0) {
            return true;
        }
        double passed = (loop.now() - refilled) / 1000.0;
        refilled = loop.now();
        requestsLeft = Math.min(rps, requestsLeft + passed * rps);
        writesLeft = Math.min(writeRps, writesLeft + passed * writeRps);
        int changes =
                x.path().equals("/commit") ? Json.parse(x.body()).path("writes").size() : 0;
        if (requestsLeft < 1 || writesLeft < changes) {
            return false;
        }
        requestsLeft--;
        writesLeft -= changes;
        return true;
    }

    private void list(Map<String, String> query, Exchange x) {
        ObjectNode n = Json.object();
        ArrayNode entries = n.putArray("entries");
        int limit = Math.min(PAGE_ENTRIES, Integer.parseInt(query.getOrDefault("limit", "1000")));
        String prefix = query.get("under");
        String from = query.get("from");
        boolean more = false;
        int bytes = 0;
        Map<String, Entry> rest =
                from == null || from.compareTo(prefix) < 0 ? keys.tailMap(prefix, true) : keys.tailMap(from, false);
        for (Map.Entry<String, Entry> e : rest.entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (entries.size() == limit || bytes > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += e.getKey().length() + Json.bytes(e.getValue().value).length + 40;
            entries.addObject()
                    .put("key", e.getKey())
                    .put("stamp", e.getValue().version)
                    .set("data", e.getValue().value);
        }
        n.put("more", more).put("edition", revision);
        x.answer(200, Json.bytes(n));
    }

    private void commit(JsonNode body, Exchange x) {
        writes += body.path("writes").size();
        if (body.path("writes").size() > txnOps || body.path("guards").size() > 4 * txnOps) {
            tooLarge++;
            x.answer(400, Json.bytes(Json.object().put("error", "too many operations")));
            return;
        }
        ArrayNode failed = Json.array();
        for (JsonNode g : body.path("guards")) {
            String key = g.get("key").textValue();
            Entry e = keys.get(key);
            if ((e == null ? 0 : e.version) != g.get("stamp").longValue()
                    && blindTo.stream().noneMatch(key::startsWith)) {
                failed.add(g.get("key"));
            }
        }
        for (JsonNode w : body.path("writes")) {
            if (w.has("permit") && !leases.containsKey(w.get("permit").longValue())) {
                x.answer(400, Json.bytes(Json.object().put("error", "no such lease")));
                return;
            }
            if (w.has("data") && Json.bytes(w.get("data")).length > valueBytes) {
                tooLarge++;
                x.answer(400, new byte[0]);
                return;
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode n = Json.object().put("edition", revision);
            n.set("failed", failed);
            x.answer(409, Json.bytes(n));
            return;
        }
        revision++;
        for (JsonNode w : body.path("writes")) {
            if (w.has("delete")) {
                change(w.get("delete").textValue(), null, 0);
            } else {
                change(
                        w.get("write").textValue(),
                        w.get("data"),
                        w.has("permit") ? w.get("permit").longValue() : 0);
            }
        }
        if (shelf != null) {
            shelf.commit();
        }
        x.answer(200, Json.bytes(Json.object().put("edition", revision)));
        wake();
    }
}
