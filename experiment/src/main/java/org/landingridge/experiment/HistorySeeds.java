package org.landingridge.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.landingridge.controller.history.Segment;
import org.landingridge.controller.history.SegmentAddress;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.TerminatedJob;
import org.landingridge.controller.store.Keys;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;

/** Ended jobs that stand in the state service from the beginning. */
final class HistorySeeds {
    private HistorySeeds() {}

    /**
     * Jobs that ended before the history, with a key each, as every version has left them; every seventh is cancelled.
     *
     * @param step distance between the numbers of two ids
     */
    static void jobKeys(SimulatedCluster cluster, int first, int count, int step) {
        for (int i = 0; i < count; i++) {
            JobSpec spec = SampleJobs.job(first + i * step, "blue", false, 1 + i % 3, 1, 1);
            boolean cancelled = i % 7 == 0;
            ObjectNode value =
                    Json.object().put("ended", cancelled ? "CANCELLED" : "DONE").put("takes", spec.tasks());
            if (cancelled) {
                value.set("spec", spec.json());
                cluster.checker.cancelAsked.add(spec.id());
                cluster.checker.cancelledAt.put(spec.id(), 0L);
            }
            cluster.state.seed(Keys.JOBS + spec.id(), value);
            cluster.checker.specs.put(spec.id(), spec);
            cluster.checker.lastStatusByJob.put(spec.id(), cancelled ? "cancelled" : "done");
            for (int t = 0; t < spec.tasks(); t++) {
                cluster.checker.completed.add(spec.id() + "/" + t);
            }
        }
    }

    /** Jobs that ended and moved into the history before: their numbers follow each other, every seventh is cancelled. */
    static void segments(EmulatedStateService state, int first, int count) {
        Map<Integer, TerminatedJob> jobs = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            String id = SampleJobs.id(first + i);
            SegmentAddress place = SegmentAddress.of(id);
            jobs.put(
                    place.offset(),
                    i % 7 == 0
                            ? new TerminatedJob(Job.Status.CANCELLED, 0)
                            : new TerminatedJob(Job.Status.DONE, 1 + i % 100));
            if (i == count - 1 || place.offset() == Segment.JOBS_PER_SEGMENT - 1) {
                state.seed(place.key(), Segment.EMPTY.with(jobs).json());
                jobs.clear();
            }
        }
    }
}
