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
import org.landingridge.controller.peer.RunningCountsParts;
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
    private final RunningCountsParts parts = new RunningCountsParts();

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
        Map<String, Integer> counts = currentTerm.get().runningTasksByJob();
        display(counts);
        boolean writesStarved = writer.isStarved();
        jobService.handleLeaderHeartbeat(writesStarved);
        List<PeerMessage.RunningCounts> messages = RunningCountsParts.split(ownHost, counts, writesStarved);
        for (String otherHost : otherHosts) {
            messages.forEach(message -> transport.send(otherHost, message));
        }
    }

    /** Displays the leader's counts, once their last part has arrived. */
    void receive(PeerMessage.RunningCounts message) {
        parts.add(message).ifPresent(this::display);
    }

    /** Stores the counts in the job table for display; jobs without a count have no running tasks. */
    private void display(Map<String, Integer> counts) {
        for (Job job : jobTable.activeJobs()) {
            job.runningTasks(counts.getOrDefault(job.id(), 0));
        }
    }
}
