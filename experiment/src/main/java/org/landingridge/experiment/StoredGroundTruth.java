package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.store.Keys;
import org.landingridge.emulator.EmulatedStateService;
import org.landingridge.emulator.GroundTruth;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The truth where there is no test to tell it: users have uploaded no descriptions here, so workers take those that the
 * controllers have stored.
 */
public final class StoredGroundTruth implements GroundTruth {
    private static final Logger LOG = LoggerFactory.getLogger(StoredGroundTruth.class);
    private static final int MOST_SPECS = 10_000;
    private final EmulatedStateService state;
    private final Map<String, JobSpec> specs = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobSpec> eldest) {
            return size() > MOST_SPECS;
        }
    };
    private final Set<String> completed = new HashSet<>();

    public StoredGroundTruth(EmulatedStateService state) {
        this.state = state;
    }

    @Override
    public JobSpec spec(String jobId) {
        JobSpec known = specs.get(jobId);
        JsonNode stored = known != null ? null : state.value(Keys.JOBS + jobId);
        if (stored == null || !stored.has("spec")) {
            return known;
        }
        try {
            JobSpec spec = JobSpec.read(stored.get("spec"));
            specs.put(jobId, spec);
            return spec;
        } catch (InvalidMessageException e) {
            LOG.warn("the stored description of {} cannot be read: {}", jobId, e.getMessage());
            return null;
        }
    }

    @Override
    public boolean completed(String task) {
        return completed.contains(task);
    }

    @Override
    public void starts(String task, String machine, String type, String zone, boolean spot) {
        LOG.info("{} runs on {}", task, machine);
    }

    @Override
    public void ends(String task, boolean done) {
        LOG.info("{} is {}", task, done ? "done" : "off its machine");
        if (done) {
            completed.add(task);
        }
    }

    @Override
    public void misused(String what) {
        LOG.error("a protocol was broken: {}", what);
    }

    @Override
    public void oversized(String message, int bytes) {
        LOG.error("message too large and not used, message={} bytes={}", message, bytes);
    }
}
