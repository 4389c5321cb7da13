package org.landingridge.controller.observability;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.landingridge.net.EventLoop;

/** The last incidents and what was done about them, in plain words, for whoever is on call the next morning. */
public final class IncidentReport {
    private static final int KEPT = 200;
    private final EventLoop loop;
    /** The newest last. */
    private final Deque<String> lines = new ArrayDeque<>();

    /** An empty report by the loop's time of day. */
    public IncidentReport(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a line with the time of day; the oldest goes where there are too many. */
    public void record(String line) {
        if (lines.size() == KEPT) {
            lines.removeFirst();
        }
        lines.addLast(Instant.ofEpochMilli(loop.timeOfDay()) + " " + line);
    }

    /** Adds the lines to a JSON list, the newest last. */
    public void write(ArrayNode to) {
        lines.forEach(to::add);
    }
}
