package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** Finds nodes that have room for a task now, the best first: with its image, else the fullest on which it still fits. */
final class BinPacking {
    /** A node that is not a spot instance, for work that may run on one. */
    private static final double ORDINARY = 2;
    /** A node that is being drained: only where there is no other room. */
    private static final double DRAINING = 4;
    /** A service whose image must be fetched; each task that fetches there already makes it later. */
    private static final double SERVICE_FETCH = 4;
    /** Any other task whose image must be fetched. */
    private static final double FETCH = 0.5;
    /** Each replica of a service on the node: one machine's loss should hurt little. */
    private static final double REPLICA = 0.3;
    /** Of the time within which a task should start, so much may pass while its image is fetched. */
    private static final double FETCH_SHARE = 0.6;

    private final SchedulingPlan plan;
    /** Nodes that may still take tasks now: full ones need not be searched for every group. */
    private final List<CandidateNode> withRoom = new ArrayList<>();
    /** Nodes from which a new leader has had no heartbeat yet. */
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

    /** The nodes on which a task of the group fits now, best first. */
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
     * Takes the best candidate left, or null. What earlier tasks of the group made forbidden (one zone, spread) is passed
     * over for good.
     */
    static Candidate next(TaskGroup group, PriorityQueue<Candidate> candidates) {
        Candidate candidate = candidates.poll();
        while (candidate != null && !candidate.node().allows(group)) {
            candidate = candidates.poll();
        }
        return candidate;
    }

    /** Takes room for a task on the candidate's node, which stays a candidate where another one fits. */
    static void take(TaskGroup group, Candidate chosen, PriorityQueue<Candidate> candidates) {
        CandidateNode node = chosen.node();
        node.take(group.spec);
        if (node.fits(group.spec)) {
            candidates.add(new Candidate(score(group, node), chosen.index(), node));
        }
    }

    /**
     * Keeps room for blocked tasks from work of lower priority, which would be preempted for them a few seconds after its
     * start. What machines that sent no heartbeat yet can hold is most likely there, and needs no room elsewhere.
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

    /** False if the task would start late there, since its image must be fetched first. */
    static boolean startsInTime(TaskGroup group, CandidateNode node) {
        return group.startWithinS <= 0
                || group.spec.image() == null
                || node.images.contains(group.spec.image())
                || group.spec.imageGb() / Math.max(0.01, node.type.fetchGbPerS()) < group.startWithinS * FETCH_SHARE;
    }
}
