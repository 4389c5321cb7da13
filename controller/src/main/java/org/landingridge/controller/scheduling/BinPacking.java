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
    private static final double ON_DEMAND_PENALTY = 2;
    /** Score penalty of a draining node: it is used only if no other node has room. */
    private static final double DRAINING_PENALTY = 4;
    /** Score penalty of a service whose image must be fetched; each fetch already in progress on the node adds 1. */
    private static final double SERVICE_FETCH_PENALTY = 4;
    /** Score penalty of any other task whose image must be fetched. */
    private static final double FETCH_PENALTY = 0.5;
    /** Score penalty per service replica already on the node: losing one machine should stop few replicas. */
    private static final double REPLICA_PENALTY = 0.3;
    /** Largest share of a task's start time target that an image fetch may use. */
    private static final double MAX_FETCH_SHARE = 0.6;

    private final SchedulingPlan plan;
    /** Nodes that are up and have free room; full nodes are removed so that they are not searched for every group. */
    private final List<CandidateNode> nodesWithRoom = new ArrayList<>();
    /** Nodes that have not yet sent a heartbeat to a new leader. */
    private final List<CandidateNode> nodesAwaitingHeartbeat = new ArrayList<>();

    BinPacking(List<CandidateNode> nodes, SchedulingPlan plan) {
        this.plan = plan;
        for (CandidateNode node : nodes) {
            if (node.up && node.hasRoom()) {
                nodesWithRoom.add(node);
            }
            if (node.awaitingHeartbeat) {
                nodesAwaitingHeartbeat.add(node);
            }
        }
    }

    /** Returns the nodes on which a task of the group fits now, best first. */
    PriorityQueue<Candidate> findCandidates(TaskGroup group) {
        nodesWithRoom.removeIf(node -> !node.hasRoom());
        plan.evaluations += nodesWithRoom.size();
        PriorityQueue<Candidate> candidates = new PriorityQueue<>();
        for (int index = 0; index < nodesWithRoom.size(); index++) {
            CandidateNode node = nodesWithRoom.get(index);
            if (node.fits(group.spec) && node.allows(group)) {
                candidates.add(new Candidate(score(group, node), index, node));
            }
        }
        return candidates;
    }

    /**
     * Removes and returns the best remaining candidate, or null if there is none. Candidates that the group's zone rules
     * forbid since earlier tasks were placed (one zone, spread) are discarded.
     */
    static Candidate pollAllowed(TaskGroup group, PriorityQueue<Candidate> candidates) {
        Candidate candidate = candidates.poll();
        while (candidate != null && !candidate.node().allows(group)) {
            candidate = candidates.poll();
        }
        return candidate;
    }

    /** Takes room for a task on the chosen node, and adds the node to the candidates again if another task still fits. */
    static void takeRoom(TaskGroup group, Candidate chosen, PriorityQueue<Candidate> candidates) {
        CandidateNode node = chosen.node();
        node.takeRoom(group.spec);
        if (node.fits(group.spec)) {
            candidates.add(new Candidate(score(group, node), chosen.index(), node));
        }
    }

    /**
     * Reserves room for blocked tasks, so that no work of lower priority is started there and preempted a few seconds
     * later. Tasks that fit on machines without a heartbeat so far are most likely running there and need no room elsewhere.
     */
    void reserveRoom(TaskGroup group) {
        int remaining = group.blockedTasks;
        for (CandidateNode node : nodesAwaitingHeartbeat) {
            while (remaining > 0 && node.allows(group) && node.fits(group.spec)) {
                node.takeRoom(group.spec);
                remaining--;
            }
        }
        if (remaining == 0) {
            return;
        }
        PriorityQueue<Candidate> candidates = findCandidates(group);
        for (; remaining > 0; remaining--) {
            Candidate candidate = pollAllowed(group, candidates);
            if (candidate == null) {
                return;
            }
            takeRoom(group, candidate, candidates);
        }
    }

    private static double score(TaskGroup group, CandidateNode node) {
        double score = node.freeCpuShare()
                + (node.spot || !group.spec.spot() ? 0 : ON_DEMAND_PENALTY)
                + (node.draining ? DRAINING_PENALTY : 0);
        if (group.spec.image() != null && !node.images.contains(group.spec.image())) {
            score += group.spec.service() ? SERVICE_FETCH_PENALTY + node.fetchingTasks : FETCH_PENALTY;
        }
        if (group.spec.service()) {
            score += REPLICA_PENALTY * node.serviceReplicas();
        }
        return score;
    }

    /** Returns false if the image fetch would make the task start later than its target on this node. */
    static boolean startsInTime(TaskGroup group, CandidateNode node) {
        return group.startTargetS <= 0
                || group.spec.image() == null
                || node.images.contains(group.spec.image())
                || group.spec.imageGb() / Math.max(0.01, node.type.fetchGbPerS())
                        < group.startTargetS * MAX_FETCH_SHARE;
    }
}
