package org.landingridge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.Json;

/** A stand-in for the state service, written from its protocol. */
final class StateService implements Sim.Server {
    private record Entry(JsonNode value, long version, long lease) {}

    private record Change(long revision, String key, JsonNode value) {}

    private record Watch(String prefix, long after, Exchange exchange) {}

    private final Sim sim;
    private final Sim.Host host;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<Long, Long> leases = new HashMap<>();
    private final Map<Long, Long> lives = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long nextLease;
    boolean outage;
    /** Clients for which the service answers 503, while the others are served. */
    final Set<String> refused = new HashSet<>();
    int tooLarge;
    /** The most requests, and puts and deletes, in any second. */
    int mostRequests;
    int mostWrites;
    private int requests;
    private int writes;
    /** Requests, and puts and deletes, a second; 0 for no limit. Beyond them, and a second's worth of burst: 429. */
    double rps;
    double writeRps;
    int tooMany;
    private double requestsLeft;
    private double writesLeft;
    private long refilled;

    StateService(Sim sim, Sim.Host host) {
        this.sim = sim;
        this.host = host;
        expire();
        count();
    }

    private void count() {
        mostRequests = Math.max(mostRequests, requests);
        mostWrites = Math.max(mostWrites, writes);
        requests = 0;
        writes = 0;
        host.after(1_000, this::count);
    }

    JsonNode value(String key) {
        Entry e = keys.get(key);
        return e == null ? null : e.value;
    }

    void outage(boolean on) {
        outage = on;
        if (!on) {
            lives.forEach((lease, life) -> leases.put(lease, sim.now + life));
            wake();
        }
    }

    private void expire() {
        if (!outage) {
            for (Long lease : new ArrayList<>(leases.keySet())) {
                if (leases.get(lease) <= sim.now) {
                    end(lease);
                }
            }
        }
        host.after(20, this::expire);
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
        if (value == null) {
            keys.remove(key);
        } else {
            keys.put(key, new Entry(value, revision, lease));
        }
        log.add(new Change(revision, key, value));
    }

    private void wake() {
        if (outage) {
            return;
        }
        for (Watch w : new ArrayList<>(watches)) {
            if (events(w.prefix, w.after).size() > 0) {
                watches.remove(w);
                answer(w);
            }
        }
    }

    private ArrayNode events(String prefix, long after) {
        ArrayNode all = Json.array();
        for (Change c : log) {
            if (c.revision > after && c.key.startsWith(prefix)) {
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

    private void answer(Watch w) {
        ObjectNode n = Json.object().put("edition", revision);
        n.set("events", events(w.prefix, w.after));
        w.exchange.answer(200, Json.bytes(n));
    }

    /** A view of the service for one client, which may be refused alone. */
    Sim.Server as(String client) {
        return exchange -> {
            if (refused.contains(client)) {
                exchange.answer(503, new byte[0]);
            } else {
                serve(exchange);
            }
        };
    }

    @Override
    public void serve(Exchange x) {
        requests++;
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
        int q = path.indexOf('?');
        if (q >= 0) {
            for (String part : path.substring(q + 1).split("&")) {
                int eq = part.indexOf('=');
                query.put(part.substring(0, eq), part.substring(eq + 1));
            }
            path = path.substring(0, q);
        }
        JsonNode body = x.body().length == 0 ? Json.object() : Json.parse(x.body());
        if (path.equals("/watch")) {
            Watch w = new Watch(query.get("under"), Long.parseLong(query.get("from")), x);
            long wait = Long.parseLong(query.getOrDefault("blockMs", "0"));
            if (wait == 0 || events(w.prefix, w.after).size() > 0) {
                answer(w);
            } else {
                watches.add(w);
                host.after(wait, () -> {
                    if (watches.remove(w)) {
                        answer(w);
                    }
                });
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
            commit(body, x);
        } else if (path.equals("/holds")) {
            long lease = ++nextLease;
            long life = body.get("lifeMs").longValue();
            leases.put(lease, sim.now + life);
            lives.put(lease, life);
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
                leases.put(lease, sim.now + lives.get(lease));
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
        double passed = (sim.now - refilled) / 1000.0;
        refilled = sim.now;
        requestsLeft = Math.min(rps, requestsLeft + passed * rps);
        writesLeft = Math.min(writeRps, writesLeft + passed * writeRps);
        int changes = x.path().equals("/commit") ? Json.parse(x.body()).path("writes").size() : 0;
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
        int limit = Integer.parseInt(query.getOrDefault("limit", "1000"));
        boolean more = false;
        for (Map.Entry<String, Entry> e : keys.entrySet()) {
            String from = query.get("from");
            if (e.getKey().startsWith(query.get("under")) && (from == null || e.getKey().compareTo(from) > 0)) {
                if (entries.size() == limit) {
                    more = true;
                    break;
                }
                entries.addObject().put("key", e.getKey()).put("stamp", e.getValue().version)
                        .set("data", e.getValue().value);
            }
        }
        n.put("more", more).put("edition", revision);
        x.answer(200, Json.bytes(n));
    }

    private void commit(JsonNode body, Exchange x) {
        writes += body.path("writes").size();
        ArrayNode failed = Json.array();
        for (JsonNode g : body.path("guards")) {
            Entry e = keys.get(g.get("key").textValue());
            if ((e == null ? 0 : e.version) != g.get("stamp").longValue()) {
                failed.add(g.get("key"));
            }
        }
        for (JsonNode w : body.path("writes")) {
            if (w.has("permit") && !leases.containsKey(w.get("permit").longValue())) {
                x.answer(400, new byte[0]);
                return;
            }
            if (w.has("data") && w.get("data").toString().length() > 4096) {
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
                change(w.get("write").textValue(), w.get("data"), w.has("permit") ? w.get("permit").longValue() : 0);
            }
        }
        x.answer(200, Json.bytes(Json.object().put("edition", revision)));
        wake();
    }
}
