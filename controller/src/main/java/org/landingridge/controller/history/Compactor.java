package org.landingridge.controller.history;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.observability.Metrics;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.controller.upgrade.Capabilities;
import org.landingridge.net.EventLoop;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves terminated jobs from their own keys, which every controller caches, to segments of the history. Each move is one
 * compare-and-set transaction that deletes the jobs' keys and writes their segments, on the condition that the leader key and all
 * of these keys have the expected versions. At every revision each job is therefore either under its own key or in a segment. A
 * delayed, repeated or former leader's move changes nothing. After an unknown outcome the next move is based on a fresh read.
 */
public final class Compactor {
    /** Collaborators of the compactor. */
    public record Dependencies(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            JobTable table,
            History history,
            Capabilities capabilities,
            Metrics metrics) {}

    /** State of the rest of the leader term that restricts the compactor. */
    public interface Owner {
        /** Returns whether this process may act as the leader. */
        boolean mayAct();

        /** Returns whether the leader has other writes pending, or does not know yet which tasks its machines hold. */
        boolean busy();

        /**
         * Returns the ids of jobs that must keep their own keys, which every controller reads at startup: jobs that have or may
         * have tasks on a machine, and jobs that an unfinished job awaits. The caller may modify the set.
         */
        Set<String> needed();
    }

    private enum State {
        /** There is nothing to move, or moves are not permitted now. */
        IDLE,
        /** Reading a page of job keys. */
        SCANNING,
        /** Reading the segments of a batch. */
        READING,
        /** Waiting for the answer to the transaction. */
        WRITING,
        /** Waiting until the watch cache shows the outcome of the transaction. */
        SYNCING,
        /** Backing off after the state service refused a request or did not answer. */
        BACKING_OFF,
        /** The leader term has ended. */
        CLOSED
    }

    private static final Logger LOG = LoggerFactory.getLogger(Compactor.class);
    private static final long IDLE_INTERVAL_MS = 1_000;
    private static final long INITIAL_BACKOFF_MS = 2_000;
    private static final long MAX_BACKOFF_MS = 60_000;
    private static final int SCAN_PAGE_KEYS = 100;
    private static final long SCAN_INTERVAL_MS = 300;
    /** One delete of a job's key and one put of its segment. */
    private static final int MIN_OPERATIONS = 2;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final History history;
    private final Metrics metrics;
    private final LongSupplier leaderVersion;
    private final int maxValueBytes;
    /** Limit on the puts and deletes of moves, per second. */
    private final double maxMoveOperationsPerS;

    private final CandidateSelector selector;
    private final KeyScan scan;
    private final UserWriteRate userWrites;
    private final MoveConditions conditions;

    private State state = State.IDLE;
    private int maxOperations;
    /** Earliest time of the next transaction, by the loop's clock, in milliseconds. */
    private long nextTransactionAt;

    private long backoffMs = INITIAL_BACKOFF_MS;

    /**
     * @param leaderVersion version of the leader key, or 0 while this process may not write
     * @param limits        limits of the state service
     * @param share         share of the write rate limit that moves may use; 0 turns moves off
     */
    public Compactor(
            Dependencies dependencies, Owner owner, LongSupplier leaderVersion, Settings.State limits, double share) {
        this.client = dependencies.client;
        this.watchCache = dependencies.watchCache;
        this.loop = dependencies.loop;
        this.history = dependencies.history;
        this.metrics = dependencies.metrics;
        this.leaderVersion = leaderVersion;
        this.maxOperations = limits.txnOps();
        this.maxValueBytes = limits.valueBytes();
        this.maxMoveOperationsPerS = share * limits.writeRps();
        this.selector = new CandidateSelector(dependencies.table, watchCache, loop, owner);
        this.scan = new KeyScan(dependencies.table, loop, selector);
        this.userWrites = new UserWriteRate(loop);
        this.conditions = new MoveConditions(owner, userWrites, dependencies.capabilities, limits.writeRps());
    }

    /** Starts moving jobs, unless the settings or the state service's limits rule that out. */
    public void start() {
        userWrites.start();
        if (maxMoveOperationsPerS > 0 && maxOperations >= MIN_OPERATIONS) {
            loop.after(IDLE_INTERVAL_MS, this::step);
        }
    }

    /** Stops the compactor for good. A transaction that was sent already may still be applied. */
    public void close() {
        transitionTo(State.CLOSED);
    }

    /** Counts a successful write for a user; moves yield to these. */
    public void noted() {
        userWrites.recordWrite();
    }

    /** Changes the state; the only method that does. Returns false if the compactor is closed, which is final. */
    private boolean transitionTo(State next) {
        if (state == State.CLOSED) {
            return false;
        }
        state = next;
        return true;
    }

    private void idleFor(long delayMs) {
        if (transitionTo(State.IDLE)) {
            loop.after(Math.max(delayMs, nextTransactionAt - loop.now()), this::step);
        }
    }

    private void backOff() {
        if (transitionTo(State.BACKING_OFF)) {
            loop.after(backoffMs, () -> {
                if (state == State.BACKING_OFF) {
                    idleFor(0);
                }
            });
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        }
    }

    private void step() {
        if (state == State.CLOSED) {
            return;
        }
        if (!conditions.areMet()) {
            idleFor(IDLE_INTERVAL_MS);
            return;
        }
        MoveBatch batch = selector.nextBatch(maxOperations);
        if (!batch.isEmpty()) {
            readSegments(batch);
        } else if (scan.isDue()) {
            scanPage();
        } else {
            idleFor(IDLE_INTERVAL_MS);
        }
    }

    /** Reads the batch's segments one by one, then commits the batch. Jobs of undecodable segments are left out. */
    private void readSegments(MoveBatch batch) {
        transitionTo(State.READING);
        Optional<String> unreadSegment = batch.nextUnreadSegment();
        if (unreadSegment.isEmpty()) {
            commitBatch(batch);
            return;
        }
        String segment = unreadSegment.get();
        history.find(batch.anyJobId(segment), found -> {
            if (state == State.READING) {
                handleSegment(batch, segment, found);
            }
        });
    }

    private void handleSegment(MoveBatch batch, String segment, History.Found found) {
        switch (found.outcome()) {
            case READ -> {
                batch.setContents(segment, found);
                readSegments(batch);
            }
            case UNREADABLE -> {
                selector.excludeUnreadable(segment, batch.remove(segment));
                readSegments(batch);
            }
            case UNAVAILABLE -> backOff();
        }
    }

    private void commitBatch(MoveBatch batch) {
        long leaderKeyVersion = leaderVersion.getAsLong();
        MoveBatch.Transaction transaction = batch.transaction(leaderKeyVersion);
        selector.excludeConflicting(transaction.conflicting());
        if (excludeFullSegments(transaction.writes())) {
            idleFor(0);
            return;
        }
        if (leaderKeyVersion == 0 || transaction.writes().isEmpty()) {
            idleFor(IDLE_INTERVAL_MS);
            return;
        }
        transitionTo(State.WRITING);
        nextTransactionAt = loop.now() + Math.round(1000 * transaction.writes().size() / maxMoveOperationsPerS);
        client.commit(transaction.guards(), transaction.writes(), answer -> {
            if (state == State.WRITING) {
                handleCommit(transaction.moved(), answer);
            }
        });
    }

    /** Excludes segments that would exceed the value size limit from later batches; returns whether there were any. */
    private boolean excludeFullSegments(List<Write> writes) {
        boolean hasFullSegment = false;
        for (Write write : writes) {
            if (write.value() != null && Json.bytes(write.value()).length > maxValueBytes) {
                LOG.warn("segment full, segment={} maxBytes={}", write.key(), maxValueBytes);
                selector.excludeFull(write.key());
                hasFullSegment = true;
            }
        }
        return hasFullSegment;
    }

    private void handleCommit(List<MoveCandidate> moved, Answer answer) {
        switch (answer.status()) {
            case OK -> {
                backoffMs = INITIAL_BACKOFF_MS;
                metrics.moved.increment(moved.size());
                LOG.debug("jobs moved to history, count={}", moved.size());
                awaitOutcome(moved);
            }
            // Refused as a whole, because of the rate limit or an outage: backs off so that other writers go first.
            case REFUSED -> backOff();
            case INVALID -> {
                // The state service accepts less than it announces, so the same transaction would always be refused.
                LOG.warn("transaction too large for state service, operations={}", maxOperations);
                maxOperations = Math.max(MIN_OPERATIONS, maxOperations / 2);
                backOff();
            }
            // A condition failed or the outcome is unknown: the next batch is chosen from the then current state.
            default -> awaitOutcome(moved);
        }
    }

    /** Waits until the watch cache shows the outcome of the transaction. */
    private void awaitOutcome(List<MoveCandidate> moved) {
        transitionTo(State.SYNCING);
        watchCache.barrier(
                () -> {
                    if (state == State.SYNCING) {
                        selector.forget(moved);
                        idleFor(0);
                    }
                },
                () -> {
                    if (state == State.SYNCING) {
                        backOff();
                    }
                });
    }

    private void scanPage() {
        transitionTo(State.SCANNING);
        client.list(Keys.JOBS, scan.nextPageStart(), SCAN_PAGE_KEYS, answer -> {
            if (state != State.SCANNING) {
                return;
            }
            if (scan.readPage(answer)) {
                idleFor(SCAN_INTERVAL_MS);
            } else {
                backOff();
            }
        });
    }
}
