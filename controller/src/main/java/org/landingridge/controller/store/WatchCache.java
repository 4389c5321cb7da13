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
 * Caches the versions of all keys under a prefix, keeps them current with a watch, and provides a read barrier. The values are
 * passed to the listener. The watched prefix may cover more keys than the loaded prefix: for the additional keys the listener
 * receives changes only and has to read their initial values by itself.
 */
public final class WatchCache {
    /** Receives the values that were loaded and the changes to watched keys. */
    public interface Listener {
        /** Called for each change, in the order of the watch; {@code value} is null for a deletion. */
        void changed(String key, JsonNode value, long version);

        /** Called when changes may have been missed. Keys outside the loaded prefix are not reloaded by the cache. */
        default void changesMissed() {}
    }

    private enum State {
        LOADING,
        FOLLOWING
    }

    private static final Logger LOG = LoggerFactory.getLogger(WatchCache.class);
    private static final long WATCH_TIMEOUT_MS = 10_000;
    private static final int PAGE_ENTRIES = 500;
    private static final long RETRY_LOAD_MS = 300;
    private static final long RETRY_WATCH_MS = 400;
    private final StateClient client;
    private final EventLoop loop;
    private final String prefix;
    private final String watchedPrefix;
    private final long pauseMs;
    private final ActivityTimer timer;
    private final Listener listener;
    private final Map<String, Long> versionsByKey = new HashMap<>();
    private State state = State.LOADING;
    private long revision = -1;
    private long lastAnswerAt = Long.MIN_VALUE / 2;
    /** Time on the loop's clock, in milliseconds: the cache reflects everything that was stored before it. */
    private long currentAsOf = Long.MIN_VALUE / 2;

    private boolean isLoaded;
    private List<BarrierCall> pendingCalls = new ArrayList<>();
    private boolean barrierScheduled;
    private boolean barrierRunning;

    /** The callbacks of one barrier call. */
    private record BarrierCall(Runnable onPassed, Runnable onFailed) {}

    /**
     * The state of a full load, page by page.
     *
     * @param unseen    keys that were cached before the load and have not appeared in any page yet
     * @param revision  revision of the first page; -1 until it arrives
     * @param startedAt time at which the first page was requested, on the loop's clock
     */
    private record Load(Set<String> unseen, long revision, long startedAt) {}

    /**
     * @param prefix        prefix of the keys that are loaded at the start and cached
     * @param watchedPrefix prefix of the keys that are watched; equal to {@code prefix} or shorter
     * @param pauseMs       pause between two watch requests and before a barrier, in milliseconds
     */
    public WatchCache(
            StateClient client,
            EventLoop loop,
            String prefix,
            String watchedPrefix,
            long pauseMs,
            ActivityTimer timer,
            Listener listener) {
        this.client = client;
        this.loop = loop;
        this.prefix = prefix;
        this.watchedPrefix = watchedPrefix;
        this.pauseMs = pauseMs;
        this.timer = timer;
        this.listener = listener;
    }

    /** Loads all keys, then follows their changes. */
    public void start() {
        load(null, new Load(new HashSet<>(versionsByKey.keySet()), -1, loop.now()));
    }

    /** Returns true once all keys are loaded, and false during a reload. */
    public boolean isFollowing() {
        return state == State.FOLLOWING;
    }

    /** Returns the revision up to which all changes are applied; -1 before the first load. */
    public long revision() {
        return revision;
    }

    /** Returns the time of the state service's last answer, on the loop's clock. Refusals do not count. */
    public long lastAnswerAt() {
        return lastAnswerAt;
    }

    /** Returns a time on the loop's clock: the cache reflects all earlier writes. Far in the past until the first load ends. */
    public long currentAsOf() {
        return currentAsOf;
    }

    /** Returns true once the first full load is complete. */
    public boolean isLoaded() {
        return isLoaded;
    }

    /** Returns the version of a key; 0 if the key does not exist. */
    public long version(String key) {
        return versionsByKey.getOrDefault(key, 0L);
    }

    /** Records the version of a key that this process has committed, before the watch delivers the change. */
    public void recordCommitted(String key, long version) {
        // Changes that the watch has delivered are as new or newer: a key deleted in the meantime must not reappear.
        if (version > revision && version > version(key)) {
            versionsByKey.put(key, version);
        }
    }

    /** Records a deletion that this process has committed, before the watch delivers it. */
    public void recordDeleted(String key, long deletionRevision) {
        if (deletionRevision > revision) {
            versionsByKey.remove(key);
        }
    }

    /** Drops the version of a key that the listener no longer needs. */
    public void forget(String key) {
        versionsByKey.remove(key);
    }

    /** Runs {@code onPassed} once the cache is at least as new as all answers sent before this call, else {@code onFailed}. */
    public void readBarrier(Runnable onPassed, Runnable onFailed) {
        pendingCalls.add(new BarrierCall(onPassed, onFailed));
        if (!barrierScheduled) {
            barrierScheduled = true;
            loop.after(pauseMs, this::runBarrier);
        }
    }

    private void runBarrier() {
        if (barrierRunning) {
            loop.after(pauseMs, this::runBarrier);
            return;
        }
        barrierScheduled = false;
        List<BarrierCall> calls = pendingCalls;
        pendingCalls = new ArrayList<>();
        if (state != State.FOLLOWING) {
            calls.forEach(call -> call.onFailed.run());
            return;
        }
        barrierRunning = true;
        long sentAt = loop.now();
        client.watch(watchedPrefix, revision, 0, answer -> {
            barrierRunning = false;
            boolean passed = answer.ok() && applyAnswer(answer, sentAt);
            recordAnswerTime(answer);
            for (BarrierCall call : calls) {
                (passed ? call.onPassed : call.onFailed).run();
            }
        });
    }

    private void recordAnswerTime(Answer answer) {
        if (answer.status() != Status.REFUSED && answer.status() != Status.UNKNOWN) {
            lastAnswerAt = loop.now();
        }
    }

    private void watchChanges() {
        long fromRevision = revision;
        long sentAt = loop.now();
        client.watch(watchedPrefix, fromRevision, WATCH_TIMEOUT_MS, answer -> {
            recordAnswerTime(answer);
            if (answer.ok() && applyAnswer(answer, sentAt)) {
                // The pause lets one request deliver many changes, which saves requests of the shared rate limit.
                loop.after(pauseMs, this::watchChanges);
            } else if (answer.status() == Status.TOO_OLD) {
                LOG.info("watch revision too old and reload started, revision={}", fromRevision);
                state = State.LOADING;
                listener.changesMissed();
                start();
            } else {
                loop.after(RETRY_WATCH_MS, this::watchChanges);
            }
        });
    }

    /** Applies an answer to a watch; false if malformed. It reflects the store at {@code sentAt} or at any later time. */
    private boolean applyAnswer(Answer answer, long sentAt) {
        Optional<StateChanges> changes = answer.changes();
        if (changes.isEmpty()) {
            LOG.warn("malformed watch answer dropped, prefix={}", watchedPrefix);
            return false;
        }
        timer.during(ActivityTimer.Part.WATCH, () -> applyChanges(changes.get().changes()));
        revision = Math.max(revision, changes.get().revision());
        // During a reload, the changes from a watch alone do not make the cache complete.
        currentAsOf = state == State.FOLLOWING ? Math.max(currentAsOf, sentAt) : currentAsOf;
        return true;
    }

    private void applyChanges(List<StateChange> changes) {
        long revisionBefore = revision;
        for (StateChange change : changes) {
            // The watch and the barrier may deliver the same change: skip changes that are already applied.
            if (change.version() > revisionBefore) {
                applyChange(change);
            }
        }
    }

    private void applyChange(StateChange change) {
        switch (change.kind()) {
            case PUT -> {
                if (change.key().startsWith(prefix)) {
                    versionsByKey.put(change.key(), change.version());
                }
            }
            case DELETE -> versionsByKey.remove(change.key());
        }
        listener.changed(change.key(), change.value(), change.version());
    }

    /**
     * Loads the keys later than {@code after} page by page. The watch begins at the first page's revision: changes made while
     * later pages were loaded are delivered a second time, which is harmless.
     */
    private void load(String after, Load load) {
        client.list(prefix, after, PAGE_ENTRIES, answer -> {
            recordAnswerTime(answer);
            StateListing page = answer.listing().orElse(null);
            if (page == null || page.revision() < 0) {
                loop.after(
                        RETRY_LOAD_MS,
                        () -> load(after, after == null ? new Load(load.unseen, load.revision, loop.now()) : load));
                return;
            }
            long firstRevision = load.revision < 0 ? page.revision() : load.revision;
            String lastKey = after;
            for (StateEntry entry : page.entries()) {
                lastKey = entry.key();
                applyEntry(entry, load);
            }
            if (page.more() && lastKey != null) {
                load(lastKey, new Load(load.unseen, firstRevision, load.startedAt));
            } else {
                completeLoad(load, firstRevision);
            }
        });
    }

    private void applyEntry(StateEntry entry, Load load) {
        load.unseen.remove(entry.key());
        if (entry.version() != version(entry.key())) {
            versionsByKey.put(entry.key(), entry.version());
            listener.changed(entry.key(), entry.value(), entry.version());
        }
    }

    private void completeLoad(Load load, long firstRevision) {
        for (String key : load.unseen) {
            if (versionsByKey.remove(key) != null) {
                listener.changed(key, null, firstRevision);
            }
        }
        if (revision < 0) {
            LOG.info("state loaded, keys={} revision={}", versionsByKey.size(), firstRevision);
        }
        revision = firstRevision;
        state = State.FOLLOWING;
        isLoaded = true;
        currentAsOf = Math.max(currentAsOf, load.startedAt);
        watchChanges();
    }
}
