package org.landingridge.controller.observability;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Tells of recoveries as structured events: key-value pairs of the log, or one JSON object a line on standard error where
 * the variable {@code LOG_EVENTS} is {@code json}.
 */
public final class EventLog {
    /**
     * Something that happened.
     *
     * @param atMs   by the loop's clock
     * @param fields numbers and texts, in the order in which they are told
     */
    public record Event(long atMs, String name, Map<String, Object> fields) {}

    private static final Logger LOG = LoggerFactory.getLogger(EventLog.class);
    private static final boolean JSON = "json".equals(System.getenv("LOG_EVENTS"));
    private final EventLoop loop;
    private Consumer<Event> listener = e -> {};

    public EventLog(EventLoop loop) {
        this.loop = loop;
    }

    /** Hears every event, instead of nobody. */
    public void listener(Consumer<Event> l) {
        listener = l;
    }

    /** @param pairs names and values in turn */
    public void emit(String name, Object... pairs) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            fields.put((String) pairs[i], pairs[i + 1]);
        }
        Event event = new Event(loop.now(), name, fields);
        listener.accept(event);
        if (JSON) {
            System.err.println(json(event));
            return;
        }
        LoggingEventBuilder line = LOG.atInfo().addKeyValue("event", name);
        for (Map.Entry<String, Object> field : fields.entrySet()) {
            line = line.addKeyValue(field.getKey(), field.getValue());
        }
        line.log("");
    }

    /** One line. */
    public static String json(Event event) {
        ObjectNode n = Json.object().put("atMs", event.atMs()).put("event", event.name());
        event.fields().forEach((key, value) -> {
            if (value instanceof Number number) {
                n.put(key, number.longValue());
            } else {
                n.put(key, String.valueOf(value));
            }
        });
        return Json.text(n);
    }
}
