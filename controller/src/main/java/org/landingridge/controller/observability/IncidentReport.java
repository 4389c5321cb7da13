package org.landingridge.controller.observability;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.landingridge.net.EventLoop;

/** What went wrong lately and what was done about it, in plain words, for whoever looks in the morning. */
public final class IncidentReport {
    private static final int KEPT = 200;
    private final EventLoop loop;
    private final Deque<String> lines = new ArrayDeque<>();

    public IncidentReport(EventLoop loop) {
        this.loop = loop;
    }

    public void record(String line) {
        if (lines.size() == KEPT) {
            lines.removeFirst();
        }
        lines.addLast(Instant.ofEpochMilli(loop.timeOfDay()) + " " + line);
    }

    /** The newest lines last. */
    public void write(ArrayNode to) {
        lines.forEach(to::add);
    }
}
