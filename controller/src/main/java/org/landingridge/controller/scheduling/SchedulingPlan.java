package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;

/** The decisions of one scheduling cycle, in the order in which they are carried out. */
public final class SchedulingPlan {
    /** Places one task of the group on the node. */
    public record Placement(TaskGroup group, CandidateNode node) {}

    /** A number of machines to rent, of one type in one zone. */
    public record Rent(String type, String zone, boolean spot, int count) {}

    /** Tasks to start now. */
    public final List<Placement> placements = new ArrayList<>();
    /** Tasks to stop: preempted, or moved off a machine that is drained. */
    public final List<CandidateNode.RunningTask> tasksToStop = new ArrayList<>();
    /** Machines to rent. */
    public final List<Rent> rents = new ArrayList<>();
    /** Idle nodes to return. */
    public final List<CandidateNode> nodesToReturn = new ArrayList<>();
    /** Nodes to drain: they take new tasks only if no other node has room. */
    public final List<CandidateNode> nodesToDrain = new ArrayList<>();
    /** Number of tasks within their team's limit that found no room. */
    public int unplacedTasks;
    /** Number of evaluated nodes and machines to rent: the cycle's cost, independent of the hardware. */
    public long evaluations;
}
