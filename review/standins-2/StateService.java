import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The state service as PROTOCOL describes it, with a door of its own for each controller. */
final class StateService {
    private record Entry(Object value, long version, long lease) {}

    private record Change(String key, Object value, long version) {}

    private static final class Lease {
        long lifeMs;
        long endsAt;
    }

    /** A token bucket of one second's worth. */
    private static final class Bucket {
        final double perS;
        double tokens;
        long at = System.nanoTime();

        Bucket(double perS) {
            this.perS = perS;
            tokens = perS;
        }

        boolean take(double count) {
            long now = System.nanoTime();
            tokens = Math.min(perS, tokens + (now - at) / 1e9 * perS);
            at = now;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Bucket requests;
    private final Bucket writes;
    private long revision;
    private long lastLease;

    StateService(double rps, double writeRps) {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        Web.THREADS.execute(this::expireLeases);
    }

    /** The doors at which every request is refused with 503; watches that are open wait. */
    final Set<Integer> refused = ConcurrentHashMap.newKeySet();
    private int doors;

    /** Opens the next door; a controller is told this address. */
    String door() throws IOException {
        int door = doors++;
        HttpServer server = Web.serve((method, path, query, body) -> {
            if (refused.contains(door)) {
                return new Web.Reply(503, Json.of("error", "trouble"));
            }
            Web.Reply reply = handle(method, path, query, body);
            while (path.equals("/watch") && refused.contains(door)) {
                Cases.sleep(0.02);
            }
            return reply;
        });
        return Web.address(server);
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.currentTimeMillis();
                leases.entrySet().removeIf(lease -> {
                    if (lease.getValue().endsAt < now) {
                        endLease(lease.getKey());
                        return true;
                    }
                    return false;
                });
            }
            Cases.sleep(0.02);
        }
    }

    private void endLease(long id) {
        List<String> attached = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.lease == id) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            revision++;
            attached.forEach(key -> {
                entries.remove(key);
                changes.add(new Change(key, null, revision));
            });
            notifyAll();
        }
    }

    private Web.Reply handle(String method, String path, Map<String, String> query, String body) throws Exception {
        synchronized (this) {
            if (!requests.take(1)) {
                return new Web.Reply(429, Json.of("error", "too many requests"));
            }
        }
        if (path.equals("/watch")) {
            return watch(query);
        }
        synchronized (this) {
            if (path.startsWith("/store/")) {
                return get(path.substring("/store/".length()));
            }
            if (path.equals("/store")) {
                return list(query);
            }
            if (path.equals("/commit")) {
                return commit(Json.object(body));
            }
            if (path.equals("/holds")) {
                Lease lease = new Lease();
                lease.lifeMs = Json.integer(Json.object(body).get("lifeMs"), 0);
                lease.endsAt = System.currentTimeMillis() + lease.lifeMs + 20;
                leases.put(++lastLease, lease);
                return new Web.Reply(200, Json.of("permit", lastLease));
            }
            if (path.startsWith("/holds/")) {
                String[] parts = path.split("/");
                long id = Long.parseLong(parts[2]);
                Lease lease = leases.get(id);
                if (lease == null) {
                    return new Web.Reply(404, Json.of("error", "no such lease"));
                }
                if (method.equals("DELETE")) {
                    leases.remove(id);
                    endLease(id);
                } else {
                    lease.endsAt = System.currentTimeMillis() + lease.lifeMs + 20;
                }
                return new Web.Reply(200, Json.of("permit", id));
            }
            return new Web.Reply(400, Json.of("error", "no such path"));
        }
    }

    private Web.Reply get(String key) {
        Entry entry = entries.get(key);
        return entry == null
                ? new Web.Reply(404, Json.of("edition", revision))
                : new Web.Reply(
                        200, Json.of("key", key, "data", entry.value, "stamp", entry.version, "permit", entry.lease));
    }

    private Web.Reply list(Map<String, String> query) {
        String prefix = query.get("under");
        String after = query.getOrDefault("from", "");
        long limit = Math.min(1000, Long.parseLong(query.getOrDefault("limit", "1000")));
        List<Object> found = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            Object item =
                    Json.of("key", entry.getKey(), "data", entry.getValue().value, "stamp", entry.getValue().version);
            bytes += Json.text(item).length();
            if (found.size() >= limit || bytes > 500_000) {
                more = true;
                break;
            }
            found.add(item);
        }
        return new Web.Reply(200, Json.of("entries", found, "more", more, "edition", revision));
    }

    private Web.Reply commit(Map<String, Object> transaction) {
        List<Object> changed = Json.list(transaction.get("writes"));
        if (!writes.take(changed.size())) {
            return new Web.Reply(429, Json.of("error", "too many changes"));
        }
        for (Object write : changed) {
            long lease = Json.integer(Json.object(write).get("permit"), 0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Web.Reply(400, Json.of("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object guard : Json.list(transaction.get("guards"))) {
            String key = (String) Json.object(guard).get("key");
            Entry entry = entries.get(key);
            if ((entry == null ? 0 : entry.version) != Json.integer(Json.object(guard).get("stamp"), 0)) {
                failed.add(key);
            }
        }
        if (!failed.isEmpty()) {
            return new Web.Reply(409, Json.of("failed", failed, "edition", revision));
        }
        if (!changed.isEmpty()) {
            revision++;
        }
        for (Object write : changed) {
            Map<String, Object> fields = Json.object(write);
            String put = (String) fields.get("write");
            if (put != null) {
                entries.put(put, new Entry(fields.get("data"), revision, Json.integer(fields.get("permit"), 0)));
                changes.add(new Change(put, fields.get("data"), revision));
            } else if (entries.remove((String) fields.get("delete")) != null) {
                changes.add(new Change((String) fields.get("delete"), null, revision));
            }
        }
        notifyAll();
        return new Web.Reply(200, Json.of("edition", revision));
    }

    private synchronized Web.Reply watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("under");
        long from = Long.parseLong(query.get("from"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("blockMs", "0"));
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).version > from; i--) {
                Change change = changes.get(i);
                if (change.key.startsWith(prefix)) {
                    events.add(
                            0,
                            change.value == null
                                    ? Json.of("delete", change.key, "stamp", change.version)
                                    : Json.of("write", change.key, "data", change.value, "stamp", change.version));
                }
            }
            long left = until - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                return new Web.Reply(200, Json.of("edition", revision, "events", events));
            }
            wait(left);
        }
    }
}
