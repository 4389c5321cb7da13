package org.landingridge.wire.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.landingridge.wire.Json;

/** A request to the state service: its method, path and body, and back. */
public sealed interface StateRequest {
    /** Reads one key. */
    record Get(String key) implements StateRequest {
        @Override
        public String path() {
            return STORE + "/" + key;
        }
    }

    /**
     * Reads a page of the keys under a prefix.
     *
     * @param after the page begins after this key; null for the first page
     * @param limit how many entries the page may have
     */
    record ListKeys(String prefix, String after, int limit) implements StateRequest {
        private static final String DEFAULT_LIMIT = "1000";

        @Override
        public String path() {
            return STORE + "?" + StateFields.PREFIX + "=" + prefix
                    + (after == null ? "" : "&" + StateFields.AFTER + "=" + after)
                    + "&" + StateFields.LIMIT + "=" + limit;
        }

        private static ListKeys read(Map<String, String> query) {
            return new ListKeys(
                    query.get(StateFields.PREFIX),
                    query.get(StateFields.AFTER),
                    Integer.parseInt(query.getOrDefault(StateFields.LIMIT, DEFAULT_LIMIT)));
        }
    }

    /**
     * Waits for changes under a prefix.
     *
     * @param after  the revision after which changes are asked for
     * @param waitMs how long to wait for one, in milliseconds; 0 does not wait
     */
    record Watch(String prefix, long after, long waitMs) implements StateRequest {
        @Override
        public String path() {
            return WATCH + "?" + StateFields.PREFIX + "=" + prefix + "&" + StateFields.AFTER + "=" + after + "&"
                    + StateFields.WAIT_MS + "=" + waitMs;
        }

        private static Watch read(Map<String, String> query) {
            return new Watch(
                    query.get(StateFields.PREFIX),
                    Long.parseLong(query.get(StateFields.AFTER)),
                    Long.parseLong(query.getOrDefault(StateFields.WAIT_MS, "0")));
        }
    }

    /** Carries out a transaction. */
    record Commit(StateTransaction transaction) implements StateRequest {
        @Override
        public String method() {
            return POST;
        }

        @Override
        public String path() {
            return COMMIT;
        }

        @Override
        public Optional<JsonNode> body() {
            return Optional.of(transaction.toJson());
        }
    }

    /** Asks for a lease of so many milliseconds. */
    record GrantLease(long durationMs) implements StateRequest {
        @Override
        public String method() {
            return POST;
        }

        @Override
        public String path() {
            return LEASES;
        }

        @Override
        public Optional<JsonNode> body() {
            return Optional.of(Json.object().put(StateFields.LEASE_MS, durationMs));
        }
    }

    /** Gives a lease its full time again. */
    record RenewLease(long lease) implements StateRequest {
        @Override
        public String method() {
            return POST;
        }

        @Override
        public String path() {
            return LEASES + "/" + lease + "/renew";
        }

        @Override
        public Optional<JsonNode> body() {
            return Optional.of(Json.object());
        }
    }

    /** Ends a lease at once. */
    record ReleaseLease(long lease) implements StateRequest {
        @Override
        public String method() {
            return DELETE;
        }

        @Override
        public String path() {
            return LEASES + "/" + lease;
        }
    }

    /** Methods and paths. */
    String GET = "GET";

    String POST = "POST";
    String DELETE = "DELETE";
    String STORE = "/store";
    String WATCH = "/watch";
    String COMMIT = "/commit";
    String LEASES = "/holds";

    /** The method of HTTP. */
    default String method() {
        return GET;
    }

    /** Path and query. */
    String path();

    /** The body, where the request has one. */
    default Optional<JsonNode> body() {
        return Optional.empty();
    }

    /**
     * Reads a request.
     *
     * @param path  without the query
     * @param query empty where there is none
     * @param body  an empty object where there is none
     * @return empty where the service has no such request
     */
    static Optional<StateRequest> read(String method, String path, String query, JsonNode body) {
        return Optional.ofNullable(readOrNull(method, path, query, body));
    }

    private static StateRequest readOrNull(String method, String path, String query, JsonNode body) {
        return switch (path) {
            case WATCH -> Watch.read(parameters(query));
            case STORE -> ListKeys.read(parameters(query));
            case COMMIT -> new Commit(StateTransaction.read(body));
            case LEASES -> new GrantLease(body.get(StateFields.LEASE_MS).longValue());
            default -> {
                if (path.startsWith(STORE + "/")) {
                    yield new Get(path.substring(STORE.length() + 1));
                }
                yield path.startsWith(LEASES + "/") ? ofLease(method, path) : null;
            }
        };
    }

    private static StateRequest ofLease(String method, String path) {
        long lease = Long.parseLong(path.split("/", -1)[2]);
        return method.equals(DELETE) ? new ReleaseLease(lease) : new RenewLease(lease);
    }

    private static Map<String, String> parameters(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String part : query.isEmpty() ? new String[0] : query.split("&")) {
            int equals = part.indexOf('=');
            parameters.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return parameters;
    }
}
