package org.landingridge.controller.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.observability.ActivityTimer;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of everything under one prefix, kept current by a watch, and the read barrier on it. The mirror keeps the
 * versions; what the values mean is its listeners' business. The watch may be wider than what is read at the start: then
 * the listener hears of changes to keys that it has to read by itself.
 */
public final class WatchCache {
    /** Told of every change in order; {@code value} is null for a deletion. */
    public interface Listener {
        void changed(String key, JsonNode value, long version);

        /** Changes may have been missed, outside of what is now read again. */
        default void lost() {}
    }

    private enum State {
        LOADING,
        FOLLOWING
    }

    private static final Logger LOG = LoggerFactory.getLogger(WatchCache.class);
    private static final long WATCH_MS = 10_000;
    private final StateClient client;
    private final EventLoop loop;
    private final String prefix;
    private final String watched;
    private final long pauseMs;
    private final ActivityTimer busy;
    private final Listener listener;
    private final Map<String, Long> versions = new HashMap<>();
    private State state = State.LOADING;
    private long revision = -1;
    private long lastAnswer = Long.MIN_VALUE / 2;
    /** Everything stored before this time, by the loop's clock, has been taken over here. */
    private long viewAt = Long.MIN_VALUE / 2;

    private boolean loaded;
    private List<Waiter> waiting = new ArrayList<>();
    private boolean barrierDue;
    private boolean barrierRunning;

    /** A caller at the barrier; {@code since} lets it give up in time. */
    private record Waiter(Runnable passed, Runnable failed) {}

    /**
     * @param prefix  what is read at the start and kept
     * @param watched a prefix of it: what the listener is told of
     */
    public WatchCache(
            StateClient client,
            EventLoop loop,
            String prefix,
            String watched,
            long pauseMs,
            ActivityTimer busy,
            Listener listener) {
        this.client = client;
        this.loop = loop;
        this.prefix = prefix;
        this.watched = watched;
        this.pauseMs = pauseMs;
        this.busy = busy;
        this.listener = listener;
    }

    public void start() {
        load(null, new HashSet<>(versions.keySet()), -1, loop.now());
    }

    public boolean following() {
        return state == State.FOLLOWING;
    }

    public long revision() {
        return revision;
    }

    /** When the state service last answered, by the loop's clock. */
    public long lastAnswer() {
        return lastAnswer;
    }

    /** A time by the loop's clock: everything that was stored before is known here. Long past while nothing is. */
    public long viewAt() {
        return viewAt;
    }

    /** True once this process has read the state whole. */
    public boolean loaded() {
        return loaded;
    }

    /** The version of a key, 0 where it does not exist. */
    public long version(String key) {
        return versions.getOrDefault(key, 0L);
    }

    /** Notes a version that this process has just committed, ahead of the watch. */
    public void committed(String key, long version) {
        // What the watch has brought already is newer, or the same: a key deleted since must not come back by this.
        if (version > revision && version > version(key)) {
            versions.put(key, version);
        }
    }

    /** Notes a deletion that this process has just committed, ahead of the watch. */
    public void deleted(String key, long at) {
        if (at > revision) {
            versions.remove(key);
        }
    }

    /** The listener does not need the key's version any more. */
    public void forget(String key) {
        versions.remove(key);
    }

    /** Runs {@code passed} once the copy is at least as new as any answer given before this call. */
    public void barrier(Runnable passed, Runnable failed) {
        waiting.add(new Waiter(passed, failed));
        if (!barrierDue) {
            barrierDue = true;
            loop.after(pauseMs, this::runBarrier);
        }
    }

    private void runBarrier() {
        if (barrierRunning) {
            loop.after(pauseMs, this::runBarrier);
            return;
        }
        barrierDue = false;
        List<Waiter> group = waiting;
        waiting = new ArrayList<>();
        if (state != State.FOLLOWING) {
            group.forEach(w -> w.failed.run());
            return;
        }
        barrierRunning = true;
        long sent = loop.now();
        client.watch(watched, revision, 0, answer -> {
            barrierRunning = false;
            boolean passed = answer.ok() && apply(answer, sent);
            note(answer);
            for (Waiter w : group) {
                (passed ? w.passed : w.failed).run();
            }
        });
    }

    private void note(Answer answer) {
        if (answer.status() != Status.REFUSED && answer.status() != Status.UNKNOWN) {
            lastAnswer = loop.now();
        }
    }

    private void follow() {
        long from = revision;
        long sent = loop.now();
        client.watch(watched, from, WATCH_MS, answer -> {
            note(answer);
            if (answer.ok() && apply(answer, sent)) {
                // The pause gathers changes: one request of the shared rate then brings many.
                loop.after(pauseMs, this::follow);
            } else if (answer.status() == Status.TOO_OLD) {
                LOG.info("the watch is too far behind, reading everything again");
                state = State.LOADING;
                listener.lost();
                start();
            } else {
                loop.after(400, this::follow);
            }
        });
    }

    /** @param sent when it was asked for: how late the answer comes, and how old it then is, nobody knows */
    private boolean apply(Answer answer, long sent) {
        long to = answer.revision();
        JsonNode events = answer.body().get("events");
        if (to < 0 || events == null || !events.isArray()) {
            LOG.warn("an answer to a watch was malformed and is dropped");
            return false;
        }
        busy.during(ActivityTimer.Part.WATCH, () -> apply(events));
        revision = Math.max(revision, to);
        // While everything is read again, what a watch brings is not the whole.
        viewAt = state == State.FOLLOWING ? Math.max(viewAt, sent) : viewAt;
        return true;
    }

    private void apply(JsonNode events) {
        long before = revision;
        for (JsonNode e : events) {
            long version = Json.integer(e, "stamp", -1);
            // Watch and barrier overlap: what the other has applied already is passed over.
            if (version > before) {
                String put = Json.text(e, "write");
                String gone = Json.text(e, "delete");
                if (put != null) {
                    if (put.startsWith(prefix)) {
                        versions.put(put, version);
                    }
                    listener.changed(put, e.get("data"), version);
                } else if (gone != null) {
                    versions.remove(gone);
                    listener.changed(gone, null, version);
                }
            }
        }
    }

    /**
     * Reads all pages. The first page's revision is where the watch begins: changes made while later pages are read
     * then come once more, which does no harm.
     *
     * @param unseen keys known before that no page has shown yet
     * @param began  when the first page was asked for
     */
    private void load(String after, Set<String> unseen, long start, long began) {
        client.list(prefix, after, 500, answer -> {
            note(answer);
            JsonNode entries = answer.ok() ? answer.body().get("entries") : null;
            if (entries == null || !entries.isArray() || answer.revision() < 0) {
                loop.after(300, () -> load(after, unseen, start, after == null ? loop.now() : began));
                return;
            }
            long from = start < 0 ? answer.revision() : start;
            String last = after;
            for (JsonNode e : entries) {
                last = Json.text(e, "key");
                long version = Json.integer(e, "stamp", 0);
                unseen.remove(last);
                if (version != version(last)) {
                    versions.put(last, version);
                    listener.changed(last, e.get("data"), version);
                }
            }
            if (Json.flag(answer.body(), "more") && last != null) {
                load(last, unseen, from, began);
                return;
            }
            for (String key : unseen) {
                if (versions.remove(key) != null) {
                    listener.changed(key, null, from);
                }
            }
            boolean first = revision < 0;
            revision = from;
            state = State.FOLLOWING;
            loaded = true;
            viewAt = Math.max(viewAt, began);
            if (first) {
                LOG.info("read {} keys of the state service at revision {}", versions.size(), from);
            }
            follow();
        });
    }
}
