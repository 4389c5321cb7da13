package org.landingridge.controller.obs;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.landingridge.net.Loop;

/** What went wrong lately and what was done about it, in plain words, for whoever looks in the morning. */
public final class IncidentReport {
    private static final int KEPT = 200;
    private final Loop loop;
    private final Deque<String> lines = new ArrayDeque<>();

    public IncidentReport(Loop loop) {
        this.loop = loop;
    }

    public void say(String line) {
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
