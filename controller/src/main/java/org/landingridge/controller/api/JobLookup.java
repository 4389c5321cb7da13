package org.landingridge.controller.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.landingridge.controller.history.History;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Answer;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.controller.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds a job wherever it may be: in the table, under a key of its own that the table does not keep, or in the history. An end
 * that is known here is final; everything else is asked for past the watch cache's read barrier.
 */
public final class JobLookup {
    /** What follows from where a job was found; exactly one of these is called, at once or later. */
    public interface Callback {
        /** The job is neither done nor cancelled, and all that it awaits is known here. */
        void active(Job job);

        /** The job has ended. */
        void terminated(TerminatedJob end);

        /** There is no such job as of the call. */
        void absent();

        /** Nothing can be said now. */
        void unavailable(String why);
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);
    private static final String NO_ANSWER = "the state service does not answer";
    private final StateClient client;
    private final WatchCache watchCache;
    private final JobTable table;
    private final History history;
    /** Awaited jobs that are being looked up, by id, with those who wait for it; they are passed what failed. */
    private final Map<String, List<Consumer<Optional<String>>>> resolving = new HashMap<>();

    /** A lookup in the places where jobs are kept. */
    public JobLookup(StateClient client, WatchCache watchCache, JobTable table, History history) {
        this.client = client;
        this.watchCache = watchCache;
        this.table = table;
        this.history = history;
    }

    /** Finds the job. */
    public void find(String id, Callback callback) {
        TerminatedJob known = knownEnd(id);
        if (known != null) {
            callback.terminated(known);
        } else {
            barrier(
                    callback,
                    () -> findCurrent(id, callback, () -> {
                        if (table.terminated().partial()) {
                            findByKey(id, callback);
                        } else {
                            callback.absent();
                        }
                    }));
        }
    }

    private TerminatedJob knownEnd(String id) {
        Job job = table.get(id);
        if (job == null) {
            return history.known(id);
        }
        return job.active() ? null : end(job);
    }

    private static TerminatedJob end(Job job) {
        return new TerminatedJob(job.status(), job.tasks());
    }

    /**
     * A terminated job may have a key of its own that the table does not keep. If it is gone from there it may have moved since
     * the history was read, so that is read again, past another barrier.
     */
    private void findByKey(String id, Callback callback) {
        client.get(Keys.JOBS + id, answer -> {
            Optional<TerminatedJob> end = storedEnd(answer);
            if (end.isPresent()) {
                callback.terminated(end.get());
            } else if (answer.status() == Status.NOT_FOUND) {
                barrier(callback, () -> findCurrent(id, callback, callback::absent));
            } else {
                callback.unavailable(NO_ANSWER);
            }
        });
    }

    private static Optional<TerminatedJob> storedEnd(Answer answer) {
        return answer.ok() ? StoredJobCodec.termination(answer.body().path("data")) : Optional.empty();
    }

    /** Finds the job in the table or the history, which are past the barrier. */
    private void findCurrent(String id, Callback callback, Runnable absent) {
        Job job = table.get(id);
        if (job != null && job.active()) {
            findActive(job, callback);
        } else if (job != null) {
            callback.terminated(end(job));
        } else if (table.unreadable(id)) {
            callback.unavailable("what is stored of the job cannot be read");
        } else {
            findInHistory(id, callback, found -> callback.terminated(found.ended()), found -> absent.run());
        }
    }

    /**
     * A job that awaits one that the table does not keep may be cancelled with it: another controller may know that already, and
     * may have told a user.
     */
    private void findActive(Job job, Callback callback) {
        if (!table.unresolved(job)) {
            callback.active(job);
            return;
        }
        resolveAwaited(job, failure -> {
            if (failure.isPresent()) {
                callback.unavailable(failure.get());
            } else if (job.active()) {
                callback.active(job);
            } else {
                callback.terminated(end(job));
            }
        });
    }

    /** Looks the job up in the history; one of the last two is called, or the callback's {@code unavailable}. */
    void findInHistory(
            String id, Callback callback, Consumer<History.Found> terminated, Consumer<History.Found> absent) {
        history.find(id, found -> {
            switch (found.outcome()) {
                case UNAVAILABLE -> callback.unavailable(NO_ANSWER);
                case UNREADABLE -> callback.unavailable("the history of this range of jobs cannot be read");
                case READ -> (found.ended() != null ? terminated : absent).accept(found);
            }
        });
    }

    private void barrier(Callback callback, Runnable passed) {
        watchCache.barrier(passed, () -> callback.unavailable(NO_ANSWER));
    }

    /** Looks up every awaited job that the table does not keep, as a leader has to before it can start what awaits them. */
    public void resolveAll() {
        table.unresolved().forEach(id -> resolve(id, failure -> {}));
    }

    /** Looks up what the job awaits and the table does not keep; {@code done} is passed what failed. */
    private void resolveAwaited(Job job, Consumer<Optional<String>> done) {
        List<String> missing =
                job.awaited().stream().filter(id -> table.get(id) == null).toList();
        Resolution resolution = new Resolution(missing.size(), done);
        missing.forEach(id -> resolve(id, resolution::resolved));
    }

    /** The lookups of all jobs that one awaits. */
    private static final class Resolution {
        private final Consumer<Optional<String>> done;
        private int pending;
        private Optional<String> failure = Optional.empty();

        Resolution(int pending, Consumer<Optional<String>> done) {
            this.pending = pending;
            this.done = done;
        }

        void resolved(Optional<String> failed) {
            failure = failed.isPresent() ? failed : failure;
            pending--;
            if (pending == 0) {
                done.accept(failure);
            }
        }
    }

    private void resolve(String id, Consumer<Optional<String>> done) {
        List<Consumer<Optional<String>>> waiting = resolving.get(id);
        if (waiting != null) {
            waiting.add(done);
            return;
        }
        resolving.put(id, new ArrayList<>(List.of(done)));
        find(id, new Callback() {
            @Override
            public void active(Job job) {
                resolved(id, Optional.empty());
            }

            @Override
            public void terminated(TerminatedJob end) {
                table.resolved(id, end.how(), watchCache.revision());
                resolved(id, Optional.empty());
            }

            @Override
            public void absent() {
                // No job is accepted before all that it awaits are: an operator has removed this one's key.
                LOG.error("awaited job not found, its dependants go on waiting: job={}", id);
                resolved(id, Optional.empty());
            }

            @Override
            public void unavailable(String why) {
                resolved(id, Optional.of(why));
            }
        });
    }

    private void resolved(String id, Optional<String> failure) {
        resolving.remove(id).forEach(done -> done.accept(failure));
    }
}
