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
 * Moves terminated jobs from keys of their own, which every controller caches, to segments of the history. A move is one
 * compare-and-swap: it deletes the jobs' keys and puts their segment, conditional on the leader's key and on the version of
 * each. So at every revision each job is in one of the two places; a move of a former leader, one that arrives late and the
 * second of two change nothing; and after an unknown outcome the state is read again, and the next move is decided from that.
 */
public final class Compactor {
    /** What the compactor works on and with. */
    public record Dependencies(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            JobTable table,
            History history,
            Capabilities capabilities,
            Metrics metrics) {}

    /** What the rest of the leader term knows and the compactor must heed. */
    public interface Owner {
        /** True while this process may act as the leader. */
        boolean mayAct();

        /** True while the leader has something else to write, or does not know yet what is on its machines. */
        boolean busy();

        /**
         * Ids of the jobs whose ends have to stay where every controller reads them at its start: something of them is, or may
         * be, on a machine, or a job awaits them that has not ended. The caller may change the set.
         */
        Set<String> needed();
    }

    private enum State {
        /** Nothing to do, or not allowed to do it. */
        IDLE,
        /** A page of the jobs' keys is asked for. */
        SCANNING,
        /** A segment is asked for. */
        READING,
        /** The transaction is on its way. */
        WRITING,
        /** Waiting until the watch cache shows the outcome of the transaction. */
        SYNCING,
        /** The state service refused or did not answer. */
        PAUSED,
        /** The leader term is over. */
        CLOSED
    }

    private static final Logger LOG = LoggerFactory.getLogger(Compactor.class);
    private static final long IDLE_MS = 1_000;
    private static final long FIRST_PAUSE_MS = 2_000;
    private static final long LONGEST_PAUSE_MS = 60_000;
    private static final int SCAN_PAGE = 100;
    private static final long SCAN_PAUSE_MS = 300;
    /** The delete of a job's key and the put of its segment. */
    private static final int MIN_OPERATIONS = 2;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final History history;
    private final Metrics metrics;
    private final LongSupplier leaderVersion;
    private final int valueBytes;
    /** Changes a second that moves may take. */
    private final double moveRps;

    private final CandidateSelector selector;
    private final KeyScan scan;
    private final UserWriteRate userWrites;
    private final MoveConditions conditions;

    private State state = State.IDLE;
    private int maxOperations;
    /** The earliest time of the next transaction. */
    private long nextAllowed;

    private long pauseMs = FIRST_PAUSE_MS;

    /**
     * @param leaderVersion version of the leader's key, or 0 while this process may not write
     * @param limits        of the state service
     * @param share         of the limit of changes, what this may use; 0: nothing is moved
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
        this.valueBytes = limits.valueBytes();
        this.moveRps = share * limits.writeRps();
        this.selector = new CandidateSelector(dependencies.table, watchCache, loop, owner);
        this.scan = new KeyScan(dependencies.table, loop, selector);
        this.userWrites = new UserWriteRate(loop);
        this.conditions = new MoveConditions(owner, userWrites, dependencies.capabilities, limits.writeRps());
    }

    /** Begins to move jobs, unless the settings or the state service's limits leave no room for it. */
    public void start() {
        userWrites.start();
        if (moveRps > 0 && maxOperations >= MIN_OPERATIONS) {
            loop.after(IDLE_MS, this::step);
        }
    }

    /** Ends the work for good; a transaction that is on its way may still be carried out. */
    public void close() {
        to(State.CLOSED);
    }

    /** A user's change went through: users' changes come before moves. */
    public void noted() {
        userWrites.increment();
    }

    /** The only place where the state changes; nothing follows CLOSED. */
    private boolean to(State next) {
        if (state == State.CLOSED) {
            return false;
        }
        state = next;
        return true;
    }

    private void idle(long forMs) {
        if (to(State.IDLE)) {
            loop.after(Math.max(forMs, nextAllowed - loop.now()), this::step);
        }
    }

    private void pause() {
        if (to(State.PAUSED)) {
            loop.after(pauseMs, () -> {
                if (state == State.PAUSED) {
                    idle(0);
                }
            });
            pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
        }
    }

    private void step() {
        if (state == State.CLOSED) {
            return;
        }
        if (!conditions.hold()) {
            idle(IDLE_MS);
            return;
        }
        MoveBatch batch = selector.batch(maxOperations);
        if (!batch.isEmpty()) {
            readSegments(batch);
        } else if (scan.due()) {
            scanPage();
        } else {
            idle(IDLE_MS);
        }
    }

    /** Reads the batch's segments, one after the other; those that cannot be read drop out with their jobs. */
    private void readSegments(MoveBatch batch) {
        to(State.READING);
        Optional<String> unread = batch.unread();
        if (unread.isEmpty()) {
            write(batch);
            return;
        }
        String segment = unread.get();
        history.find(batch.anyJob(segment), found -> {
            if (state == State.READING) {
                segmentRead(batch, segment, found);
            }
        });
    }

    private void segmentRead(MoveBatch batch, String segment, History.Found found) {
        switch (found.outcome()) {
            case READ -> {
                batch.read(segment, found);
                readSegments(batch);
            }
            case UNREADABLE -> {
                selector.unreadable(segment, batch.remove(segment));
                readSegments(batch);
            }
            case UNAVAILABLE -> pause();
        }
    }

    private void write(MoveBatch batch) {
        long leader = leaderVersion.getAsLong();
        MoveBatch.Transaction transaction = batch.transaction(leader);
        selector.contradicted(transaction.contradicted());
        if (excludeFullSegments(transaction.writes())) {
            idle(0);
            return;
        }
        if (leader == 0 || transaction.writes().isEmpty()) {
            idle(IDLE_MS);
            return;
        }
        to(State.WRITING);
        nextAllowed = loop.now() + Math.round(1000 * transaction.writes().size() / moveRps);
        client.commit(transaction.guards(), transaction.writes(), answer -> {
            if (state == State.WRITING) {
                committed(transaction.moved(), answer);
            }
        });
    }

    /** True if a segment would grow too large: it takes no more jobs, and the next batch is chosen without it. */
    private boolean excludeFullSegments(List<Write> writes) {
        boolean any = false;
        for (Write write : writes) {
            if (write.value() != null && Json.bytes(write.value()).length > valueBytes) {
                LOG.warn("segment full, its other jobs keep their keys: segment={} bytes={}", write.key(), valueBytes);
                selector.full(write.key());
                any = true;
            }
        }
        return any;
    }

    private void committed(List<Candidate> moved, Answer answer) {
        switch (answer.status()) {
            case OK -> {
                pauseMs = FIRST_PAUSE_MS;
                metrics.moved.increment(moved.size());
                LOG.debug("jobs moved into the history: count={}", moved.size());
                sync(moved);
            }
            // Refused as a whole, for want of rate or in an outage: other writers go first.
            case REFUSED -> pause();
            case INVALID -> {
                // The state service takes less than it announces, and would refuse the same for ever.
                LOG.warn("transaction too large for the state service: operations={}", maxOperations);
                maxOperations = Math.max(MIN_OPERATIONS, maxOperations / 2);
                pause();
            }
            // A condition did not hold, or the outcome is unknown: the next batch is chosen from the present state.
            default -> sync(moved);
        }
    }

    /** Waits until the watch cache shows the outcome. */
    private void sync(List<Candidate> moved) {
        to(State.SYNCING);
        watchCache.barrier(
                () -> {
                    if (state == State.SYNCING) {
                        selector.forget(moved);
                        idle(0);
                    }
                },
                () -> {
                    if (state == State.SYNCING) {
                        pause();
                    }
                });
    }

    private void scanPage() {
        to(State.SCANNING);
        client.list(Keys.JOBS, scan.nextPage(), SCAN_PAGE, answer -> {
            if (state != State.SCANNING) {
                return;
            }
            if (scan.read(answer)) {
                idle(SCAN_PAUSE_MS);
            } else {
                pause();
            }
        });
    }
}
