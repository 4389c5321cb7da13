package org.landingridge.controller.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.landingridge.controller.history.History;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.jobs.StoredJobCodec;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.store.Keys;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.controller.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds a job wherever it may be: in the table, under a key of its own that is not kept in the table, or in the history. An end
 * that is known here is final; everything else is asked for past the mirror's read barrier.
 */
public final class JobLookup {
    /** What follows from where a job was found; exactly one of these is called. */
    public interface Finding {
        /** The job is neither done nor cancelled, and all that it awaits is known here. */
        void live(Job job);

        void over(TerminatedJob ended);

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
    /** Awaited jobs that are being looked up, by id, with those who wait for the outcome. */
    private final Map<String, List<Consumer<String>>> resolving = new HashMap<>();

    public JobLookup(StateClient client, WatchCache watchCache, JobTable table, History history) {
        this.client = client;
        this.watchCache = watchCache;
        this.table = table;
        this.history = history;
    }

    public void find(String id, Finding finding) {
        Job job = table.get(id);
        TerminatedJob past =
                job == null ? history.known(id) : job.active() ? null : new TerminatedJob(job.status(), job.tasks());
        if (past != null) {
            finding.over(past);
            return;
        }
        barrier(
                finding,
                () -> here(id, finding, () -> {
                    if (!table.terminated().partial()) {
                        finding.absent();
                        return;
                    }
                    // An ended job may have a key of its own that is not kept here. If it is gone from there it may
                    // have moved
                    // since the history was looked at, so that is looked at again, past another barrier.
                    client.get(Keys.JOBS + id, answer -> {
                        TerminatedJob ended = answer.ok()
                                ? StoredJobCodec.termination(answer.body().path("data"))
                                        .orElse(null)
                                : null;
                        if (ended != null) {
                            finding.over(ended);
                        } else if (answer.status() == Status.NOT_FOUND) {
                            barrier(finding, () -> here(id, finding, finding::absent));
                        } else {
                            finding.unavailable(NO_ANSWER);
                        }
                    });
                }));
    }

    private void here(String id, Finding finding, Runnable absent) {
        Job job = table.get(id);
        if (job != null && job.active()) {
            if (!table.unresolved(job)) {
                finding.live(job);
                return;
            }
            // Another controller may know already that the job is cancelled with one that it needs, and may have said
            // so.
            resolve(job, failure -> {
                if (failure != null) {
                    finding.unavailable(failure);
                } else if (job.active()) {
                    finding.live(job);
                } else {
                    finding.over(new TerminatedJob(job.status(), job.tasks()));
                }
            });
        } else if (job != null) {
            finding.over(new TerminatedJob(job.status(), job.tasks()));
        } else if (table.unreadable(id)) {
            finding.unavailable("what is stored of the job cannot be read");
        } else {
            past(id, finding, found -> finding.over(found.ended()), found -> absent.run());
        }
    }

    /** Looks the job up in the history; one of the last two is called, or the finding is told that nothing can be said. */
    void past(String id, Finding finding, Consumer<History.Found> over, Consumer<History.Found> absent) {
        history.find(id, found -> {
            switch (found.outcome()) {
                case UNAVAILABLE -> finding.unavailable(NO_ANSWER);
                case UNREADABLE -> finding.unavailable("the history of this range of jobs cannot be read");
                case READ -> (found.ended() != null ? over : absent).accept(found);
            }
        });
    }

    private void barrier(Finding finding, Runnable passed) {
        watchCache.barrier(passed, () -> finding.unavailable(NO_ANSWER));
    }

    /** Looks up every awaited job that the table does not keep, as a leader has to before it can start what awaits them. */
    public void resolveAll() {
        table.unresolved().forEach(id -> resolve(id, failure -> {}));
    }

    /** Looks up what the job awaits and the table does not keep; {@code done} is told what failed, or null. */
    private void resolve(Job job, Consumer<String> done) {
        List<String> missing =
                job.awaited().stream().filter(id -> table.get(id) == null).toList();
        int[] left = {missing.size()};
        String[] failed = new String[1];
        for (String id : missing) {
            resolve(id, failure -> {
                failed[0] = failure == null ? failed[0] : failure;
                if (--left[0] == 0) {
                    done.accept(failed[0]);
                }
            });
        }
    }

    private void resolve(String id, Consumer<String> done) {
        List<Consumer<String>> waiting = resolving.get(id);
        if (waiting != null) {
            waiting.add(done);
            return;
        }
        resolving.put(id, new ArrayList<>(List.of(done)));
        find(id, new Finding() {
            @Override
            public void live(Job job) {
                resolved(id, null);
            }

            @Override
            public void over(TerminatedJob ended) {
                table.resolved(id, ended.how(), watchCache.revision());
                resolved(id, null);
            }

            @Override
            public void absent() {
                // No job is accepted before all that it awaits are: whoever removed that one has to say how it ended.
                LOG.error("{} is awaited and stands nowhere: what awaits it goes on waiting", id);
                resolved(id, null);
            }

            @Override
            public void unavailable(String why) {
                resolved(id, why);
            }
        });
    }

    private void resolved(String id, String failure) {
        resolving.remove(id).forEach(done -> done.accept(failure));
    }
}
