package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Finds nodes on which a task fits now, best first: nodes that already have its image, then the fullest node on which it
 * still fits.
 */
final class BinPacking {
    /** Score penalty of an on-demand node for a task that may run on a spot instance. */
    private static final double ORDINARY = 2;
    /** Score penalty of a draining node: it is used only if no other node has room. */
    private static final double DRAINING = 4;
    /** Score penalty of a service whose image must be fetched; each fetch already in progress on the node adds 1. */
    private static final double SERVICE_FETCH = 4;
    /** Score penalty of any other task whose image must be fetched. */
    private static final double FETCH = 0.5;
    /** Score penalty per service replica already on the node: losing one machine should stop few replicas. */
    private static final double REPLICA = 0.3;
    /** Largest share of a task's start time target that an image fetch may use. */
    private static final double FETCH_SHARE = 0.6;

    private final SchedulingPlan plan;
    /** Nodes that are up and have free room; full nodes are removed so that they are not searched for every group. */
    private final List<CandidateNode> withRoom = new ArrayList<>();
    /** Nodes that have not yet sent a heartbeat to a new leader. */
    private final List<CandidateNode> awaitingHeartbeat = new ArrayList<>();

    BinPacking(List<CandidateNode> nodes, SchedulingPlan plan) {
        this.plan = plan;
        for (CandidateNode node : nodes) {
            if (node.up && node.hasRoom()) {
                withRoom.add(node);
            }
            if (node.awaitingHeartbeat) {
                awaitingHeartbeat.add(node);
            }
        }
    }

    /** Returns the nodes on which a task of the group fits now, best first. */
    PriorityQueue<Candidate> candidates(TaskGroup group) {
        withRoom.removeIf(node -> !node.hasRoom());
        plan.steps += withRoom.size();
        PriorityQueue<Candidate> candidates = new PriorityQueue<>();
        for (int i = 0; i < withRoom.size(); i++) {
            CandidateNode node = withRoom.get(i);
            if (node.fits(group.spec) && node.allows(group)) {
                candidates.add(new Candidate(score(group, node), i, node));
            }
        }
        return candidates;
    }

    /**
     * Removes and returns the best remaining candidate, or null if there is none. Candidates that the group's zone rules
     * forbid since earlier tasks were placed (one zone, spread) are discarded.
     */
    static Candidate next(TaskGroup group, PriorityQueue<Candidate> candidates) {
        Candidate candidate = candidates.poll();
        while (candidate != null && !candidate.node().allows(group)) {
            candidate = candidates.poll();
        }
        return candidate;
    }

    /** Takes room for a task on the chosen node, and adds the node to the candidates again if another task still fits. */
    static void take(TaskGroup group, Candidate chosen, PriorityQueue<Candidate> candidates) {
        CandidateNode node = chosen.node();
        node.take(group.spec);
        if (node.fits(group.spec)) {
            candidates.add(new Candidate(score(group, node), chosen.index(), node));
        }
    }

    /**
     * Reserves room for blocked tasks, so that no work of lower priority is started there and preempted a few seconds
     * later. Tasks that fit on machines without a heartbeat so far are most likely running there and need no room elsewhere.
     */
    void reserve(TaskGroup group) {
        int blocked = group.blocked;
        for (CandidateNode node : awaitingHeartbeat) {
            while (blocked > 0 && node.allows(group) && node.fits(group.spec)) {
                node.take(group.spec);
                blocked--;
            }
        }
        if (blocked == 0) {
            return;
        }
        PriorityQueue<Candidate> candidates = candidates(group);
        for (; blocked > 0; blocked--) {
            Candidate candidate = next(group, candidates);
            if (candidate == null) {
                return;
            }
            take(group, candidate, candidates);
        }
    }

    private static double score(TaskGroup group, CandidateNode node) {
        double score =
                node.freeShare() + (node.spot || !group.spec.spot() ? 0 : ORDINARY) + (node.draining ? DRAINING : 0);
        if (group.spec.image() != null && !node.images.contains(group.spec.image())) {
            score += group.spec.service() ? SERVICE_FETCH + node.fetching : FETCH;
        }
        if (group.spec.service()) {
            score += REPLICA * node.services();
        }
        return score;
    }

    /** Returns false if the image fetch would make the task start later than its target on this node. */
    static boolean startsInTime(TaskGroup group, CandidateNode node) {
        return group.startWithinS <= 0
                || group.spec.image() == null
                || node.images.contains(group.spec.image())
                || group.spec.imageGb() / Math.max(0.01, node.type.fetchGbPerS()) < group.startWithinS * FETCH_SHARE;
    }
}
