package org.landingridge.controller.leader;

import java.util.List;
import java.util.Map;
import org.landingridge.controller.scheduling.CandidateNode;
import org.landingridge.controller.scheduling.TaskGroup;
import org.landingridge.controller.scheduling.Team;

/**
 * What one scheduling cycle decides from.
 *
 * @param now    by the loop's clock
 * @param teams  by index, with what their tasks take on the nodes
 * @param groups waiting tasks by job, in the order of the jobs' arrival
 * @param nodes  machines that take tasks or are on their way, then those that were asked for
 */
record SchedulingSnapshot(long now, List<Team> teams, Map<String, TaskGroup> groups, List<CandidateNode> nodes) {}
