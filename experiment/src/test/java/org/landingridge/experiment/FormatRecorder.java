package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import org.landingridge.emulator.Simulation;
import org.landingridge.wire.Json;

/**
 * Notes the form of every message and of every stored value of a play: which fields each kind has, with the types of their
 * values, and the first values of each kind byte for byte.
 */
final class FormatRecorder implements Simulation.Observer {
    /** Values of one kind that are kept byte for byte. */
    private static final int SAMPLES = 2;

    /** By kind and path of the field: the types that were seen there. */
    private final TreeMap<String, TreeSet<String>> fields = new TreeMap<>();

    private final TreeMap<String, List<String>> samples = new TreeMap<>();
    private final TreeMap<String, JsonNode> stored = new TreeMap<>();

    /** One line a field: kind, path, types. */
    String fields() {
        StringBuilder text = new StringBuilder();
        fields.forEach((field, types) ->
                text.append(field).append('\t').append(String.join("|", types)).append('\n'));
        return text.toString();
    }

    /** One line a value: kind, and its bytes as text or, of records between controllers, in hexadecimal digits. */
    String samples() {
        StringBuilder text = new StringBuilder();
        samples.forEach((kind, all) ->
                all.forEach(s -> text.append(kind).append('\t').append(s).append('\n')));
        return text.toString();
    }

    /** What the state service holds now, one line a key. */
    String stored() {
        StringBuilder text = new StringBuilder();
        stored.forEach((key, value) ->
                text.append(key).append('\t').append(Json.text(value)).append('\n'));
        return text.toString();
    }

    @Override
    public void request(String to, String method, String path, byte[] body) {
        JsonNode json = body.length == 0 ? null : Json.parse(body);
        note("request " + general(to) + " " + method + " " + route(path), json, body);
        if (to.equals("state") && path.equals("/commit")) {
            json.get("writes").forEach(this::write);
        }
    }

    private void write(JsonNode write) {
        if (write.has("delete")) {
            stored.remove(write.get("delete").textValue());
            return;
        }
        String key = write.get("write").textValue();
        JsonNode value = write.get("data");
        stored.put(key, value);
        note("stored " + general(key), value, Json.bytes(value));
    }

    @Override
    public void answer(String to, String method, String path, int status, byte[] body) {
        JsonNode json = body.length == 0 ? null : Json.parse(body);
        // Metrics are text: names alone, since the values depend on the machine that plays.
        if (json != null || body.length == 0) {
            note("answer " + general(to) + " " + method + " " + route(path) + " " + status, json, body);
        } else {
            new String(body, StandardCharsets.UTF_8)
                    .lines()
                    .filter(l -> !l.startsWith("#"))
                    .forEach(l -> field("answer " + route(path) + "\t" + l.substring(0, l.indexOf(' ')), "metric"));
        }
    }

    @Override
    public void record(byte[] bytes) {
        sample("record " + bytes[0], HexFormat.of().formatHex(bytes));
    }

    private void note(String kind, JsonNode json, byte[] body) {
        field(kind + "\t", json == null ? "empty" : type(json));
        if (json != null) {
            walk(kind + "\t", json, general(kind).startsWith("stored"));
        }
        sample(kind, new String(body, StandardCharsets.UTF_8));
    }

    private void sample(String kind, String value) {
        if (kind.contains("/api/status")) {
            // Its incident lines are words for people.
            return;
        }
        List<String> all = samples.computeIfAbsent(kind, k -> new ArrayList<>());
        if (all.size() < SAMPLES && !all.contains(value)) {
            all.add(value);
        }
    }

    private void walk(String path, JsonNode node, boolean rows) {
        if (node.isObject()) {
            node.properties().forEach(e -> step(path + "." + general(e.getKey()), e.getValue(), rows));
        } else if (node.isArray()) {
            // The arrays of stored rows have a meaning by position.
            boolean positions = rows && path.endsWith(">");
            for (int i = 0; i < node.size(); i++) {
                step(path + "[" + (positions ? i : "") + "]", node.get(i), rows);
            }
        }
    }

    private void step(String path, JsonNode node, boolean rows) {
        field(path, type(node));
        // A stored value carried in a message is noted as what it is, once.
        if (!path.endsWith(".data") && !path.contains("\t.why")) {
            walk(path, node, rows);
        }
    }

    private void field(String path, String type) {
        fields.computeIfAbsent(path, p -> new TreeSet<>()).add(type);
    }

    private static String type(JsonNode node) {
        return switch (node.getNodeType()) {
            case OBJECT -> "object";
            case ARRAY -> "array";
            case STRING -> "text";
            case BOOLEAN -> "boolean";
            case NULL -> "null";
            default -> node.isIntegralNumber() ? "integer" : "decimal";
        };
    }

    private static String route(String path) {
        int query = path.indexOf('?');
        if (query < 0) {
            return general(path);
        }
        return general(path.substring(0, query)) + path.substring(query).replaceAll("=[^&]*", "");
    }

    /** A name without what tells one thing of a kind from the next. */
    private static String general(String name) {
        return name.replaceAll("job-\\d+(#\\d+)?", "<job>")
                .replaceAll("\\b[a-z]-[0-9]+-[0-9]+\\b", "<operation>")
                .replaceAll("\\bm-[0-9a-z]+\\b", "<machine>")
                .replaceAll("\\brig-\\d+", "<host>")
                .replaceAll("^(red|blue)$", "<team>")
                .replaceAll("\\d+", "<n>");
    }
}
