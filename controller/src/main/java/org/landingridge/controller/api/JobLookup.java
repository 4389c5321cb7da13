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
import org.landingridge.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds a job in the job table, under its own key in the state service if the table does not keep it, or in the history. A
 * termination that this controller already knows is final and returned immediately; every other answer is given only after
 * the watch cache's read barrier.
 */
public final class JobLookup {
    /** Receives the result of a lookup; exactly one method is called, either immediately or later. */
    public interface Callback {
        /** The job is neither done nor cancelled, and the state of every job that it awaits is known to this controller. */
        void active(Job job);

        /** The job has ended. */
        void terminated(TerminatedJob terminatedJob);

        /** The job did not exist at the time of the lookup. */
        void absent();

        /** The state of the job cannot be determined now. */
        void unavailable(String reason);
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);
    private static final String STATE_SERVICE_UNAVAILABLE = "the state service does not answer";
    private final StateClient client;
    private final WatchCache watchCache;
    private final JobTable table;
    private final History history;
    /** Callbacks waiting for the lookup of an awaited job, by its id; they are passed the reason if the lookup fails. */
    private final Map<String, List<Consumer<Optional<String>>>> callbacksByAwaitedId = new HashMap<>();

    /** Creates a lookup over the places where jobs are kept. */
    public JobLookup(StateClient client, WatchCache watchCache, JobTable table, History history) {
        this.client = client;
        this.watchCache = watchCache;
        this.table = table;
        this.history = history;
    }

    /** Finds the job and passes the result to the callback. No job was ever accepted under an id that is not valid. */
    public void find(String id, Callback callback) {
        if (!JobSpec.validId(id)) {
            callback.absent();
            return;
        }
        TerminatedJob terminatedJob = knownTermination(id);
        if (terminatedJob != null) {
            callback.terminated(terminatedJob);
        } else {
            afterBarrier(
                    callback,
                    () -> findAfterBarrier(id, callback, () -> {
                        if (table.terminatedJobs().mayBeIncomplete()) {
                            findByKey(id, callback);
                        } else {
                            callback.absent();
                        }
                    }));
        }
    }

    private TerminatedJob knownTermination(String id) {
        Job job = table.get(id);
        if (job == null) {
            return history.findCached(id);
        }
        return job.isActive() ? null : terminatedJob(job);
    }

    private static TerminatedJob terminatedJob(Job job) {
        return new TerminatedJob(job.status(), job.tasks());
    }

    /**
     * Looks for a terminated job under its own key, which the table need not keep. If the key does not exist, the job may have
     * moved to the history after the history was read; the history is then read again after another barrier.
     */
    private void findByKey(String id, Callback callback) {
        client.get(Keys.JOBS + id, answer -> {
            Optional<TerminatedJob> terminatedJob = storedTermination(answer);
            if (terminatedJob.isPresent()) {
                callback.terminated(terminatedJob.get());
            } else if (answer.status() == Status.NOT_FOUND) {
                afterBarrier(callback, () -> findAfterBarrier(id, callback, callback::absent));
            } else {
                callback.unavailable(STATE_SERVICE_UNAVAILABLE);
            }
        });
    }

    private static Optional<TerminatedJob> storedTermination(Answer answer) {
        return answer.ok() ? StoredJobCodec.readOutcome(answer.body().path("data")) : Optional.empty();
    }

    /** Finds the job in the table or the history; the caller has passed the barrier. */
    private void findAfterBarrier(String id, Callback callback, Runnable onAbsent) {
        Job job = table.get(id);
        if (job != null && job.isActive()) {
            reportActive(job, callback);
        } else if (job != null) {
            callback.terminated(terminatedJob(job));
        } else if (table.isUnreadable(id)) {
            callback.unavailable("the stored record of the job cannot be read");
        } else {
            findInHistory(id, callback, found -> callback.terminated(found.ended()), found -> onAbsent.run());
        }
    }

    /**
     * Reports an active job, after resolving every awaited job that the table does not keep. If one of those is cancelled, so is
     * this job, and another controller may already have reported that to a user.
     */
    private void reportActive(Job job, Callback callback) {
        if (!table.unresolved(job)) {
            callback.active(job);
            return;
        }
        resolveAwaited(job, failure -> {
            if (failure.isPresent()) {
                callback.unavailable(failure.get());
            } else if (job.isActive()) {
                callback.active(job);
            } else {
                callback.terminated(terminatedJob(job));
            }
        });
    }

    /** Looks the job up in the history; calls {@code onTerminated}, {@code onAbsent} or {@link Callback#unavailable}. */
    void findInHistory(
            String id,
            Callback callback,
            Consumer<History.LookupResult> onTerminated,
            Consumer<History.LookupResult> onAbsent) {
        history.find(id, found -> {
            switch (found.outcome()) {
                case UNAVAILABLE -> callback.unavailable(STATE_SERVICE_UNAVAILABLE);
                case UNREADABLE -> callback.unavailable("the history segment of the job cannot be read");
                case READ -> (found.ended() != null ? onTerminated : onAbsent).accept(found);
            }
        });
    }

    private void afterBarrier(Callback callback, Runnable onPassed) {
        watchCache.readBarrier(onPassed, () -> callback.unavailable(STATE_SERVICE_UNAVAILABLE));
    }

    /** Looks up every awaited job that the table does not keep; a leader cannot start the dependants of these jobs before. */
    public void resolveAwaitedJobs() {
        table.unresolved().forEach(id -> resolve(id, failure -> {}));
    }

    /** Looks up the jobs that the job awaits and the table does not keep; the callback is passed the reason of a failure. */
    private void resolveAwaited(Job job, Consumer<Optional<String>> callback) {
        List<String> missingIds =
                job.awaited().stream().filter(id -> table.get(id) == null).toList();
        Resolution resolution = new Resolution(missingIds.size(), callback);
        missingIds.forEach(id -> resolve(id, resolution::completeLookup));
    }

    /** Tracks the lookups of all jobs that one job awaits. */
    private static final class Resolution {
        private final Consumer<Optional<String>> callback;
        private int pendingLookups;
        private Optional<String> failure = Optional.empty();

        Resolution(int pendingLookups, Consumer<Optional<String>> callback) {
            this.pendingLookups = pendingLookups;
            this.callback = callback;
        }

        void completeLookup(Optional<String> lookupFailure) {
            failure = lookupFailure.isPresent() ? lookupFailure : failure;
            pendingLookups--;
            if (pendingLookups == 0) {
                callback.accept(failure);
            }
        }
    }

    private void resolve(String id, Consumer<Optional<String>> callback) {
        List<Consumer<Optional<String>>> waitingCallbacks = callbacksByAwaitedId.get(id);
        if (waitingCallbacks != null) {
            waitingCallbacks.add(callback);
            return;
        }
        callbacksByAwaitedId.put(id, new ArrayList<>(List.of(callback)));
        find(id, new Callback() {
            @Override
            public void active(Job job) {
                completeResolution(id, Optional.empty());
            }

            @Override
            public void terminated(TerminatedJob terminatedJob) {
                table.awaitedJobEnded(id, terminatedJob.status(), watchCache.revision());
                completeResolution(id, Optional.empty());
            }

            @Override
            public void absent() {
                // A job is accepted only after all jobs that it awaits: an operator must have removed this job's key.
                LOG.error("awaited job not found and its dependants stay blocked, job={}", id);
                completeResolution(id, Optional.empty());
            }

            @Override
            public void unavailable(String reason) {
                completeResolution(id, Optional.of(reason));
            }
        });
    }

    private void completeResolution(String id, Optional<String> failure) {
        callbacksByAwaitedId.remove(id).forEach(callback -> callback.accept(failure));
    }
}
