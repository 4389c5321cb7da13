package org.landingridge.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.Json;
import org.landingridge.wire.state.StateAnswer;
import org.landingridge.wire.state.StateChanges;
import org.landingridge.wire.state.StateRequest;

/** The open watches of the emulated state service. */
final class StateWatches {
    /** A watch whose time is over but that may not be answered now waits on for so long. */
    private static final long RETRY_MS = 100;

    private final EventLoop loop;
    private final VersionedStore store;
    private final Predicate<String> refuses;
    /** With the timers that end them. */
    private final Map<Watch, EventLoop.Timer> open = new LinkedHashMap<>();

    private record Watch(String client, String prefix, long after, Exchange exchange) {}

    /** @param refuses whether a client, null for one without a name, gets no answers now */
    StateWatches(EventLoop loop, VersionedStore store, Predicate<String> refuses) {
        this.loop = loop;
        this.store = store;
        this.refuses = refuses;
    }

    /** Answers at once if there is something to tell, or no time to wait. */
    void watch(String client, StateRequest.Watch request, Exchange exchange) {
        Watch watch = new Watch(client, request.prefix(), request.after(), exchange);
        if (request.waitMs() == 0 || due(watch)) {
            answer(watch);
        } else {
            keepOpen(watch, request.waitMs());
        }
    }

    private boolean due(Watch watch) {
        return store.hasForgotten(watch.after)
                || !store.changes(watch.prefix, watch.after).isEmpty();
    }

    private void keepOpen(Watch watch, long waitMs) {
        open.put(watch, loop.after(waitMs, () -> {
            if (refuses.test(watch.client)) {
                keepOpen(watch, RETRY_MS);
            } else if (open.remove(watch) != null) {
                answer(watch);
            }
        }));
    }

    /** Answers the watches that there is something to tell. */
    void wake() {
        for (Watch watch : new ArrayList<>(open.keySet())) {
            if (!refuses.test(watch.client) && due(watch)) {
                open.remove(watch).cancel();
                answer(watch);
            }
        }
    }

    /** Ends all watches without an answer. */
    void drop() {
        open.values().forEach(EventLoop.Timer::cancel);
        open.clear();
    }

    private void answer(Watch watch) {
        if (store.hasForgotten(watch.after)) {
            watch.exchange.answer(410, Json.bytes(StateAnswer.ofRevision(store.revision())));
            return;
        }
        StateChanges changes = new StateChanges(store.revision(), store.changes(watch.prefix, watch.after));
        watch.exchange.answer(200, Json.bytes(changes.toJson()));
    }
}
