package org.landingridge.controller.leader;

import java.util.List;
import java.util.Map;
import org.landingridge.controller.scheduling.CandidateNode;
import org.landingridge.controller.scheduling.TaskGroup;
import org.landingridge.controller.scheduling.TeamQuota;

/**
 * The input of one scheduling cycle.
 *
 * @param now         current time of the event loop's clock, in milliseconds
 * @param teams       the teams by index, with the resources that their tasks use on the nodes
 * @param groupsByJob the waiting tasks by job id, in the order in which the jobs were accepted
 * @param nodes       machines that can take tasks now or soon, followed by machines that pending rent operations may provide
 */
record SchedulingSnapshot(
        long now, List<TeamQuota> teams, Map<String, TaskGroup> groupsByJob, List<CandidateNode> nodes) {}
