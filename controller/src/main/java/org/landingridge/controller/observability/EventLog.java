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
 * Structured events of failovers and reconciliation: key-value pairs of the log, or one JSON object a line on standard error
 * where the variable {@code LOG_EVENTS} is {@code json}.
 */
public final class EventLog {
    /**
     * Something that happened.
     *
     * @param atMs   by the event loop's clock
     * @param fields numbers and texts, in the order in which they are written
     */
    public record Event(long atMs, String name, Map<String, Object> fields) {}

    private static final Logger LOG = LoggerFactory.getLogger(EventLog.class);
    private static final boolean JSON = "json".equals(System.getenv("LOG_EVENTS"));
    private final EventLoop loop;
    private Consumer<Event> listener = event -> {};

    /** A log by the loop's clock, without a listener. */
    public EventLog(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets the one listener, which is given every event before it is written. */
    public void listener(Consumer<Event> newListener) {
        listener = newListener;
    }

    /**
     * Writes an event.
     *
     * @param pairs the fields' names and values in turn
     */
    public void emit(String name, Object... pairs) {
        Event event = new Event(loop.now(), name, fields(pairs));
        listener.accept(event);
        if (JSON) {
            System.err.println(json(event));
        } else {
            log(event);
        }
    }

    private static Map<String, Object> fields(Object[] pairs) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            fields.put((String) pairs[i], pairs[i + 1]);
        }
        return fields;
    }

    private static void log(Event event) {
        LoggingEventBuilder line = LOG.atInfo().addKeyValue("event", event.name);
        for (Map.Entry<String, Object> field : event.fields.entrySet()) {
            line = line.addKeyValue(field.getKey(), field.getValue());
        }
        line.log("");
    }

    /** The event as one line of JSON; numbers without their fractions. */
    public static String json(Event event) {
        ObjectNode line = Json.object().put("atMs", event.atMs()).put("event", event.name());
        event.fields().forEach((key, value) -> {
            if (value instanceof Number number) {
                line.put(key, number.longValue());
            } else {
                line.put(key, String.valueOf(value));
            }
        });
        return Json.text(line);
    }
}
