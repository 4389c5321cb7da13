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
    private final JobTable jobTable;
    private final JobService jobService;
    private final BatchWriter writer;
    private final PeerTransport transport;
    private final String ownHost;
    private final List<String> otherHosts;

    /** @param currentTerm supplies the leader term of this controller; must not be null when {@link #announce} is called */
    RunningCountsExchange(
            Supplier<LeaderTerm> currentTerm,
            JobTable jobTable,
            JobService jobService,
            BatchWriter writer,
            PeerTransport transport,
            String ownHost,
            List<String> otherHosts) {
        this.currentTerm = currentTerm;
        this.jobTable = jobTable;
        this.jobService = jobService;
        this.writer = writer;
        this.transport = transport;
        this.ownHost = ownHost;
        this.otherHosts = otherHosts;
    }

    /** Displays the leader's counts on this controller and sends them to every other; called on the leader only. */
    void announce() {
        Map<String, Integer> counts = currentTerm.get().running();
        display(counts);
        boolean writesStarved = writer.starved();
        jobService.leaderHeard(writesStarved);
        for (String otherHost : otherHosts) {
            transport.send(otherHost, new PeerMessage.RunningCounts(ownHost, counts, writesStarved));
        }
    }

    /** Stores the counts in the job table for display; jobs without a count have no running tasks. */
    void display(Map<String, Integer> counts) {
        for (Job job : jobTable.active()) {
            job.running(counts.getOrDefault(job.id(), 0));
        }
    }
}
