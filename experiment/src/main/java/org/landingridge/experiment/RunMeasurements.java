package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.landingridge.controller.store.Keys;

/** What is measured while an experiment runs: samples each second, failovers, processor time of the leaders. */
final class RunMeasurements {
    private final SimulatedCluster cluster;
    final List<ExperimentRun.Sample> samples = new ArrayList<>();
    final List<RecoveryTimeline> recoveries = new ArrayList<>();
    /** Milliseconds that all leaders' threads spent, by part of their work. */
    final Map<String, Long> activity = new TreeMap<>();
    /** The same by process. */
    private final Map<Object, Map<String, Long>> activityOf = new LinkedHashMap<>();

    private int requestsBefore;

    RunMeasurements(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** The leader, or all controllers, end now. */
    void leaderLost() {
        recoveries.add(new RecoveryTimeline(cluster.sim.now / 1000.0, cluster.checker));
    }

    /** Notes how far the last failover has come. */
    void watchLeader(long now) {
        if (recoveries.isEmpty() || recoveries.get(recoveries.size() - 1).over()) {
            return;
        }
        ControllerNode leader = cluster.leader();
        JsonNode status = leader == null || !leader.host.up ? null : cluster.status(leader);
        int unknown = status == null || !status.has("machines")
                ? -1
                : status.path("unaccounted").asInt();
        recoveries.get(recoveries.size() - 1).look(now / 1000.0, unknown, cluster.workers.size(), cluster.checker);
    }

    /** Takes the sample of a second. */
    void sample(int second) {
        int requests = cluster.state.requests();
        samples.add(new ExperimentRun.Sample(
                second,
                cluster.workers.size(),
                cluster.checker.locationByTask.size(),
                cluster.state.keys(Keys.JOBS).size(),
                requests - requestsBefore,
                cluster.state.lastWrites()));
        requestsBefore = requests;
        ControllerNode leader = cluster.leader();
        if (leader != null && leader.host.up) {
            measureActivity(leader);
        }
    }

    /** What each process that ever led has spent so far; a process that died keeps its last word. */
    private void measureActivity(ControllerNode leader) {
        activityOf.put(leader.controller, cluster.busyMs(leader));
        activity.clear();
        activityOf.values().forEach(parts -> parts.forEach((part, ms) -> activity.merge(part, ms, Long::sum)));
    }

    /** The controllers of this run are dropped, so that their memory can be measured. */
    void forgetProcesses() {
        activityOf.clear();
    }
}
