package org.landingridge.controller.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.landingridge.controller.observability.ActivityTimer;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.state.StateChange;
import org.landingridge.wire.state.StateChanges;
import org.landingridge.wire.state.StateEntry;
import org.landingridge.wire.state.StateListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of everything under one prefix, kept current by a watch, and the read barrier on it. The cache keeps the versions;
 * what the values mean is its listener's business. The watch may be wider than what is read at the start: then the listener
 * hears of changes to keys that it has to read by itself.
 */
public final class WatchCache {
    /** Called for what changes. */
    public interface Listener {
        /** A change, in order; {@code value} is null for a deletion. */
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
    private static final int PAGE_ENTRIES = 500;
    private static final long RETRY_LOAD_MS = 300;
    private static final long RETRY_WATCH_MS = 400;
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

    /** A caller at the barrier. */
    private record Waiter(Runnable passed, Runnable failed) {}

    /**
     * A reading of all pages.
     *
     * @param unseen   keys known before that no page has shown yet
     * @param revision of the first page; -1 before it has come
     * @param beganAt  when the first page was asked for
     */
    private record Load(Set<String> unseen, long revision, long beganAt) {}

    /**
     * @param prefix  what is read at the start and kept
     * @param watched a prefix of it: what the listener is called for
     * @param pauseMs between two watches, and before a barrier, in milliseconds
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

    /** Reads everything, and follows the changes from there on. */
    public void start() {
        load(null, new Load(new HashSet<>(versions.keySet()), -1, loop.now()));
    }

    /** False until everything has been read, and while it is read again. */
    public boolean following() {
        return state == State.FOLLOWING;
    }

    /** Everything up to this revision is known here; -1 before anything is. */
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
            group.forEach(waiter -> waiter.failed.run());
            return;
        }
        barrierRunning = true;
        long sentAt = loop.now();
        client.watch(watched, revision, 0, answer -> {
            barrierRunning = false;
            boolean passed = answer.ok() && apply(answer, sentAt);
            note(answer);
            for (Waiter waiter : group) {
                (passed ? waiter.passed : waiter.failed).run();
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
        long sentAt = loop.now();
        client.watch(watched, from, WATCH_MS, answer -> {
            note(answer);
            if (answer.ok() && apply(answer, sentAt)) {
                // The pause gathers changes: one request of the shared rate then brings many.
                loop.after(pauseMs, this::follow);
            } else if (answer.status() == Status.TOO_OLD) {
                LOG.info("the watch is too far behind, reading everything again");
                state = State.LOADING;
                listener.lost();
                start();
            } else {
                loop.after(RETRY_WATCH_MS, this::follow);
            }
        });
    }

    /** @param sentAt when it was asked for: how late the answer comes, and how old it then is, is not known */
    private boolean apply(Answer answer, long sentAt) {
        Optional<StateChanges> changes = answer.changes();
        if (changes.isEmpty()) {
            LOG.warn("an answer to a watch was malformed and is dropped");
            return false;
        }
        busy.during(ActivityTimer.Part.WATCH, () -> apply(changes.get().changes()));
        revision = Math.max(revision, changes.get().revision());
        // While everything is read again, what a watch brings is not the whole.
        viewAt = state == State.FOLLOWING ? Math.max(viewAt, sentAt) : viewAt;
        return true;
    }

    private void apply(List<StateChange> changes) {
        long before = revision;
        for (StateChange change : changes) {
            // Watch and barrier overlap: what the other has applied already is passed over.
            if (change.version() > before) {
                apply(change);
            }
        }
    }

    private void apply(StateChange change) {
        switch (change.kind()) {
            case PUT -> {
                if (change.key().startsWith(prefix)) {
                    versions.put(change.key(), change.version());
                }
            }
            case DELETE -> versions.remove(change.key());
        }
        listener.changed(change.key(), change.value(), change.version());
    }

    /**
     * Reads all pages. The first page's revision is where the watch begins: changes made while later pages are read then come
     * once more, which does no harm.
     */
    private void load(String after, Load load) {
        client.list(prefix, after, PAGE_ENTRIES, answer -> {
            note(answer);
            StateListing page = answer.listing().orElse(null);
            if (page == null || page.revision() < 0) {
                loop.after(
                        RETRY_LOAD_MS,
                        () -> load(after, after == null ? new Load(load.unseen, load.revision, loop.now()) : load));
                return;
            }
            long from = load.revision < 0 ? page.revision() : load.revision;
            String last = after;
            for (StateEntry entry : page.entries()) {
                last = entry.key();
                loaded(entry, load);
            }
            if (page.more() && last != null) {
                load(last, new Load(load.unseen, from, load.beganAt));
            } else {
                loaded(load, from);
            }
        });
    }

    private void loaded(StateEntry entry, Load load) {
        load.unseen.remove(entry.key());
        if (entry.version() != version(entry.key())) {
            versions.put(entry.key(), entry.version());
            listener.changed(entry.key(), entry.value(), entry.version());
        }
    }

    private void loaded(Load load, long from) {
        for (String key : load.unseen) {
            if (versions.remove(key) != null) {
                listener.changed(key, null, from);
            }
        }
        boolean first = revision < 0;
        revision = from;
        state = State.FOLLOWING;
        loaded = true;
        viewAt = Math.max(viewAt, load.beganAt);
        if (first) {
            LOG.info("read {} keys of the state service at revision {}", versions.size(), from);
        }
        follow();
    }
}
