package org.landingridge.controller.jobs;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.wire.BadMessage;
import org.landingridge.wire.JobSpec;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All jobs ever accepted, as the mirror tells; and the stored form of a job. */
public final class JobTable {
    /** Told of jobs that come and end. */
    public interface Listener {
        void jobAccepted(Job job);

        void jobEnded(Job job);
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);
    private final Map<String, Job> byId = new HashMap<>();
    private final List<Job> active = new ArrayList<>();
    private Listener listener;
    private int count;

    public void listener(Listener l) {
        listener = l;
    }

    public Job get(String id) {
        return byId.get(id);
    }

    /** Jobs that are neither done nor cancelled, in the order of their acceptance. */
    public List<Job> active() {
        return active;
    }

    public int size() {
        return count;
    }

    public static ObjectNode accepted(JobSpec spec, long at) {
        ObjectNode n = Json.object();
        n.put("at", at).set("spec", spec.json());
        return n;
    }

    /**
     * The stored form of an ended job. A cancelled one keeps what its tasks take, since a later leader may still find
     * them on machines and must count them within the team's limit.
     */
    public static ObjectNode ended(Job job, Job.Status how) {
        ObjectNode n = Json.object();
        n.put("ended", how.name()).put("takes", job.tasks());
        if (how == Job.Status.CANCELLED && job.spec() != null) {
            n.set("spec", job.spec().json());
        }
        return n;
    }

    /** The mirror's news of a job's key. */
    public void changed(String id, JsonNode value, long version) {
        if (value == null) {
            return;
        }
        Job job = byId.get(id);
        boolean fresh = job == null;
        if (fresh) {
            job = new Job(id, count++, version);
            byId.put(id, job);
        }
        try {
            JsonNode spec = value.get("spec");
            if (fresh && spec != null) {
                job.accepted(JobSpec.parse(spec), Json.integer(value, "at", 0));
            }
        } catch (BadMessage e) {
            LOG.error("the stored description of {} cannot be read: {}", id, e.getMessage());
        }
        String ended = Json.text(value, "ended");
        if (ended != null) {
            end(job, Job.Status.valueOf(ended), (int) Json.integer(value, "takes", 0), !fresh);
        } else if (fresh && job.spec() != null) {
            active.add(job);
            if (listener != null) {
                listener.jobAccepted(job);
            }
        }
    }

    /** Ends a job: from the mirror's news, or by the process that has just committed the end. */
    public void end(Job job, Job.Status how, int tasks, boolean tell) {
        if (job.end(how, tasks)) {
            active.remove(job);
            if (tell && listener != null) {
                listener.jobEnded(job);
            }
        }
    }

    /** Notes finished tasks that are stored. */
    public void done(String id, int firstTask, BitSet bits) {
        Job job = byId.get(id);
        if (job != null && job.active()) {
            for (int b = bits.nextSetBit(0); b >= 0; b = bits.nextSetBit(b + 1)) {
                job.done().set(firstTask + b);
            }
        }
    }
}
