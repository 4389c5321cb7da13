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
 * Sends the leader's number of running tasks of each job to the other controllers, and displays the numbers received. Users
 * poll any controller, but only the leader has these numbers. By the same message the others see that the leader is reachable.
 */
final class RunningCountsExchange {
    private final Supplier<LeaderTerm> currentTerm;
    private final JobTable table;
    private final JobService jobs;
    private final BatchWriter writer;
    private final PeerTransport peers;
    private final String ownHost;
    private final List<String> otherHosts;

    /** @param currentTerm supplies the leader term of this controller; must not be null when {@link #announce} is called */
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

    /** Displays the leader's counts on this controller and sends them to every other; called on the leader only. */
    void announce() {
        Map<String, Integer> counts = currentTerm.get().running();
        show(counts);
        boolean starved = writer.starved();
        jobs.leaderHeard(starved);
        for (String other : otherHosts) {
            peers.send(other, new PeerMessage.RunningCounts(ownHost, counts, starved));
        }
    }

    /** Stores the counts in the job table for display; jobs without a count have no running tasks. */
    void show(Map<String, Integer> counts) {
        for (Job job : table.active()) {
            job.running(counts.getOrDefault(job.id(), 0));
        }
    }
}
