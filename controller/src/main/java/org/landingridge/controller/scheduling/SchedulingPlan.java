package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;

/** What the scheduler decided in one pass. */
public final class SchedulingPlan {
    /** One task of the group goes to the node. */
    public record Placement(TaskGroup group, CandidateNode node) {}

    /** Machines to be rented. */
    public record Rent(String type, String zone, boolean spot, int count) {}

    public final List<Placement> placements = new ArrayList<>();
    public final List<CandidateNode.Running> stops = new ArrayList<>();
    public final List<Rent> rents = new ArrayList<>();
    /** Nodes without work that nothing waits for. */
    public final List<CandidateNode> idle = new ArrayList<>();
    /** Nodes whose tasks were stopped to set them free: they take new ones only where there is no other room. */
    public final List<CandidateNode> vacated = new ArrayList<>();
    /** Tasks within their team's limit for which there was no room. */
    public int unplaced;
    /** Looks at a node or at a machine to be rented: what the pass cost, whatever the processor. */
    public long steps;
}
