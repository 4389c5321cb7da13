package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

/** What several histories begin with, and what all must keep. */
final class ClusterAssertions {
    private ClusterAssertions() {}

    static void assertInvariantsHold(SimulatedCluster w) {
        assertEquals(List.of(), w.checker.violations);
        assertEquals(0, w.state.tooLarge());
    }

    /** Once all troubles are over: nobody waits for 90 s beside room for it, and every one of these jobs finds an answer. */
    static void assertAllJobsStartOrEnd(SimulatedCluster w, List<String> ids) {
        StarvationCheck waiting = new StarvationCheck(w);
        for (int s = 0; s < 100; s++) {
            w.sim.run(w.sim.now + 1_000);
            waiting.look();
        }
        everybodyAnswers(w, ids);
        assertInvariantsHold(w);
    }

    /** Every controller answers for each of these jobs, and nobody is told anything older. */
    private static void everybodyAnswers(SimulatedCluster w, List<String> ids) {
        for (ControllerNode n : w.nodes) {
            long from = w.sim.now;
            for (int i = 0; i < ids.size(); i++) {
                String id = ids.get(i);
                w.at(from + i * 10L, () -> w.users.askOnce(id, "poll", n.index));
            }
            w.sim.run(from + ids.size() * 10L + 2_000);
            w.checker.unanswered(from, ids);
        }
    }

    /** All of these jobs are over, and every controller says the same of each. */
    static void allJobsEndedAndControllersAgree(SimulatedCluster w, List<String> ids) {
        everybodyAnswers(w, ids);
        assertInvariantsHold(w);
        for (String id : ids) {
            String told = w.checker.lastStatusByJob.get(id);
            assertTrue("done".equals(told) || "cancelled".equals(told), id + " is " + told);
        }
    }

    /** Services of a whole machine each, all running after 30 s. */
    static void startServices(SimulatedCluster w, int count) {
        for (int i = 0; i < count; i++) {
            int n = i;
            w.at(100 + i * 50L, () -> w.users.submit(SampleJobs.job(n, "blue", true, 1, 4, 0)));
        }
        w.sim.run(30_000);
        assertEquals(count, w.checker.locationByTask.size());
    }

    /** Ends a controller that is up; null where nobody leads. */
    static void crashIfUp(ControllerNode node, long back) {
        if (node != null && node.host.up) {
            node.crash(back);
        }
    }
}
