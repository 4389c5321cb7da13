package org.landingridge.controller.scheduling;

import java.util.ArrayList;
import java.util.List;

/** What the scheduler decided in one cycle, in the order in which it is carried out. */
public final class SchedulingPlan {
    /** One task of the group goes to the node. */
    public record Placement(TaskGroup group, CandidateNode node) {}

    /** Machines to be rented, of one type in one zone. */
    public record Rent(String type, String zone, boolean spot, int count) {}

    /** Tasks that start now. */
    public final List<Placement> placements = new ArrayList<>();
    /** Tasks that are preempted, or moved off a machine that is vacated. */
    public final List<CandidateNode.Running> stops = new ArrayList<>();
    /** Machines to be rented. */
    public final List<Rent> rents = new ArrayList<>();
    /** Nodes without work that nothing waits for, to be returned. */
    public final List<CandidateNode> idle = new ArrayList<>();
    /** Nodes whose tasks were stopped to vacate them: they take new ones only where there is no other room. */
    public final List<CandidateNode> vacated = new ArrayList<>();
    /** Tasks within their team's limit for which there was no room. */
    public int unplaced;
    /** Nodes, and machines to be rented, that were evaluated: what the cycle cost, whatever the processor. */
    public long steps;
}
