package org.landingridge.controller.sched;

import java.util.ArrayList;
import java.util.List;

/** What the scheduler decided in one pass. */
public final class Plan {
    /** One task of the group goes to the node. */
    public record Placement(Group group, Node node) {}

    /** Machines to be rented. */
    public record Rent(String type, String zone, boolean spot, int count) {}

    public final List<Placement> placements = new ArrayList<>();
    public final List<Node.Running> stops = new ArrayList<>();
    public final List<Rent> rents = new ArrayList<>();
    /** Nodes without work that nothing waits for. */
    public final List<Node> idle = new ArrayList<>();
    /** Nodes whose tasks were stopped to set them free: they take new ones only where there is no other room. */
    public final List<Node> vacated = new ArrayList<>();
    /** Tasks within their team's limit for which there was no room. */
    public int unplaced;
    /** Looks at a node or at a machine to be rented: what the pass cost, whatever the processor. */
    public long steps;
}
