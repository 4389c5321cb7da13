package org.landingridge.controller;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.landingridge.controller.api.JobService;
import org.landingridge.controller.jobs.Job;
import org.landingridge.controller.jobs.JobTable;
import org.landingridge.controller.leader.LeaderTerm;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.peer.PeerTransport;
import org.landingridge.controller.store.BatchWriter;

/**
 * Tells the other controllers how many tasks of each job run, and shows what the leader tells. Users poll any controller,
 * and only the leader knows. The message is also the leader's sign of life to the others.
 */
final class RunningCountsExchange {
    private final Supplier<LeaderTerm> currentTerm;
    private final JobTable table;
    private final JobService jobs;
    private final BatchWriter writer;
    private final PeerTransport peers;
    private final String ownHost;
    private final List<String> otherHosts;

    /** @param currentTerm the leader term of this controller; it is there whenever {@link #announce} is called */
    RunningCountsExchange(
            Supplier<LeaderTerm> currentTerm,
            JobTable table,
            JobService jobs,
            BatchWriter writer,
            PeerTransport peers,
            String ownHost,
            List<String> otherHosts) {
        this.currentTerm = currentTerm;
        this.table = table;
        this.jobs = jobs;
        this.writer = writer;
        this.peers = peers;
        this.ownHost = ownHost;
        this.otherHosts = otherHosts;
    }

    /** The leader's side: shows its counts here and sends them to every other controller. */
    void announce() {
        Map<String, Integer> counts = currentTerm.get().running();
        show(counts);
        boolean starved = writer.starved();
        jobs.leaderHeard(starved);
        for (String other : otherHosts) {
            peers.send(other, new PeerMessage.RunningCounts(ownHost, counts, starved));
        }
    }

    /** Notes the counts with the jobs, for display. */
    void show(Map<String, Integer> counts) {
        for (Job job : table.active()) {
            job.running(counts.getOrDefault(job.id(), 0));
        }
    }
}
