package org.landingridge.experiment;

/** Measures what a simulated leader holds in memory. */
final class LeaderMemory {
    private final SimulatedCluster cluster;
    private final RunMeasurements measurements;

    LeaderMemory(SimulatedCluster cluster, RunMeasurements measurements) {
        this.cluster = cluster;
        this.measurements = measurements;
    }

    /** Kilobytes that the leader holds: the difference that its end makes to this process's heap. All controllers end. */
    long leaderKb() {
        ControllerNode leader = cluster.leader();
        if (leader == null) {
            return 0;
        }
        cluster.nodes.stream().filter(n -> n != leader).forEach(this::end);
        long with = heap();
        end(leader);
        return Math.max(0, with - heap()) / 1024;
    }

    private void end(ControllerNode node) {
        node.host.kill();
        node.controller = null;
        cluster.sim.forget(node.host);
        cluster.state.dropWatches();
        measurements.forgetProcesses();
    }

    private static long heap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
